/** Outcome of a request as the caller sees it. */
export enum RequestOutcome {
	Answered = 'answered',
	/** Refused with class TS: the request did not run. */
	Refused = 'refused',
	/** SQLSTATE 08007: the request may have run. */
	Unknown = 'unknown',
	/** Any other error, for instance a lost connection. */
	Failed = 'failed',
}

/**
 * Returns the SQLSTATE or the code of an error of a driver, otherwise its message.
 *
 * @param error - Error of a query.
 */
export function getErrorCode(error: unknown): string {
	const {code, message} = error as {readonly code?: unknown; readonly message?: unknown};
	return typeof code === 'string' ? code : String(message);
}

/**
 * Classifies the error of a driver.
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
