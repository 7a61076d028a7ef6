import {type LogPosition} from '@tarragonstack/core/request/log-position';
import {PrimaryPositionHistory} from '../request/primary-position-history.js';
import {type InstancePool} from '../connection/instance-pool.js';
import {GroupPhase, type VersionedGroupRecord} from './group-record.js';
import {type PrimaryAuthority} from './primary-authority.js';

/**
 * Time for which an instance that is missing from the list stays in use, in milliseconds. The entries of live instances
 * may lapse while the store is away, and are back within two seconds of its return.
 */
export const missingInstanceMilliseconds = 3000;

/** Position that a replica lacked. */
export type ReplicaLag = {
	/** Lowest position that it is known to lack. */
	readonly missing: LogPosition;
	/** Monotonic time until which no read that demands the position, or a later one, is sent to it. */
	readonly until: number;
	/** Time for which it was avoided, in milliseconds. */
	readonly penaltyMilliseconds: number;
};

/** Instance of a group as this host knows it. */
export type KnownInstance = {
	pool: InstancePool;
	/** Monotonic time since which the instance has been missing from the list, or `undefined`. */
	missingSince?: number;
	/** What the instance lacked when it last refused a read, or `undefined` if it has served reads since. */
	lag?: ReplicaLag;
};

/** What this host knows of one group. */
export class InstanceGroupState {
	/** Name of the group. */
	readonly name: string;
	/** Replicas that hold each acknowledged commit, by the newest configuration. */
	synchronousReplicas = 0;
	/** Positions that this host saw at the primary. */
	readonly positionHistory = new PrimaryPositionHistory();
	/** Instances by identifier. */
	readonly instances = new Map<string, KnownInstance>();
	readonly #authority: PrimaryAuthority;
	#record: VersionedGroupRecord | undefined;
	#changeListeners: Array<() => void> = [];

	/**
	 * @param name - Name of the group.
	 * @param authority - Permission of this host to use primaries.
	 */
	constructor(name: string, authority: PrimaryAuthority) {
		this.name = name;
		this.#authority = authority;
	}

	/** Newest record of the group, or `undefined` before one exists. */
	get record(): VersionedGroupRecord | undefined {
		return this.#record;
	}

	/**
	 * Takes over a record unless a newer one is known.
	 *
	 * @returns Whether the record was new.
	 */
	updateRecord(record: VersionedGroupRecord): boolean {
		if (this.#record && this.#record.revision >= record.revision) {
			return false;
		}

		this.#record = record;
		this.notifyChanged();
		return true;
	}

	/** Returns the primary if this host may send work to it now. */
	getUsablePrimary(): {readonly known: KnownInstance; readonly reign: number} | undefined {
		const record = this.#record;
		if (record?.phase !== GroupPhase.Settled || !this.#authority.isValid()) {
			return undefined;
		}

		const known = this.instances.get(record.primary);
		return known && {known, reign: record.revision};
	}

	/** Returns whether the primary of a reign may still be used. */
	isReignCurrent(reign: number): boolean {
		return this.#record?.phase === GroupPhase.Settled && this.#record.revision === reign && this.#authority.isValid();
	}

	/**
	 * Returns whether a write that the primary of a reign has answered may be acknowledged. A promoter leaves a margin after
	 * the permission has run out; after it, the write may have been committed at a replaced primary.
	 */
	mayAcknowledge(reign: number): boolean {
		return this.#record?.phase === GroupPhase.Settled && this.#record.revision === reign && this.#authority.isWithinMargin();
	}

	/** Wakes whoever waits for a change of the group. */
	notifyChanged(): void {
		const listeners = this.#changeListeners;
		this.#changeListeners = [];
		for (const listener of listeners) {
			listener();
		}
	}

	/** Calls a function at the next change of the group. */
	onceChanged(listener: () => void): void {
		this.#changeListeners.push(listener);
	}
}
