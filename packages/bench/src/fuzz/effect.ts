import {getErrorCode} from '../load/index.js';

/** What a caller knows about the effect of its request. */
export enum Effect {
	/** The response was complete. */
	Acknowledged = 'acknowledged',
	/** The request may have run. */
	Unknown = 'unknown',
	/** The request did not run, or the database reported that it failed. */
	None = 'none',
}

/** Codes of system calls that fail before a connection exists. */
const notConnectedCodes = new Set(['ECONNREFUSED', 'not connected']);

const sqlStatePattern = /^[A-Z\d]{5}$/v;

/**
 * Tells what an error says about the effect of the request, by the guide for application developers.
 *
 * @param error - Error of the driver.
 */
export function getEffectOfError(error: unknown): Effect {
	const code = getErrorCode(error);
	if (notConnectedCodes.has(code)) {
		return Effect.None;
	}

	// TS008 says that an earlier request with the key ran, or may have run.
	if (code === 'TS008' || !sqlStatePattern.test(code)) {
		return Effect.Unknown;
	}

	return code.startsWith('08') ? Effect.Unknown : Effect.None;
}
