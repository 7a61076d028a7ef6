import {err, ok, type Result} from 'neverthrow';
import {type DeploymentConfiguration, type Route, type Workspace} from '../version/deployment-configuration.js';
import {StatementErrorCode} from './statement-error-code.js';
import {type StatementError} from './statement-result.js';

/** What a client stated when it opened its session. */
export type CallerCredentials = {
	readonly database: string;
	/** API key. It must not be logged or passed on. */
	readonly key?: string | undefined;
};

/** What a client may use. */
export type CallerAccess = {
	readonly route: Route;
	/** Workspace that the API key identifies; `undefined` on public routes and if no workspaces are configured. */
	readonly workspace?: Workspace;
};

/**
 * Determines the route and the workspace of a client. It is called for each operation, so that a withdrawn API key or a removed
 * route takes effect on open sessions as well.
 *
 * @param configuration - Configuration in force, or `undefined` before one is known.
 * @param credentials - What the client stated.
 * @returns What the client may use, or the error that it receives.
 */
export function findAccess(configuration: DeploymentConfiguration | undefined, {database, key}: CallerCredentials): Result<CallerAccess, StatementError> {
	if (!configuration) {
		return err({code: StatementErrorCode.Overloaded, message: 'no configuration is known yet'});
	}

	const route = configuration.routes.get(database);
	if (!route) {
		return err({code: StatementErrorCode.UnknownDatabase, message: database});
	}

	if (route.isPublic === true || !configuration.workspaces) {
		return ok({route});
	}

	const workspace = key === undefined ? undefined : configuration.workspaces.findByKey(key);
	return workspace ? ok({route, workspace}) : err({code: StatementErrorCode.AccessDenied, message: 'the API key is not valid'});
}
