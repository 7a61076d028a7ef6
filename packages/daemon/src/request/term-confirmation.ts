import {type LogPosition} from '@tarragonstack/core';
import {type Result} from 'neverthrow';

/** Options of a term confirmation. */
export type ConfirmationOptions = {
	/** Term that must still be in force. Without it, any term of a confirmed primary will do. */
	readonly expectedTerm?: number;
	/** Whether a majority must also hold the position of the primary. */
	readonly replicated: boolean;
	/** Time after which the confirmation fails, in milliseconds. */
	readonly timeoutMilliseconds: number;
};

/** Reason why a term was not confirmed. */
export enum ConfirmationError {
	/** The instance is not the primary or a majority is at another term. */
	Replaced = 'replaced',
	/** No majority answered in time. */
	TimedOut = 'timed-out',
}

/** Proves that a primary had not been replaced when the proof began. */
export type TermConfirmation = {
	/**
	 * Asks the primary and the other instances of the group for their terms. All questions are sent after this call began.
	 *
	 * @param group - Name of the group.
	 * @param primary - Name of the instance that is taken for the primary.
	 * @param options - What must hold.
	 * @returns The position of the primary, which contains all writes that returned before the call.
	 */
	confirm(group: string, primary: string, options: ConfirmationOptions): Promise<Result<LogPosition, ConfirmationError>>;
};
