import {type StoreItem} from '@tarragonstack/core/adapters/shared-store';
import {formatRevision, getEra} from '@tarragonstack/core/adapters/store-revision';
import {isMajority} from '../request/majority.js';
import {type EventLog} from './event-log.js';
import {parseHostRecord, type HostRecord} from './host-record.js';
import {parsePromoterRecord, type PromoterRecord} from './promoter-record.js';
import {SuspicionIndex} from './suspicion-index.js';

/** Record of a host with its revision in the store. */
export type FleetHost = {
	readonly record: HostRecord;
	readonly revision: number;
};

/** What has changed in the record of a host. */
export enum HostChange {
	/** Nothing that other hosts wait for. */
	None = 'none',
	/** Its own confirmations or suspicions. */
	Reports = 'reports',
	/** The reports of its followers. Few hosts write these. */
	FollowerReports = 'follower-reports',
}

/** Local view of the registered hosts and of the promoter in the shared store. */
export class FleetView {
	/** Registered hosts by name. */
	readonly hosts = new Map<string, FleetHost>();
	/** Number of changes of the names, zones and capacities of the registered hosts. Plans that depend on these are cached. */
	membershipChanges = 0;
	readonly #log: EventLog;
	readonly #suspicions = new SuspicionIndex();
	#promoter: StoreItem | undefined;
	#promoterRecord: PromoterRecord | undefined;
	#formerPromoter: string | undefined;
	#era = 0;

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

	/**
	 * Names of the hosts that may hold a lease, in the order of the hosts. Only these may replace primaries, and a promoter waits
	 * for these.
	 */
	get leaseHolders(): string[] {
		return [...this.hosts].filter(([, host]) => !host.record.isDelegated && !this.#isFormer(host)).map(([name]) => name);
	}

	/** Whether most of the known hosts have registered in the present era of the store. */
	get hasRegisteredMajority(): boolean {
		return isMajority([...this.hosts.values()].filter(host => !this.#isFormer(host)).length, this.hosts.size);
	}

	/** Host that was the promoter in an earlier era of the store, or `undefined`. */
	get formerPromoter(): string | undefined {
		return this.#formerPromoter;
	}

	/**
	 * Handles a new era of the store, in which no host is registered yet. The known hosts stay in the view until they have
	 * registered again or `removeFormerHosts` is called: they count towards majorities, because they may have authority.
	 */
	handleEraEntered(era: number): void {
		this.#era = era;
		this.#formerPromoter = this.#promoterRecord?.host ?? this.#formerPromoter;
		this.removePromoter();
	}

	/** Adds a host that was registered in an earlier era of the store, unless it is known. */
	addFormerHost(name: string, item: StoreItem): void {
		if (!this.hosts.has(name)) {
			this.updateHost(name, {...item, revision: 0});
		}
	}

	/** Removes the hosts that have not registered in the present era. */
	removeFormerHosts(): void {
		for (const [name, host] of this.hosts) {
			if (this.#isFormer(host)) {
				this.removeHost(name);
			}
		}
	}

	/** Returns the names of the hosts that suspect the primary of a group, including those that a delegate reports. */
	getSuspectingHosts(group: string): ReadonlySet<string> {
		return this.#suspicions.get(group);
	}

	/** Record of the promoter, or `undefined` if there is none or it is invalid. */
	get promoterRecord(): PromoterRecord | undefined {
		return this.#promoterRecord;
	}

	/** Applies a store item of the promoter unless a newer one is known. */
	updatePromoter(item: StoreItem): void {
		if (!this.#promoter || item.revision > this.#promoter.revision) {
			const parsed = parsePromoterRecord(item.value);
			this.#promoter = item;
			this.#promoterRecord = parsed.unwrapOr(undefined);
			if (parsed.isErr()) {
				this.#log.write('record-invalid', {key: item.key, revision: formatRevision(item.revision), reason: parsed.error});
			}
		}
	}

	/** Removes the promoter after its item was removed from the store. */
	removePromoter(): void {
		this.#promoter = undefined;
		this.#promoterRecord = undefined;
	}

	/**
	 * Applies the record of a host.
	 *
	 * @returns What has changed in the record.
	 */
	updateHost(name: string, item: StoreItem): HostChange {
		const record = parseHostRecord(item.value);
		if (record.isErr()) {
			this.#log.write('record-invalid', {key: item.key, reason: record.error});
			return HostChange.None;
		}

		const previous = this.hosts.get(name)?.record;
		if (previous?.availabilityZone !== record.value.availabilityZone || previous.capacity !== record.value.capacity) {
			this.membershipChanges++;
		}

		if (previous?.incarnation !== record.value.incarnation) {
			this.#log.write('host-added', {host: name, incarnation: record.value.incarnation});
		}

		this.hosts.set(name, {record: record.value, revision: item.revision});
		this.#suspicions.update(name, record.value);
		if (serializeFollowerReports(record.value) !== serializeFollowerReports(previous)) {
			return HostChange.FollowerReports;
		}

		return serializeOwnReports(record.value) === serializeOwnReports(previous) ? HostChange.None : HostChange.Reports;
	}

	/**
	 * Removes a host. A record is removed by the host itself when it no longer uses any primary, or by a promoter after the
	 * host's authority has expired. A host without a record therefore has no authority.
	 */
	removeHost(name: string): void {
		if (this.hosts.delete(name)) {
			this.membershipChanges++;
			this.#suspicions.update(name, undefined);
			this.#log.write('host-gone', {host: name});
		}
	}

	#isFormer({revision}: FleetHost): boolean {
		return getEra(revision) !== this.#era;
	}
}

/** Serializes the confirmations and suspicions of a host for comparison. */
function serializeOwnReports(record: HostRecord | undefined): string {
	return JSON.stringify([record?.confirmed ?? {}, record?.suspected ?? [], record?.noticed ?? {}]);
}

/** Serializes the reports of a host's followers for comparison. */
function serializeFollowerReports(record: HostRecord | undefined): string {
	return JSON.stringify(record?.followers ?? {confirmed: {}, suspected: {}});
}
