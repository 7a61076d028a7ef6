import {type StoreItem} from '@tarragonstack/core/adapters/shared-store';
import {type EventLog} from './event-log.js';
import {parseHostRecord, type HostRecord} from './host-record.js';

/** Host of the fleet with the revision of its record. */
export type FleetHost = {
	readonly record: HostRecord;
	readonly revision: number;
};

/** Hosts of the fleet as the shared store names them, and the host that orders promotions. */
export class FleetView {
	/** Registered hosts by name. */
	readonly hosts = new Map<string, FleetHost>();
	/** Number of changes of who is registered, and where. */
	membershipChanges = 0;
	readonly #log: EventLog;
	#promoter: StoreItem | undefined;

	/**
	 * @param log - Receives changes.
	 */
	constructor(log: EventLog) {
		this.#log = log;
	}

	/** Item of the promoter, or `undefined` if there is none. */
	get promoter(): StoreItem | undefined {
		return this.#promoter;
	}

	/** Takes over the item of the promoter unless a newer one is known. */
	updatePromoter(item: StoreItem): void {
		if (!this.#promoter || item.revision > this.#promoter.revision) {
			this.#promoter = item;
		}
	}

	/** Forgets the promoter, whose item was removed. */
	removePromoter(): void {
		this.#promoter = undefined;
	}

	/**
	 * Takes over the record of a host.
	 *
	 * @returns Whether the record confirms or suspects something that it did not before.
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
	 * Removes a host. A record is removed by the host itself when it uses no primary any more, or by a promoter after the
	 * host's permission has run out; so a missing record means that the host has no permission.
	 */
	removeHost(name: string): void {
		if (this.hosts.delete(name)) {
			this.membershipChanges++;
			this.#log.write('host-gone', {host: name});
		}
	}
}

/** Returns what a host states of groups, in a form that can be compared. */
function serializeGroupReports(record: HostRecord | undefined): string {
	return JSON.stringify([record?.confirmed ?? {}, record?.suspected ?? []]);
}
