import {type StoreItem} from '@tarragonstack/core/adapters/shared-store';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
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
	readonly #lastSeen = new Map<string, number>();
	readonly #timer: TimerService;
	readonly #log: EventLog;
	#promoter: StoreItem | undefined;
	readonly #startedAt: number;

	/**
	 * @param timer - Monotonic clock.
	 * @param log - Receives changes.
	 */
	constructor(timer: TimerService, log: EventLog) {
		this.#timer = timer;
		this.#log = log;
		this.#startedAt = timer.now();
	}

	/** Item of the promoter, or `undefined` if there is none. */
	get promoter(): StoreItem | undefined {
		return this.#promoter;
	}

	/** Takes over the item of the promoter unless a newer one is known. */
	notePromoter(item: StoreItem): void {
		if (!this.#promoter || item.revision > this.#promoter.revision) {
			this.#promoter = item;
		}
	}

	/** Forgets the promoter, whose item was removed. */
	removePromoter(): void {
		this.#promoter = undefined;
	}

	/** Takes over the record of a host. */
	noteHost(name: string, item: StoreItem): void {
		const record = parseHostRecord(item.value);
		if (record.isErr()) {
			this.#log.write('record-invalid', {key: item.key, reason: record.error});
			return;
		}

		if (this.hosts.get(name)?.record.incarnation !== record.value.incarnation) {
			this.#log.write('host-added', {host: name, incarnation: record.value.incarnation});
		}

		this.hosts.set(name, {record: record.value, revision: item.revision});
	}

	/** Removes a host. It may have permission to use primaries for some time. */
	removeHost(name: string): void {
		if (this.hosts.delete(name)) {
			this.#lastSeen.set(name, this.#timer.now());
			this.#log.write('host-gone', {host: name});
		}
	}

	/**
	 * Returns the hosts that were registered at a time or later.
	 *
	 * @param since - Monotonic time.
	 */
	getRecentHosts(since: number): string[] {
		return [...new Set([...this.hosts.keys(), ...[...this.#lastSeen].filter(([, seenAt]) => seenAt >= since).map(([name]) => name)])];
	}

	/** Whether this process has observed the fleet for so long that it knows each host registered within a time. */
	isComplete(milliseconds: number): boolean {
		return this.#timer.now() - this.#startedAt >= milliseconds;
	}
}
