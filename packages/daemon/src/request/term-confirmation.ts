import {type LogPosition} from '@tarragonstack/core';
import {type Result} from 'neverthrow';

/** Options of a term confirmation. */
export type ConfirmationOptions = {
	/** Term that must still be in force. If omitted, the current term of the primary is confirmed. */
	readonly expectedTerm?: number;
	/** Whether a majority must also have replicated up to the position of the primary. */
	readonly replicated: boolean;
	/** Time after which the confirmation fails, in milliseconds. */
	readonly timeoutMilliseconds: number;
};

/** Reason for a failed confirmation. */
export enum ConfirmationError {
	/** The instance is not the primary or a majority is at another term. */
	Replaced = 'replaced',
	/** No majority responded in time. */
	TimedOut = 'timed-out',
}

/** Proves that a primary had not been replaced at the time of the call. */
export type TermConfirmation = {
	/**
	 * Requests the terms of the primary and of the other instances of the group. Only requests sent after the call count.
	 *
	 * @param group - Name of the group.
	 * @param primary - Name of the presumed primary.
	 * @param options - Conditions to confirm.
	 * @returns The position of the primary, which covers all writes acknowledged before the call.
	 */
	confirm(group: string, primary: string, options: ConfirmationOptions): Promise<Result<LogPosition, ConfirmationError>>;
};
