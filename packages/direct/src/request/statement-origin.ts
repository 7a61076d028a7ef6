import {type WaitingRequest} from './waiting-request.js';

/** Request on whose behalf a statement runs. A gateway needs it to queue the statement among its own. */
export type StatementOrigin = {
	readonly request: WaitingRequest;
	/** Reign of the primary that must run the statement, or `undefined` if a replica may run it. */
	readonly reign?: number | undefined;
	/** Name of the workspace on whose connections the statement runs, if any. */
	readonly workspace?: string | undefined;
	/** Weight class of the workspace. */
	readonly workspacePriority?: number | undefined;
};
