import {type SharedStore, StoreFailure, type StoreSnapshot} from '@tarragonstack/core/adapters/shared-store';
import {formatRevision, getEra, getStoreRevision} from '@tarragonstack/core/adapters/store-revision';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {GrowingDelay} from '../request/growing-delay.js';
import {type EventLog} from './event-log.js';
import {type StoreEra} from './store-era.js';
import {type StoreView} from './store-view.js';

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

/** Greatest delay before the whole store is read again, in milliseconds. Half of it passes even if every read fails. */
const maximumReadDelayMilliseconds = 1000;

/** Options of `StoreFollower`. */
export type StoreFollowerOptions = {
	readonly store: SharedStore;
	readonly timer: TimerService;
	readonly log: EventLog;
	/** Copy of the store that is kept up to date. */
	readonly view: StoreView;
	/** Era of the store that this host goes by. */
	readonly era: StoreEra;
	/** Time within which a new configuration must be applied, in milliseconds. */
	readonly configurationMilliseconds: number;
};

/** Watches the shared store and applies all changes to a copy of it. */
export class StoreFollower {
	readonly #options: StoreFollowerOptions;
	readonly #readDelays = new GrowingDelay(retryDelayMilliseconds, maximumReadDelayMilliseconds);
	#abort = new AbortController();
	#watchAbort = new AbortController();
	#isRunning = false;
	#isAvailable = true;
	#isHistoryGone = false;
	/** Era of the last read of the whole store. */
	#copiedEra: number | undefined;
	/** Whether no watch has succeeded since the whole store was read. */
	#hasReadSinceWatch = false;

	/**
	 * @param options - Store, copy of its items and dependencies.
	 */
	constructor(options: StoreFollowerOptions) {
		this.#options = options;
	}

	/** Whether the store responded to the last call. */
	get isAvailable(): boolean {
		return this.#isAvailable;
	}

	/** Whether the store is watched. */
	get isRunning(): boolean {
		return this.#isRunning;
	}

	/** Watches the store until `stop` is called, beginning at the revision of the copy. */
	start(): void {
		this.stop();
		this.#isRunning = true;
		this.#abort = new AbortController();
		void this.#follow(this.#abort.signal);
	}

	/** Stops watching. */
	stop(): void {
		this.#isRunning = false;
		this.#abort.abort();
		this.#watchAbort.abort();
	}

	/**
	 * Reads all items with a key prefix immediately and applies them.
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
		if (prefix === '') {
			this.#logRestoration(outcome.value);
		}

		this.#options.view.applySnapshot(prefix, outcome.value.items, outcome.value.revision);
		return true;
	}

	/**
	 * Reads all items with one of several key prefixes, as `read` does.
	 *
	 * @returns Whether the store responded to all reads.
	 */
	async readAll(prefixes: readonly string[]): Promise<boolean> {
		const responses = await Promise.all(prefixes.map(async prefix => this.read(prefix)));
		return responses.every(Boolean);
	}

	/** Restarts the watch after an outage of the store, because a call from before or during it may never be answered. */
	restartWatch(): void {
		this.#watchAbort.abort();
	}

	async #follow(signal: AbortSignal): Promise<void> {
		const {store, timer, view, era, configurationMilliseconds} = this.#options;
		const watchMilliseconds = Math.min(maximumWatchMilliseconds, Math.max(minimumWatchMilliseconds, configurationMilliseconds - watchReserveMilliseconds));
		while (!signal.aborted) {
			if (view.revision === 0 || this.#isHistoryGone || getEra(view.revision) !== era.number) {
				this.#isHistoryGone = !(await this.read(''));
				this.#hasReadSinceWatch = true;
				// A host that follows a delegate from its first snapshot on does not watch the store.
				if (signal.aborted) {
					return;
				}

				if (this.#isHistoryGone) {
					await timer.sleep(this.#readDelays.next(), signal);
					continue;
				}
			}

			this.#watchAbort = new AbortController();
			const watchSignal = this.#watchAbort.signal;
			const {revision} = view;
			const outcome = await store.waitForChanges('', revision, watchMilliseconds, watchSignal);
			if (signal.aborted) {
				return;
			}

			if (outcome.isOk()) {
				this.#setAvailable(true, '');
				this.#readDelays.reset();
				this.#hasReadSinceWatch = false;
				const delayMilliseconds = view.applyChanges(outcome.value.changes, outcome.value.revision);
				if (delayMilliseconds > 0 && Number.isFinite(delayMilliseconds)) {
					await timer.sleep(delayMilliseconds, signal);
				}
			} else if (outcome.error.failure === StoreFailure.HistoryGone) {
				this.#options.log.write('store-history-gone', {revision: formatRevision(revision)});
				this.#isHistoryGone = true;
				await this.#waitAfterRepeatedRead(signal);
			} else if (!watchSignal.aborted) {
				this.#setAvailable(false, outcome.error.message);
				await timer.sleep(retryDelayMilliseconds, signal);
			}
		}
	}

	/** Waits if the history was gone again directly after the store was read. */
	async #waitAfterRepeatedRead(signal: AbortSignal): Promise<void> {
		if (this.#hasReadSinceWatch) {
			await this.#options.timer.sleep(this.#readDelays.next(), signal);
		}
	}

	#logRestoration({items, revision}: StoreSnapshot): void {
		const {log, view, era} = this.#options;
		if (this.#copiedEra !== undefined && this.#copiedEra !== era.number && getEra(revision) === era.number) {
			log.write('store-restored', {
				previousEra: this.#copiedEra, era: era.number, previousRevision: getStoreRevision(view.revision), revision: getStoreRevision(revision), lostItems: view.countLostItems(items),
			});
		}

		this.#copiedEra = era.number;
	}

	#setAvailable(isAvailable: boolean, reason: string): void {
		if (isAvailable !== this.#isAvailable) {
			this.#isAvailable = isAvailable;
			this.#options.log.write(isAvailable ? 'store-regained' : 'store-lost', {reason});
		}
	}
}
