import {type StoreItem} from '@tarragonstack/core/adapters/shared-store';
import {type EventLog} from './event-log.js';
import {parseHostRecord, type HostRecord} from './host-record.js';

/** Record of a host with its revision in the store. */
export type FleetHost = {
	readonly record: HostRecord;
	readonly revision: number;
};

/** Local view of the registered hosts and of the promoter in the shared store. */
export class FleetView {
	/** Registered hosts by name. */
	readonly hosts = new Map<string, FleetHost>();
	/** Number of changes of the registered hosts, including restarts. */
	membershipChanges = 0;
	readonly #log: EventLog;
	#promoter: StoreItem | undefined;

	/**
	 * @param log - Log for membership changes.
	 */
	constructor(log: EventLog) {
		this.#log = log;
	}

	/** Store item of the promoter, or `undefined` if there is none. */
	get promoter(): StoreItem | undefined {
		return this.#promoter;
	}

	/** Applies a store item of the promoter unless a newer one is known. */
	updatePromoter(item: StoreItem): void {
		if (!this.#promoter || item.revision > this.#promoter.revision) {
			this.#promoter = item;
		}
	}

	/** Removes the promoter after its item was removed from the store. */
	removePromoter(): void {
		this.#promoter = undefined;
	}

	/**
	 * Applies the record of a host.
	 *
	 * @returns Whether the confirmations or suspicions in the record have changed.
	 */
	updateHost(name: string, item: StoreItem): boolean {
		const record = parseHostRecord(item.value);
		if (record.isErr()) {
			this.#log.write('record-invalid', {key: item.key, reason: record.error});
			return false;
		}

		const previous = this.hosts.get(name)?.record;
		if (previous?.incarnation !== record.value.incarnation) {
			this.membershipChanges++;
			this.#log.write('host-added', {host: name, incarnation: record.value.incarnation});
		}

		this.hosts.set(name, {record: record.value, revision: item.revision});
		return serializeGroupReports(record.value) !== serializeGroupReports(previous);
	}

	/**
	 * Removes a host. A record is removed by the host itself when it no longer uses any primary, or by a promoter after the
	 * host's authority has expired. A host without a record therefore has no authority.
	 */
	removeHost(name: string): void {
		if (this.hosts.delete(name)) {
			this.membershipChanges++;
			this.#log.write('host-gone', {host: name});
		}
	}
}

/** Serializes the confirmations and suspicions of a host for comparison. */
function serializeGroupReports(record: HostRecord | undefined): string {
	return JSON.stringify([record?.confirmed ?? {}, record?.suspected ?? []]);
}
