import {type StoreItem} from '@tarragonstack/core/adapters/shared-store';
import {formatRevision, getEra} from '@tarragonstack/core/adapters/store-revision';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type EventLog} from './event-log.js';
import {type GroupRecord, parseGroupRecord} from './group-record.js';
import {type InstanceGroupState} from './instance-group-state.js';
import {type StoreEra} from './store-era.js';
import {createStoreKeys} from './store-keys.js';

/** Dependencies of `GroupRecords`. */
export type GroupRecordsOptions = {
	readonly timer: TimerService;
	readonly log: EventLog;
	readonly era: StoreEra;
	/** Configured groups by name. */
	readonly groups: ReadonlyMap<string, InstanceGroupState>;
	/** Called after a newer record of a group was applied. */
	handleUpdated(group: InstanceGroupState): void;
};

/** Applies the records of groups in the shared store to the groups of this host. */
export class GroupRecords {
	readonly #options: GroupRecordsOptions;
	/** Records of groups that are not configured yet, by key. */
	readonly #pending = new Map<string, StoreItem>();
	/** Groups that had a record in an earlier era of the store. */
	readonly #formerGroups = new Set<string>();

	/**
	 * @param options - Dependencies.
	 */
	constructor(options: GroupRecordsOptions) {
		this.#options = options;
	}

	/** Returns whether a group had a record in an earlier era of the store. */
	wasRecorded(group: string): boolean {
		return this.#formerGroups.has(group);
	}

	/** Records that a group had a record in an earlier era of the store. */
	addFormer(group: string): void {
		this.#formerGroups.add(group);
	}

	/** Returns the newest records of all groups. */
	* getAll(): Generator<{readonly group: string; readonly revision: number; readonly record: GroupRecord}> {
		for (const {name, record} of this.#options.groups.values()) {
			if (record) {
				const {revision, learntAt: _, ...rest} = record;
				yield {group: name, revision, record: rest};
			}
		}
	}

	/** Handles a record that was written. */
	handleItem({key, value, revision}: StoreItem): void {
		const {timer, log, era, groups, handleUpdated} = this.#options;
		const record = parseGroupRecord(value);
		if (record.isErr()) {
			log.write('record-invalid', {key, revision: formatRevision(revision), reason: record.error});
			return;
		}

		const group = groups.get(key.slice(era.keys.groupPrefix.length));
		if (!group) {
			this.#pending.set(key, {key, value, revision});
			return;
		}

		this.#pending.delete(key);
		if (getEra(revision) === era.number && group.updateRecord({...record.value, revision, learntAt: timer.now()})) {
			const {phase, primary, term} = record.value;
			log.write('group-record', {group: group.name, phase, primary, term, revision: formatRevision(revision)});
			handleUpdated(group);
		}
	}

	/** Applies the records of groups that were not configured before. */
	handleGroupsChanged(): void {
		for (const item of this.#pending.values()) {
			this.handleItem(item);
		}
	}

	/**
	 * Handles a new era of the store, in which no group has a record yet.
	 *
	 * @param previous - Number of the era before.
	 */
	handleEraEntered(previous: number): void {
		for (const group of this.#options.groups.values()) {
			group.handleEraEntered();
			if (group.record) {
				this.#formerGroups.add(group.name);
			}
		}

		for (const key of this.#pending.keys()) {
			this.#formerGroups.add(key.slice(createStoreKeys(previous).groupPrefix.length));
		}

		this.#pending.clear();
	}
}
