import {type Result} from 'neverthrow';
import {type Verdict} from '../request/verdict.js';

/** Error of a call to the key-value service. */
export type KeyValueError = {
	/** `MayHaveRun` if a write may have reached the service and was not confirmed. */
	readonly verdict: Verdict;
	readonly message: string;
};

/** Value of a key with the revision at which it was written. */
export type KeyValueEntry = {
	readonly value: string;
	/** Revision of the last change of the key, greater than 0. */
	readonly revision: number;
};

/** Outcome of a compare-and-swap that was answered. */
export type CompareAndSwapOutcome = {
	readonly swapped: boolean;
	/** The entry after the call: the new one if swapped, the conflicting one otherwise. */
	readonly current?: KeyValueEntry;
};

/** The platform's key-value service. */
export type KeyValueService = AsyncDisposable & {
	/**
	 * Reads a key.
	 *
	 * @param key - Key to read.
	 * @param timeoutMilliseconds - Time after which the call fails.
	 */
	get(key: string, timeoutMilliseconds: number): Promise<Result<KeyValueEntry | undefined, KeyValueError>>;

	/**
	 * Writes a key if its revision equals the expected one.
	 *
	 * @param key - Key to write.
	 * @param expectedRevision - Revision on which the change is based, or 0 if the key must not exist.
	 * @param value - New value.
	 * @param timeoutMilliseconds - Time after which the call fails.
	 */
	compareAndSwap(key: string, expectedRevision: number, value: string, timeoutMilliseconds: number): Promise<Result<CompareAndSwapOutcome, KeyValueError>>;

	/**
	 * Watches the changes of a key after the given revision, until the signal is aborted or the service fails.
	 *
	 * @param key - Key to watch.
	 * @param afterRevision - Changes up to this revision are not reported.
	 * @param signal - Ends the watch.
	 */
	watch(key: string, afterRevision: number, signal: AbortSignal): AsyncIterable<KeyValueEntry>;
};
