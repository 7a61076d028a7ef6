import {
	type SharedStore, type StoreChanges, type StoreError, type StoreSnapshot, type StoreTransaction, type StoreTransactionOutcome,
} from '@tarragonstack/core/adapters/shared-store';
import {type Result} from 'neverthrow';
import {type HostMetrics} from './host-metrics.js';

/** Decorator of the shared store that counts calls by kind and outcome. */
export class MeteredStore implements SharedStore {
	readonly #store: SharedStore;
	readonly #metrics: HostMetrics;

	/**
	 * @param store - Decorated store.
	 * @param metrics - Metrics to update.
	 */
	constructor(store: SharedStore, metrics: HostMetrics) {
		this.#store = store;
		this.#metrics = metrics;
	}

	/** @inheritdoc */
	async readRange(prefix: string, timeoutMilliseconds: number): Promise<Result<StoreSnapshot, StoreError>> {
		return this.#count('read-range', this.#store.readRange(prefix, timeoutMilliseconds));
	}

	/** @inheritdoc */
	async waitForChanges(prefix: string, afterRevision: number, waitMilliseconds: number, signal?: AbortSignal): Promise<Result<StoreChanges, StoreError>> {
		return this.#count('watch', this.#store.waitForChanges(prefix, afterRevision, waitMilliseconds, signal));
	}

	/** @inheritdoc */
	async commit(transaction: StoreTransaction, timeoutMilliseconds: number): Promise<Result<StoreTransactionOutcome, StoreError>> {
		return this.#count('commit', this.#store.commit(transaction, timeoutMilliseconds));
	}

	/** @inheritdoc */
	async createLease(timeToLiveMilliseconds: number, timeoutMilliseconds: number): Promise<Result<number, StoreError>> {
		return this.#count('create-lease', this.#store.createLease(timeToLiveMilliseconds, timeoutMilliseconds));
	}

	/** @inheritdoc */
	async renewLease(lease: number, timeoutMilliseconds: number): Promise<Result<boolean, StoreError>> {
		return this.#count('renew-lease', this.#store.renewLease(lease, timeoutMilliseconds));
	}

	/** @inheritdoc */
	async endLease(lease: number, timeoutMilliseconds: number): Promise<Result<void, StoreError>> {
		return this.#count('end-lease', this.#store.endLease(lease, timeoutMilliseconds));
	}

	async #count<Value>(call: string, outcome: Promise<Result<Value, StoreError>>): Promise<Result<Value, StoreError>> {
		const result = await outcome;
		this.#metrics.countStoreCall(call, result.isOk() ? 'ok' : result.error.failure);
		return result;
	}
}
