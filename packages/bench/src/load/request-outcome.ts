/** Outcome of a request from the perspective of the client. */
export enum RequestOutcome {
	Answered = 'answered',
	/** Rejected with an SQLSTATE of class TS: the request did not run. */
	Refused = 'refused',
	/** SQLSTATE 08007: the request may have run. */
	Unknown = 'unknown',
	/** Any other error, for instance a lost connection. */
	Failed = 'failed',
}

/**
 * Returns the code of a driver error, which is an SQLSTATE or a system error code, or its message if it has no code.
 *
 * @param error - Error of a query.
 */
export function getErrorCode(error: unknown): string {
	const {code, message} = error as {readonly code?: unknown; readonly message?: unknown};
	return typeof code === 'string' ? code : String(message);
}

/**
 * Classifies a driver error by its code.
 *
 * @param error - Error of a query.
 */
export function classifyError(error: unknown): RequestOutcome {
	const code = getErrorCode(error);
	if (code === '08007') {
		return RequestOutcome.Unknown;
	}

	return code.startsWith('TS') ? RequestOutcome.Refused : RequestOutcome.Failed;
}
