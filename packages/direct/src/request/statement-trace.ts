/** What happened to a statement on its way; the log of a late or failed one tells it. */
export type StatementTrace = {
	/** Times that the statement was sent to an instance. */
	attempts: number;
	/** Whether a gateway ran the last attempt. */
	relayed?: boolean;
	/** Time that it waited for connections, for a fresher position or for a primary, in milliseconds. */
	waitedMilliseconds: number;
	/** Instance that got it last. */
	instance?: string;
	/** Position that the instance had to hold. */
	minimumPosition?: string;
	/** Why the last attempt did not succeed. */
	reason?: string;
};

/** Creates the trace of a statement that has just arrived. */
export function createStatementTrace(): StatementTrace {
	return {attempts: 0, waitedMilliseconds: 0};
}
