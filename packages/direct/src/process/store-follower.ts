import {type SharedStore, StoreFailure, type StoreChange, type StoreItem} from '@tarragonstack/core/adapters/shared-store';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type EventLog} from './event-log.js';

/** Time that a call to the store may take, in milliseconds; it answers in 4 ms, and 60 times later when it is slow. */
const callTimeoutMilliseconds = 1000;

/** Longest time that a watch stays open without changes, in milliseconds. Each watch is one priced call. */
const watchMilliseconds = 20_000;

/** Pause after a failed call, in milliseconds. Failed calls are priced as well. */
const failurePauseMilliseconds = 250;

/** Interval between reads of the fleet's records, in milliseconds; several fit into the time that one read permits. */
const pollIntervalMilliseconds = 1500;

/** Time that the changes of a poll may take to arrive by the watch, in milliseconds, before the watch is taken for dead. */
const watchDelayMilliseconds = 700;

/** Receiver of the items of the store. */
export type StoreListener = {
	/** Called for each item that was written, in order of revision. */
	handleItem(item: StoreItem): void;
	/** Called for each key that was removed. */
	handleRemoval(key: string): void;
	/** Called when all changes of one call have been reported. */
	handleCaughtUp(): void;
	/** Called after a read of the fleet's records that is not older than its start. */
	handleFleetRead(readStartedAt: number): void;
};

/** Options of `StoreFollower`. */
export type StoreFollowerOptions = {
	readonly store: SharedStore;
	readonly timer: TimerService;
	readonly log: EventLog;
	readonly listener: StoreListener;
	/** Prefix of the records that are read at an interval. */
	readonly polledPrefix: string;
};

/** Keeps a host informed of all items of the shared store. */
export class StoreFollower {
	readonly #options: StoreFollowerOptions;
	readonly #revisions = new Map<string, number>();
	readonly #abort = new AbortController();
	#watchedRevision = 0;
	#polledAheadSince: number | undefined;
	#wakePoll = new AbortController();
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
		void this.#poll();
	}

	/** Ends the calls that would follow. */
	stop(): void {
		this.#abort.abort();
		this.#wakePoll.abort();
	}

	/** Reads the fleet's records at once. */
	pollNow(): void {
		this.#wakePoll.abort();
	}

	async #follow(): Promise<void> {
		const {store, timer} = this.#options;
		while (!this.#abort.signal.aborted) {
			if (!this.#hasSnapshot && !(await this.#readSnapshot())) {
				await timer.sleep(failurePauseMilliseconds, this.#abort.signal);
				continue;
			}

			const outcome = await store.waitForChanges('', this.#watchedRevision, watchMilliseconds);
			if (outcome.isOk()) {
				this.#noteAvailable(true, '');
				this.#apply(outcome.value.changes);
				this.#watchedRevision = Math.max(this.#watchedRevision, outcome.value.revision);
			} else if (outcome.error.failure === StoreFailure.HistoryGone) {
				this.#options.log.write('store-history-gone', {revision: this.#watchedRevision});
				this.#hasSnapshot = false;
			} else {
				this.#noteAvailable(false, outcome.error.message);
				await timer.sleep(failurePauseMilliseconds, this.#abort.signal);
			}
		}
	}

	async #readSnapshot(): Promise<boolean> {
		const outcome = await this.#options.store.readRange('', callTimeoutMilliseconds);
		if (outcome.isErr()) {
			this.#noteAvailable(false, outcome.error.message);
			return false;
		}

		this.#noteAvailable(true, '');
		this.#applySnapshot('', outcome.value.items, outcome.value.revision);
		this.#watchedRevision = outcome.value.revision;
		this.#hasSnapshot = true;
		return true;
	}

	async #poll(): Promise<void> {
		const {store, timer, listener, polledPrefix} = this.#options;
		while (!this.#abort.signal.aborted) {
			this.#wakePoll = new AbortController();
			if (this.#hasSnapshot) {
				const readStartedAt = timer.now();
				const outcome = await store.readRange(polledPrefix, callTimeoutMilliseconds);
				this.#noteAvailable(outcome.isOk(), outcome.isErr() ? outcome.error.message : '');
				if (outcome.isOk()) {
					this.#applySnapshot(polledPrefix, outcome.value.items, outcome.value.revision);
					listener.handleFleetRead(readStartedAt);
					this.#checkWatch(outcome.value.revision);
				}
			}

			await timer.sleep(this.#hasSnapshot && this.#isAvailable ? pollIntervalMilliseconds : failurePauseMilliseconds, this.#wakePoll.signal);
		}
	}

	/** Reads everything again if the watch is behind a poll for long; its connection may have gone silent. */
	#checkWatch(revision: number): void {
		const now = this.#options.timer.now();
		if (revision <= this.#watchedRevision) {
			this.#polledAheadSince = undefined;
		} else if (this.#polledAheadSince === undefined) {
			this.#polledAheadSince = now;
		} else if (now - this.#polledAheadSince > watchDelayMilliseconds) {
			this.#polledAheadSince = undefined;
			void this.#readSnapshot();
		}
	}

	#apply(changes: readonly StoreChange[]): void {
		for (const change of changes) {
			if (change.revision <= (this.#revisions.get(change.key) ?? 0)) {
				continue;
			}

			this.#revisions.set(change.key, change.revision);
			if (change.removed) {
				this.#options.listener.handleRemoval(change.key);
			} else {
				this.#options.listener.handleItem(change);
			}
		}

		this.#options.listener.handleCaughtUp();
	}

	#applySnapshot(prefix: string, items: readonly StoreItem[], revision: number): void {
		const present = new Set(items.map(({key}) => key));
		const removals: StoreChange[] = [...this.#revisions.keys()]
			.filter(key => key.startsWith(prefix) && !present.has(key) && this.#revisions.get(key)! < revision)
			.map(key => ({removed: true, key, revision}));
		this.#apply([...removals, ...items.map(item => ({removed: false as const, ...item}))]);
	}

	#noteAvailable(isAvailable: boolean, reason: string): void {
		if (isAvailable !== this.#isAvailable) {
			this.#isAvailable = isAvailable;
			this.#options.log.write(isAvailable ? 'store-regained' : 'store-lost', {reason});
		}
	}
}
