import {
	type RestorableStore, type SharedStore, type StoreAnswer, type StoreChange, type StoreChanges, type StoreError, StoreFailure, type StoreItem, type StoreSnapshot,
	type StoreTransaction, type StoreTransactionOutcome,
} from '@tarragonstack/core/adapters/shared-store';
import {getEra, getStoreRevision, toRevision} from '@tarragonstack/core/adapters/store-revision';
import {Verdict} from '@tarragonstack/core/request/verdict';
import {err, ok, type Result} from 'neverthrow';
import {type StoreEra} from './store-era.js';

/** Outcome of a call that the store answered in a known era. */
type Observed<Value> = {
	readonly era: number;
	/** Whether this host already went by the era when it sent the call. */
	readonly isEraOfCall: boolean;
	readonly value: Value;
};

/**
 * Gives a store that may be restored from an older copy revisions which never decrease.
 *
 * Revisions of a later era are greater than all of the earlier ones. An answer from an earlier era than the present one is
 * not used, and a call that is based on a revision or a lease of an earlier era fails.
 */
export class ContinuousStore implements SharedStore {
	readonly #store: RestorableStore;
	readonly #era: StoreEra;

	/**
	 * @param store - Store whose answers state the era.
	 * @param era - Era that this host goes by.
	 */
	constructor(store: RestorableStore, era: StoreEra) {
		this.#store = store;
		this.#era = era;
	}

	/** @inheritdoc */
	async readRange(prefix: string, timeoutMilliseconds: number): Promise<Result<StoreSnapshot, StoreError>> {
		const answer = await this.#observe(this.#store.readRange(prefix, timeoutMilliseconds));
		return answer.map(({era, value: {items, revision}}) => ({items: items.map(item => toItem(era, item)), revision: toRevision(era, revision)}));
	}

	/** @inheritdoc */
	async waitForChanges(prefix: string, afterRevision: number, waitMilliseconds: number, signal?: AbortSignal): Promise<Result<StoreChanges, StoreError>> {
		const afterEra = getEra(afterRevision);
		if (this.#era.isKnown && afterEra !== this.#era.number) {
			return err(createHistoryGone());
		}

		const answer = await this.#observe(this.#store.waitForChanges(prefix, getStoreRevision(afterRevision), waitMilliseconds, signal));
		// The store cannot tell that a revision is from a lost history if it has assigned the same number again.
		return answer.andThen(({era, value: {changes, revision}}) => era === afterEra
			? ok({changes: changes.map((change): StoreChange => ({...change, revision: toRevision(era, change.revision)})), revision: toRevision(era, revision)})
			: err(createHistoryGone()));
	}

	/** @inheritdoc */
	async commit({expected, writes, removals}: StoreTransaction, timeoutMilliseconds: number): Promise<Result<StoreTransactionOutcome, StoreError>> {
		if (expected.some(({revision}) => revision > 0 && getEra(revision) !== this.#era.number)) {
			return err(createEraEnded(Verdict.NotRun));
		}

		const answer = await this.#observe(this.#store.commit({
			expected: expected.map(({key, revision}) => ({key, revision: getStoreRevision(revision)})), writes, removals,
		}, timeoutMilliseconds));
		return answer.andThen(({era, isEraOfCall, value}): Result<StoreTransactionOutcome, StoreError> => {
			if (!isEraOfCall) {
				return err(createEraEnded(Verdict.MayHaveRun));
			}

			return ok(value.committed
				? {committed: true, revision: toRevision(era, value.revision)}
				: {committed: false, current: value.current.map(item => toItem(era, item))});
		});
	}

	/** @inheritdoc */
	async createLease(timeToLiveMilliseconds: number, timeoutMilliseconds: number): Promise<Result<number, StoreError>> {
		const answer = await this.#observe(this.#store.createLease(timeToLiveMilliseconds, timeoutMilliseconds));
		return answer.map(({value}) => value);
	}

	/** @inheritdoc */
	async renewLease(lease: number, timeoutMilliseconds: number): Promise<Result<boolean, StoreError>> {
		const answer = await this.#observe(this.#store.renewLease(lease, timeoutMilliseconds));
		return answer.map(({isEraOfCall, value}) => isEraOfCall && value);
	}

	/** @inheritdoc */
	async endLease(lease: number, timeoutMilliseconds: number): Promise<Result<void, StoreError>> {
		const answer = await this.#observe(this.#store.endLease(lease, timeoutMilliseconds));
		return answer.map(({value}) => value);
	}

	async #observe<Value>(call: Promise<StoreAnswer<Value>>): Promise<Result<Observed<Value>, StoreError>> {
		const sentIn = this.#era.isKnown ? this.#era.number : undefined;
		const {era, outcome} = await call;
		if (era === undefined) {
			return outcome.map(value => ({era: 0, isEraOfCall: false, value}));
		}

		this.#era.enter(era, 'store');
		return era < this.#era.number
			? err(createEraEnded(Verdict.MayHaveRun))
			: outcome.map(value => ({era, isEraOfCall: sentIn === undefined || sentIn === era, value}));
	}
}

function toItem(era: number, item: StoreItem): StoreItem {
	return {...item, revision: toRevision(era, item.revision)};
}

function createHistoryGone(): StoreError {
	return {failure: StoreFailure.HistoryGone, verdict: Verdict.NotRun, message: 'the revision is from an earlier era of the store'};
}

function createEraEnded(verdict: Verdict): StoreError {
	return {failure: StoreFailure.EraEnded, verdict, message: 'the store was restored from an older copy'};
}
