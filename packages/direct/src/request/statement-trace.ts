/** How a statement was processed. Logged for late and failed statements. */
export type StatementTrace = {
	/** Number of times that the statement was sent to an instance. */
	attempts: number;
	/** Whether a gateway ran the last attempt. */
	relayed?: boolean;
	/** Time spent waiting for connections, for a newer log position or for a primary, in milliseconds. */
	waitedMilliseconds: number;
	/** Instance of the last attempt. */
	instance?: string;
	/** Log position that the instance was required to hold. */
	minimumPosition?: string;
	/** Why the last attempt did not succeed. */
	reason?: string;
};

/** Creates the trace of a new statement. */
export function createStatementTrace(): StatementTrace {
	return {attempts: 0, waitedMilliseconds: 0};
}
