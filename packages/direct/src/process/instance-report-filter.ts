import {type StoreItem} from '@tarragonstack/core/adapters/shared-store';
import {getEra} from '@tarragonstack/core/adapters/store-revision';
import {type InstanceEntry} from './instance-entry.js';

/**
 * Time for which an entry of a restored store is withheld that is older than what this host knows of the instance, in
 * milliseconds. The entry of an instance that has left is removed earlier than that.
 */
const withholdingMilliseconds = 5000;

type LastReport = Pick<InstanceEntry, 'startedAt' | 'sequence'> & {readonly era: number; isRemoved: boolean};

/**
 * Withholds entries that a restored store shows again: of instances that have left, and from before an instance reported that
 * it is about to leave. Within one era the store's order is decisive.
 */
export class InstanceReportFilter {
	readonly #lastReports = new Map<string, LastReport>();
	readonly #withheld = new Map<string, {readonly item: StoreItem; readonly since: number}>();

	/**
	 * Decides whether an entry may be used now.
	 *
	 * @param entry - Decoded entry.
	 * @param item - Store item of the entry.
	 * @param now - Monotonic time, in milliseconds.
	 */
	accept(entry: InstanceEntry, item: StoreItem, now: number): boolean {
		const {id, startedAt, sequence} = entry;
		const last = this.#lastReports.get(id);
		const era = getEra(item.revision);
		const since = this.#withheld.get(id)?.since ?? now;
		if (last && last.era < era && isOutdated(entry, last) && now - since < withholdingMilliseconds) {
			this.#withheld.set(id, {item, since});
			return false;
		}

		this.#withheld.delete(id);
		this.#lastReports.set(id, {startedAt, sequence, era, isRemoved: false});
		return true;
	}

	/**
	 * Handles the removal of an entry. An entry that a restored store lacks was not removed because its instance has left.
	 *
	 * @param id - Identifier of the instance.
	 * @param era - Era of the store in which the removal was seen.
	 */
	handleRemoval(id: string, era: number): void {
		this.#withheld.delete(id);
		const last = this.#lastReports.get(id);
		if (last?.era === era) {
			last.isRemoved = true;
		}
	}

	/** Returns the entries that the store has kept for so long that their instances must be alive. */
	getDueItems(now: number): StoreItem[] {
		return [...this.#withheld.values()].filter(({since}) => now - since >= withholdingMilliseconds).map(({item}) => item);
	}
}

function isOutdated({startedAt, sequence}: InstanceEntry, last: LastReport): boolean {
	if (startedAt !== last.startedAt) {
		return startedAt < last.startedAt;
	}

	return sequence < last.sequence || (sequence === last.sequence && last.isRemoved);
}
