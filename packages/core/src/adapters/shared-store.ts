import {type Result} from 'neverthrow';
import {type Verdict} from '../request/verdict.js';

/** Item of the store. */
export type StoreItem = {
	readonly key: string;
	/** Value as UTF-8 text; bytes that are not UTF-8 are replaced. */
	readonly value: string;
	/** Revision of the last change, greater than 0. */
	readonly revision: number;
};

/**
 * Outcome of a call, with the era of the store that responded. The era increases when the store is restored from an older
 * copy; revisions of different eras do not belong to the same history.
 */
export type StoreAnswer<Value> = {
	/** Era in the response, 0 if the store has no eras, or `undefined` if there was no response or an error that states none. */
	readonly era: number | undefined;
	readonly outcome: Result<Value, StoreError>;
};

/** Change of the store: an item as it was written, or the removal of a key. */
export type StoreChange
	= | ({readonly removed: false} & StoreItem)
		| {readonly removed: true; readonly key: string; readonly revision: number};

/** Reasons why a call to the store failed. */
export enum StoreFailure {
	/** The store did not answer or reported an internal error. */
	Unavailable = 'unavailable',
	/** The store has discarded changes after the given revision, or lost the revision itself. */
	HistoryGone = 'history-gone',
	/** The store rejected the call as invalid. */
	Rejected = 'rejected',
	/** The call was based on an earlier era of the store, and has no effect on the present one. */
	EraEnded = 'era-ended',
}

/** Error of a call to the store. */
export type StoreError = {
	readonly failure: StoreFailure;
	/** `MayHaveRun` if a write was sent and no reply arrived. The write may still take effect seconds later. */
	readonly verdict: Verdict;
	readonly message: string;
};

/** Items whose keys start with a prefix. */
export type StoreSnapshot = {
	readonly items: readonly StoreItem[];
	/** Revision of the store at the time of the read. */
	readonly revision: number;
};

/** Changes of the items whose keys start with a prefix. */
export type StoreChanges = {
	readonly changes: readonly StoreChange[];
	/** Revision after which the next call continues. */
	readonly revision: number;
};

/** Atomic change of several keys. */
export type StoreTransaction = {
	/** Keys with the revisions on which the change is based, or 0 if the key must not exist. */
	readonly expected: ReadonlyArray<{readonly key: string; readonly revision: number}>;
	readonly writes: ReadonlyArray<{readonly key: string; readonly value: string}>;
	readonly removals: readonly string[];
};

/** Outcome of a transaction that was answered. */
export type StoreTransactionOutcome
	= | {readonly committed: true; readonly revision: number}
	/** Current items of the expected keys. Keys that do not exist are omitted. */
		| {readonly committed: false; readonly current: readonly StoreItem[]};

/**
 * Linearizable key-value store of the platform, shared by all hosts. Its revisions never decrease, also when the platform
 * restores it from an older copy.
 */
export type SharedStore = {
	/**
	 * Reads all items whose keys start with a prefix.
	 *
	 * @param prefix - Prefix of the keys.
	 * @param timeoutMilliseconds - Time after which the call fails.
	 */
	readRange(prefix: string, timeoutMilliseconds: number): Promise<Result<StoreSnapshot, StoreError>>;

	/**
	 * Waits for changes of items whose keys start with a prefix.
	 *
	 * @param prefix - Prefix of the keys.
	 * @param afterRevision - Changes up to this revision are not reported.
	 * @param waitMilliseconds - Time after which the call returns without changes.
	 * @param signal - Cancels the call.
	 */
	waitForChanges(prefix: string, afterRevision: number, waitMilliseconds: number, signal?: AbortSignal): Promise<Result<StoreChanges, StoreError>>;

	/**
	 * Changes several keys atomically if their revisions are as expected.
	 *
	 * @param transaction - Conditions and changes.
	 * @param timeoutMilliseconds - Time after which the call fails.
	 */
	commit(transaction: StoreTransaction, timeoutMilliseconds: number): Promise<Result<StoreTransactionOutcome, StoreError>>;

	/**
	 * Creates a lease.
	 *
	 * @param timeToLiveMilliseconds - Time after which the lease expires unless it is renewed.
	 * @param timeoutMilliseconds - Time after which the call fails.
	 * @returns Identifier of the lease.
	 */
	createLease(timeToLiveMilliseconds: number, timeoutMilliseconds: number): Promise<Result<number, StoreError>>;

	/**
	 * Renews a lease.
	 *
	 * @param lease - Identifier of the lease.
	 * @param timeoutMilliseconds - Time after which the call fails.
	 * @returns Whether the lease existed when the store received the call.
	 */
	renewLease(lease: number, timeoutMilliseconds: number): Promise<Result<boolean, StoreError>>;

	/**
	 * Revokes a lease.
	 *
	 * @param lease - Identifier of the lease.
	 * @param timeoutMilliseconds - Time after which the call fails.
	 */
	endLease(lease: number, timeoutMilliseconds: number): Promise<Result<void, StoreError>>;
};

/** Store whose answers state the era. Its revisions are comparable within one era only. */
export type RestorableStore = {
	readonly [Call in keyof SharedStore]: (...parameters: Parameters<SharedStore[Call]>) => Promise<StoreAnswer<ResultValue<ReturnType<SharedStore[Call]>>>>;
};

type ResultValue<Outcome> = Outcome extends Promise<Result<infer Value, StoreError>> ? Value : never;
