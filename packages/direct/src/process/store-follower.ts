import {type SharedStore, StoreFailure, type StoreChange, type StoreItem} from '@tarragonstack/core/adapters/shared-store';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type EventLog} from './event-log.js';

/** Timeout of a store call, in milliseconds. A call usually takes 4 ms, and 60 times as long when the store is slow. */
const callTimeoutMilliseconds = 1000;

/**
 * Time by which a watch without changes ends before the deadline for a new configuration, in milliseconds. A watch on a
 * dead connection is detected 0.6 s after it should have ended, and the snapshot that follows takes another call.
 */
const watchReserveMilliseconds = 1000;

/** Bounds of the duration of a watch without changes, in milliseconds. The store ends a watch after 30 s. */
const minimumWatchMilliseconds = 500;
const maximumWatchMilliseconds = 20_000;

/** Delay after a failed call, in milliseconds. Failed calls are billed as well. */
const retryDelayMilliseconds = 250;

/** Listener for changes of the store. */
export type StoreListener = {
	/**
	 * Called for each item that was written, in order of revision.
	 *
	 * @returns Whether subsequent changes must be received without a batching delay.
	 */
	handleItem(item: StoreItem): boolean;
	/**
	 * Called for each key that was removed.
	 *
	 * @returns Whether subsequent changes must be received without a batching delay.
	 */
	handleRemoval(key: string): boolean;
	/** Called when all changes of one store call have been reported. */
	handleChangesApplied(): void;
};

/** Options of `StoreFollower`. */
export type StoreFollowerOptions = {
	readonly store: SharedStore;
	readonly timer: TimerService;
	readonly log: EventLog;
	readonly listener: StoreListener;
	/** Time within which a new configuration must be applied, in milliseconds. */
	readonly configurationMilliseconds: number;
	/** Returns the delay before the next watch after changes that are not urgent, in milliseconds. */
	getBatchingDelay(): number;
};

/** Watches the shared store and reports all changes to a listener. */
export class StoreFollower {
	readonly #options: StoreFollowerOptions;
	readonly #revisions = new Map<string, number>();
	readonly #abort = new AbortController();
	#watchAbort = new AbortController();
	#watchedRevision = 0;
	#isAvailable = true;
	#hasSnapshot = false;

	/**
	 * @param options - Store, listener and dependencies.
	 */
	constructor(options: StoreFollowerOptions) {
		this.#options = options;
	}

	/** Whether the store responded to the last call. */
	get isAvailable(): boolean {
		return this.#isAvailable;
	}

	/** Watches the store until `stop` is called. */
	start(): void {
		void this.#follow();
	}

	/** Stops watching. */
	stop(): void {
		this.#abort.abort();
		this.#watchAbort.abort();
	}

	/**
	 * Reads all items with a key prefix immediately and reports their changes.
	 *
	 * @param prefix - Key prefix.
	 * @returns Whether the store responded.
	 */
	async read(prefix: string): Promise<boolean> {
		const outcome = await this.#options.store.readRange(prefix, callTimeoutMilliseconds);
		if (outcome.isErr()) {
			this.#setAvailable(false, outcome.error.message);
			return false;
		}

		this.#setAvailable(true, '');
		this.#applySnapshot(prefix, outcome.value.items, outcome.value.revision);
		return true;
	}

	/** Restarts the watch after an outage of the store, because a call from before or during it may never be answered. */
	restartWatch(): void {
		this.#watchAbort.abort();
	}

	async #follow(): Promise<void> {
		const {store, timer, configurationMilliseconds} = this.#options;
		const watchMilliseconds = Math.min(maximumWatchMilliseconds, Math.max(minimumWatchMilliseconds, configurationMilliseconds - watchReserveMilliseconds));
		while (!this.#abort.signal.aborted) {
			if (!this.#hasSnapshot && !(await this.#readSnapshot())) {
				await timer.sleep(retryDelayMilliseconds, this.#abort.signal);
				continue;
			}

			this.#watchAbort = new AbortController();
			const outcome = await store.waitForChanges('', this.#watchedRevision, watchMilliseconds, this.#watchAbort.signal);
			if (outcome.isOk()) {
				this.#setAvailable(true, '');
				const isUrgent = this.#apply(outcome.value.changes);
				this.#watchedRevision = Math.max(this.#watchedRevision, outcome.value.revision);
				if (!isUrgent && outcome.value.changes.length > 0) {
					await this.#waitForBatch();
				}
			} else if (outcome.error.failure === StoreFailure.HistoryGone) {
				this.#options.log.write('store-history-gone', {revision: this.#watchedRevision});
				this.#hasSnapshot = false;
			} else if (!this.#watchAbort.signal.aborted) {
				this.#setAvailable(false, outcome.error.message);
				await timer.sleep(retryDelayMilliseconds, this.#abort.signal);
			}
		}
	}

	async #waitForBatch(): Promise<void> {
		const delayMilliseconds = this.#options.getBatchingDelay();
		if (delayMilliseconds > 0) {
			await this.#options.timer.sleep(delayMilliseconds, this.#abort.signal);
		}
	}

	async #readSnapshot(): Promise<boolean> {
		const outcome = await this.#options.store.readRange('', callTimeoutMilliseconds);
		if (outcome.isErr()) {
			this.#setAvailable(false, outcome.error.message);
			return false;
		}

		this.#setAvailable(true, '');
		this.#applySnapshot('', outcome.value.items, outcome.value.revision);
		this.#watchedRevision = outcome.value.revision;
		this.#hasSnapshot = true;
		return true;
	}

	/** Reports changes; returns whether subsequent ones must be received without a batching delay. */
	#apply(changes: readonly StoreChange[]): boolean {
		let isUrgent = false;
		for (const change of changes) {
			if (change.revision <= (this.#revisions.get(change.key) ?? 0)) {
				continue;
			}

			this.#revisions.set(change.key, change.revision);
			const {listener} = this.#options;
			isUrgent = (change.removed ? listener.handleRemoval(change.key) : listener.handleItem(change)) || isUrgent;
		}

		this.#options.listener.handleChangesApplied();
		return isUrgent;
	}

	#applySnapshot(prefix: string, items: readonly StoreItem[], revision: number): void {
		const present = new Set(items.map(({key}) => key));
		const removals: StoreChange[] = [...this.#revisions.keys()]
			.filter(key => key.startsWith(prefix) && !present.has(key) && this.#revisions.get(key)! < revision)
			.map(key => ({removed: true, key, revision}));
		this.#apply([...removals, ...items.map(item => ({removed: false as const, ...item}))]);
	}

	#setAvailable(isAvailable: boolean, reason: string): void {
		if (isAvailable !== this.#isAvailable) {
			this.#isAvailable = isAvailable;
			this.#options.log.write(isAvailable ? 'store-regained' : 'store-lost', {reason});
		}
	}
}
