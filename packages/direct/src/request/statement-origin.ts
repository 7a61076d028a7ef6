import {type WaitingRequest} from './waiting-request.js';

/** Why a statement runs: what another host needs to queue it among its own statements. */
export type StatementOrigin = {
	readonly request: WaitingRequest;
	/** Reign of the primary that the statement needs, or `undefined` if a replica may serve it. */
	readonly reign?: number | undefined;
};
