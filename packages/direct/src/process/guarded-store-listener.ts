import {type StoreItem} from '@tarragonstack/core/adapters/shared-store';
import {formatRevision} from '@tarragonstack/core/adapters/store-revision';
import {type EventLog} from './event-log.js';
import {type StoreListener} from './store-view.js';

/**
 * Listener that logs an unexpected error of another listener and goes on. Other writers may store anything: one item must
 * neither end the process nor hide the items that follow it.
 */
export class GuardedStoreListener implements StoreListener {
	readonly #listener: StoreListener;
	readonly #log: EventLog;

	/**
	 * @param listener - Listener that handles the changes.
	 * @param log - Event log for unexpected errors.
	 */
	constructor(listener: StoreListener, log: EventLog) {
		this.#listener = listener;
		this.#log = log;
	}

	/** @inheritdoc */
	handleItem(item: StoreItem): number {
		return this.#guard({key: item.key, revision: formatRevision(item.revision)}, () => this.#listener.handleItem(item));
	}

	/** @inheritdoc */
	handleRemoval(key: string): number {
		return this.#guard({key}, () => this.#listener.handleRemoval(key));
	}

	/** @inheritdoc */
	handleChangesApplied(): void {
		this.#listener.handleChangesApplied();
	}

	#guard(item: {readonly key: string; readonly revision?: string}, handle: () => number): number {
		try {
			return handle();
		} catch (error) {
			this.#log.write('store-item-failed', {...item, reason: error instanceof Error ? error.stack : String(error)});
			return 0;
		}
	}
}
