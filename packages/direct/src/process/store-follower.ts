import {type SharedStore, StoreFailure, type StoreChange, type StoreItem} from '@tarragonstack/core/adapters/shared-store';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type EventLog} from './event-log.js';

/** Time that a call to the store may take, in milliseconds; it answers in 4 ms, and 60 times later when it is slow. */
const callTimeoutMilliseconds = 1000;

/**
 * Part of the time for a change of the configuration that a watch without changes leaves over, in milliseconds: a watch
 * whose connection went silent is noticed 0.6 s after its time, and the snapshot that follows takes a call.
 */
const watchReserveMilliseconds = 1000;

/** Bounds of the time that a watch stays open without changes, in milliseconds; the store ends one after 30 s. */
const minimumWatchMilliseconds = 500;
const maximumWatchMilliseconds = 20_000;

/** Pause after a failed call, in milliseconds. Failed calls are priced as well. */
const retryDelayMilliseconds = 250;

/** Receiver of the items of the store. */
export type StoreListener = {
	/**
	 * Called for each item that was written, in order of revision.
	 *
	 * @returns Whether further changes that belong to this one must be learnt of at once.
	 */
	handleItem(item: StoreItem): boolean;
	/**
	 * Called for each key that was removed.
	 *
	 * @returns Whether further changes that belong to this one must be learnt of at once.
	 */
	handleRemoval(key: string): boolean;
	/** Called when all changes of one call have been reported. */
	handleChangesApplied(): void;
};

/** Options of `StoreFollower`. */
export type StoreFollowerOptions = {
	readonly store: SharedStore;
	readonly timer: TimerService;
	readonly log: EventLog;
	readonly listener: StoreListener;
	/** Time within which a new configuration has to be in force, in milliseconds. */
	readonly configurationMilliseconds: number;
	/** Returns the pause before the next watch after changes that nobody waits for, in milliseconds. */
	getBatchingDelay(): number;
};

/** Keeps a host informed of all items of the shared store. */
export class StoreFollower {
	readonly #options: StoreFollowerOptions;
	readonly #revisions = new Map<string, number>();
	readonly #abort = new AbortController();
	#watchAbort = new AbortController();
	#watchedRevision = 0;
	#isAvailable = true;
	#hasSnapshot = false;

	/**
	 * @param options - Store and listener.
	 */
	constructor(options: StoreFollowerOptions) {
		this.#options = options;
	}

	/** Whether the last call was answered. */
	get isAvailable(): boolean {
		return this.#isAvailable;
	}

	/** Follows the store until `stop` is called. */
	start(): void {
		void this.#follow();
	}

	/** Ends the calls that would follow. */
	stop(): void {
		this.#abort.abort();
		this.#watchAbort.abort();
	}

	/**
	 * Reads all items below a prefix at once.
	 *
	 * @param prefix - Start of the keys.
	 * @returns Whether the store answered.
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

	/** Begins a new watch, because the store was away: a call that was under way then may never be answered. */
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

	/** Reports changes; returns whether further ones must be learnt of at once. */
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
