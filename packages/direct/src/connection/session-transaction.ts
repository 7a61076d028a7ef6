import {type Route, type Workspace} from '../version/deployment-configuration.js';
import {type PinnedConnection} from './statement-runner.js';

/** Open transaction of a session. */
export type SessionTransaction = {
	readonly mode: 'read-write' | 'read-only';
	readonly route: Route;
	/** Workspace that began the transaction; its connection belongs to this workspace. */
	readonly workspace?: Workspace;
	readonly beganAt: number;
	pinned?: PinnedConnection;
	hasWritten: boolean;
	lastUsedAt: number;
	failed: boolean;
	/** Monotonic time at which the host noticed that the API key of the client was withdrawn. */
	accessLostAt?: number;
	/** Why this host rolled the transaction back, until the client has been told. */
	unreportedReason?: string;
};
