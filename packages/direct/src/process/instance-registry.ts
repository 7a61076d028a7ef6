import {type StoreItem} from '@tarragonstack/core/adapters/shared-store';
import {formatRevision} from '@tarragonstack/core/adapters/store-revision';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {InstancePool} from '../connection/instance-pool.js';
import {ReplicaLag} from '../request/replica-lag.js';
import {type DirectDialer} from '../connection/upstream-channel.js';
import {type ConnectionRoutes} from './connection-routes.js';
import {type EventLog} from './event-log.js';
import {type HostMetrics} from './host-metrics.js';
import {type InstanceEntry} from './instance-entry.js';
import {missingEntryMilliseconds, type InstanceGroupState, type KnownInstance} from './instance-group-state.js';
import {InstanceReportFilter} from './instance-report-filter.js';
import {type PlatformFormats} from './platform-formats.js';

/** Dependencies of an `InstanceRegistry`. */
export type InstanceRegistryOptions = {
	readonly timer: TimerService;
	readonly log: EventLog;
	readonly metrics: HostMetrics;
	readonly formats: PlatformFormats;
	readonly dialer: DirectDialer;
	readonly routes: ConnectionRoutes;
	/** Configured groups by name. */
	readonly groups: ReadonlyMap<string, InstanceGroupState>;
	/** Returns the number of connections that each instance of a group accepts. */
	getConnectionLimit(groupName: string): number;
};

/** Adds instances to their groups, and removes them, by their entries in the store. */
export class InstanceRegistry {
	readonly #options: InstanceRegistryOptions;
	/** Newest entries of all listed instances, including those whose group is not configured yet. */
	readonly #entries = new Map<string, InstanceEntry>();
	readonly #reports = new InstanceReportFilter();

	/**
	 * @param options - Dependencies.
	 */
	constructor(options: InstanceRegistryOptions) {
		this.#options = options;
	}

	/** Handles an entry that was written. */
	handleItem(item: StoreItem): void {
		const {formats, log, timer} = this.#options;
		const {key, value, revision} = item;
		const id = key.slice(formats.instancePrefix.length);
		const decoded = formats.decodeInstance(id, value);
		if (decoded.isErr()) {
			log.write('instance-invalid', {instance: id, revision: formatRevision(revision), reason: decoded.error});
			return;
		}

		if (!this.#reports.accept(decoded.value, item, timer.now())) {
			log.write('instance-withheld', {instance: id, revision: formatRevision(revision), sequence: decoded.value.sequence});
			return;
		}

		this.#entries.set(id, decoded.value);
		this.#add(decoded.value);
	}

	/**
	 * Handles the removal of an entry. The instance stays in use for `missingEntryMilliseconds`.
	 *
	 * @param key - Key of the entry.
	 * @param era - Era of the store in which the removal was seen.
	 */
	handleRemoval(key: string, era: number): void {
		const {formats, groups, timer} = this.#options;
		const id = key.slice(formats.instancePrefix.length);
		this.#entries.delete(id);
		this.#reports.handleRemoval(id, era);
		for (const group of groups.values()) {
			const known = group.instances.get(id);
			if (known) {
				known.entryMissingSince ??= timer.now();
			}
		}
	}

	/** Adds the listed instances of groups that were not configured before. */
	handleGroupsChanged(): void {
		for (const entry of this.#entries.values()) {
			if (!this.#options.groups.get(entry.group)?.instances.has(entry.id)) {
				this.#add(entry);
			}
		}
	}

	/**
	 * Removes the instances of a group whose entries are missing, and uses those whose entries were withheld. Called periodically.
	 *
	 * @param now - Monotonic time, in milliseconds.
	 * @param isStoreAvailable - Whether entries that are written again would be seen.
	 */
	sweep(now: number, isStoreAvailable: boolean): void {
		const {log, groups, routes} = this.#options;
		for (const item of this.#reports.getDueItems(now)) {
			this.handleItem(item);
		}

		for (const group of groups.values()) {
			for (const [id, known] of group.instances) {
				known.pool.sweep(now);
				// A missing primary stays in use until it is replaced, which starts after the same time.
				if (known.entryMissingSince !== undefined && now - known.entryMissingSince > missingEntryMilliseconds
					&& isStoreAvailable && group.record?.primary !== id) {
					log.write('instance-gone', {instance: id, group: group.name});
					known.pool[Symbol.dispose]();
					known.substitute?.pool[Symbol.dispose]();
					group.instances.delete(id);
					routes.forget(id);
				}
			}
		}
	}

	#recordLeaving(known: KnownInstance): void {
		if (known.pool.instance.leaving) {
			known.leavingSince ??= this.#options.timer.now();
		} else {
			delete known.leavingSince;
		}
	}

	#add(entry: InstanceEntry): void {
		const {dialer, timer, log, metrics, routes, groups, getConnectionLimit} = this.#options;
		const group = groups.get(entry.group);
		if (!group) {
			return;
		}

		const known = group.instances.get(entry.id);
		if (known?.pool.instance.address === entry.address && known.pool.instance.startedAt === entry.startedAt) {
			delete known.entryMissingSince;
			known.pool.instance = entry;
			if (known.substitute) {
				known.substitute.pool.instance = entry;
			}
		} else {
			known?.pool[Symbol.dispose]();
			known?.substitute?.pool[Symbol.dispose]();
			const pool = new InstancePool(entry, dialer, {timer, log, metrics, route: routes.getRoute(entry, getConnectionLimit(entry.group)), groupTimes: group.serviceTimes});
			group.instances.set(entry.id, {pool, lag: new ReplicaLag(), ...(entry.leaving && known?.leavingSince !== undefined && {leavingSince: known.leavingSince})});
			pool.warmUp();
		}

		this.#recordLeaving(group.instances.get(entry.id)!);

		log.write('instance-listed', {
			instance: entry.id, group: entry.group, zone: entry.availabilityZone, role: entry.role, leaving: entry.leaving, startedAt: entry.startedAt,
		});
		group.notifyChanged();
	}
}
