import {type EventLog} from './event-log.js';
import {createStoreKeys, type StoreKeys} from './store-keys.js';

/** Called when a later era of the store is entered; `previous` is `undefined` for the first era that the process knows. */
export type StoreEraListener = (previous: number | undefined) => void;

/**
 * Era of the store that this host goes by. The store begins a new era when it is restored from an older copy: it has then
 * lost what it acknowledged after the copy, including all leases.
 */
export class StoreEra {
	/** Called after a later era was entered. */
	onEntered: StoreEraListener | undefined;
	readonly #log: EventLog;
	#number: number | undefined;
	#keys = createStoreKeys(0);

	/**
	 * @param log - Log for new eras.
	 */
	constructor(log: EventLog) {
		this.#log = log;
	}

	/** Whether the store has answered, or another host has told the era. */
	get isKnown(): boolean {
		return this.#number !== undefined;
	}

	/** Number of the era; 0 while it is unknown. */
	get number(): number {
		return this.#number ?? 0;
	}

	/** Keys of the fleet's records in this era. */
	get keys(): StoreKeys {
		return this.#keys;
	}

	/**
	 * Enters an era unless this host already goes by it or by a later one.
	 *
	 * @param era - Era in an answer of the store or in a message of another host.
	 * @param source - Where the era was seen.
	 */
	enter(era: number, source: string): void {
		if (this.#number !== undefined && era <= this.#number) {
			return;
		}

		const previous = this.#number;
		this.#number = era;
		this.#keys = createStoreKeys(era);
		this.#log.write('store-era', {era, previousEra: previous, source});
		this.onEntered?.(previous);
	}
}
