import {type SharedStore} from '@tarragonstack/core/adapters/shared-store';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type EventLog} from './event-log.js';
import {callTimeoutMilliseconds} from './promotion-context.js';
import {type StoreEra} from './store-era.js';
import {createStoreKeys, getKeyEra} from './store-keys.js';
import {type StoreView} from './store-view.js';

/** Time in an era of the store before records of earlier ones are removed, in milliseconds. Until then, hosts that start use them. */
const retentionMilliseconds = 15_000;

/** Interval between removals, in milliseconds. */
const removalIntervalMilliseconds = 1000;

/** Number of keys that the store removes in one call. */
const keysPerCall = 32;

/** Dependencies of an `ObsoleteRecordRemover`. */
export type ObsoleteRecordRemoverOptions = {
	readonly store: SharedStore;
	readonly timer: TimerService;
	readonly log: EventLog;
	readonly era: StoreEra;
	readonly view: StoreView;
	/** Whether this host removes the records for the fleet. */
	isResponsible(): boolean;
};

/** Removes the fleet's records of earlier eras, which a restored store still contains. */
export class ObsoleteRecordRemover {
	readonly #options: ObsoleteRecordRemoverOptions;
	#nextAt = Number.POSITIVE_INFINITY;

	/**
	 * @param options - Dependencies.
	 */
	constructor(options: ObsoleteRecordRemoverOptions) {
		this.#options = options;
	}

	/** Handles a new era of the store. */
	handleEraEntered(): void {
		this.#nextAt = this.#options.timer.now() + retentionMilliseconds;
	}

	/** Removes some records if it is time to. Called periodically. */
	check(now: number): void {
		if (now < this.#nextAt) {
			return;
		}

		this.#nextAt = now + removalIntervalMilliseconds;
		if (this.#options.isResponsible()) {
			void this.#remove();
		}
	}

	async #remove(): Promise<void> {
		const {store, log} = this.#options;
		const removals = this.#findObsoleteKeys().slice(0, keysPerCall);
		if (removals.length === 0) {
			return;
		}

		const outcome = await store.commit({expected: [], writes: [], removals}, callTimeoutMilliseconds);
		log.write('records-removed', {keys: removals.length, outcome: outcome.isOk() ? 'removed' : outcome.error.message});
	}

	#findObsoleteKeys(): string[] {
		const {view, era} = this.#options;
		const present = new Set(view.getPresentKeys());
		return [...present].filter(key => {
			const keyEra = getKeyEra(key);
			if (keyEra === undefined || keyEra >= era.number) {
				return false;
			}

			// The record of a group says that the group needs no first record, until it has one in the present era.
			const {groupPrefix} = createStoreKeys(keyEra);
			return !key.startsWith(groupPrefix) || present.has(`${era.keys.groupPrefix}${key.slice(groupPrefix.length)}`);
		});
	}
}
