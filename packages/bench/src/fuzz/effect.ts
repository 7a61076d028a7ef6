import {getErrorCode} from '../load/index.js';

/** Effect of a request as far as its caller can tell. */
export enum Effect {
	/** The request succeeded with a complete response. */
	Acknowledged = 'acknowledged',
	/** The request may have been executed. */
	Unknown = 'unknown',
	/** The request was not executed, or the database reported an error. */
	None = 'none',
}

/** Error codes of connection attempts that failed before a request could be sent. */
const notConnectedCodes = new Set(['ECONNREFUSED', 'not connected']);

const sqlStatePattern = /^[A-Z\d]{5}$/v;

/**
 * Derives the effect of a request from its error, as the guide for application developers defines it.
 *
 * @param error - Error of the driver.
 */
export function getEffectOfError(error: unknown): Effect {
	const code = getErrorCode(error);
	if (notConnectedCodes.has(code)) {
		return Effect.None;
	}

	// TS008 means that an earlier request with the idempotency key was, or may have been, executed.
	if (code === 'TS008' || !sqlStatePattern.test(code)) {
		return Effect.Unknown;
	}

	return code.startsWith('08') ? Effect.Unknown : Effect.None;
}
