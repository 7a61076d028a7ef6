import {MissingReports} from '../request/missing-reports.js';
import {extendSynchronousSet, type InstanceProcess, type SynchronousReplication, type SynchronousSet} from '../request/synchronous-set.js';
import {ClassTimes} from '../request/class-times.js';
import {type ReplicaLag, type RequiredPosition} from '../request/replica-lag.js';
import {PrimaryPositionHistory, type SessionWritePosition} from '../request/primary-position-history.js';
import {type InstancePool} from '../connection/instance-pool.js';
import {getReign, GroupPhase, type VersionedGroupRecord} from './group-record.js';
import {type PrimaryAuthority} from './primary-authority.js';

/**
 * Time for which an instance without an entry in the store stays in use, in milliseconds. Entries of live instances may
 * expire during an outage of the store, and are written again within two seconds after it.
 */
export const missingEntryMilliseconds = 3000;

/** Direct connections that this host uses only for the statements of other hosts. */
export type SubstitutePool = {
	readonly pool: InstancePool;
	/** Monotonic time at which another host last used it. */
	usedAt: number;
};

/** Local state of an instance of a group. */
export type KnownInstance = {
	pool: InstancePool;
	/** Direct connections for the statements of other hosts, if this host uses gateways itself and takes the place of one. */
	substitute?: SubstitutePool;
	/** Monotonic time since which the instance has had no entry in the store, or `undefined` if it has one. */
	entryMissingSince?: number;
	/** Monotonic time since which the instance has reported that it is about to stop, or `undefined`. */
	leavingSince?: number;
	/** Lag of the instance as a replica. */
	readonly lag: ReplicaLag;
};

/** Local state of one group. */
export class InstanceGroupState {
	/** Name of the group. */
	readonly name: string;
	/** Number of replicas that hold each acknowledged commit, from the configuration in force. */
	replication: SynchronousReplication = {configurationVersion: 0, synchronousReplicas: 0};
	/** Reports that the present change of the primary needs and lacks. */
	readonly missingReports = new MissingReports();
	/** Recent log positions of the primary. */
	readonly positionHistory = new PrimaryPositionHistory();
	/** Usual service times of the instances by class of statements. */
	readonly serviceTimes = new ClassTimes();
	/** Instances by identifier. */
	readonly instances = new Map<string, KnownInstance>();
	readonly #authority: PrimaryAuthority;
	#record: VersionedGroupRecord | undefined;
	/** Whether no later record of the group existed when the store began the present era. */
	#isProven = true;
	#changeListeners: Array<() => void> = [];

	/**
	 * @param name - Name of the group.
	 * @param authority - Authority of this host to use primaries.
	 */
	constructor(name: string, authority: PrimaryAuthority) {
		this.name = name;
		this.#authority = authority;
	}

	/** All pools of connections to the instances. */
	get pools(): InstancePool[] {
		return [...this.instances.values()].flatMap(({pool, substitute}) => substitute ? [pool, substitute.pool] : [pool]);
	}

	/** Processes of the instances that have an entry in the store. */
	get listedProcesses(): InstanceProcess[] {
		return [...this.instances.values()].flatMap(({entryMissingSince, pool: {instance: {id, startedAt}}}) => entryMissingSince === undefined ? [{id, startedAt}] : []);
	}

	/** Returns the synchronous set of a record with all listed instances, or `undefined` if a promotion may lose commits. */
	getSynchronousSet(recorded: SynchronousSet | undefined): SynchronousSet | undefined {
		return recorded === undefined && this.replication.synchronousReplicas === 0 ? undefined : extendSynchronousSet(recorded, this.replication, this.listedProcesses);
	}

	/** Newest known record of the group, or `undefined` if there is none. */
	get record(): VersionedGroupRecord | undefined {
		return this.#record;
	}

	/** Whether the known record was the newest one when the store began the present era, or belongs to this era. */
	get isProven(): boolean {
		return this.#isProven;
	}

	/**
	 * Handles a new era of the store, in which the group has no record yet. A host with valid authority would have had to confirm
	 * each later record, so it knows the newest one or a change that it has confirmed.
	 */
	handleEraEntered(): void {
		this.#isProven &&= this.#authority.isWithinMargin();
	}

	/**
	 * Applies a record unless a newer one is known.
	 *
	 * @returns Whether the record was new.
	 */
	updateRecord(record: VersionedGroupRecord): boolean {
		if (this.#record && this.#record.revision >= record.revision) {
			return false;
		}

		this.#record = record;
		this.#isProven = true;
		this.notifyChanged();
		return true;
	}

	/** Returns the primary, with its reign, if this host may currently send statements to it. */
	getUsablePrimary(): {readonly known: KnownInstance; readonly reign: number} | undefined {
		const record = this.#record;
		if (record?.phase !== GroupPhase.Settled || !this.#isProven || !this.#authority.isValid()) {
			return undefined;
		}

		const known = this.instances.get(record.primary);
		return known && {known, reign: getReign(record)};
	}

	/**
	 * Returns the lowest log position that an instance must hold to serve a read, as `PrimaryPositionHistory` does. Positions from
	 * before a suspension of the process are not used.
	 *
	 * @param notBefore - Commits acknowledged before this monotonic time have to be visible.
	 * @param lastWrite - Last write of the session, if it has to be visible.
	 */
	getRequiredPosition(notBefore: number, lastWrite?: SessionWritePosition): RequiredPosition | undefined {
		this.#authority.checkSuspension();
		return this.positionHistory.getRequiredPosition(notBefore, lastWrite);
	}

	/** Returns whether the primary of a reign may still be used. A reign is the revision of the record that named it first. */
	isReignCurrent(reign: number): boolean {
		return this.#isReignInForce(reign) && this.#authority.isValid();
	}

	/**
	 * Returns whether a write to which the primary of a reign has responded may be acknowledged to the client. Promoters
	 * wait for a margin after the authority has expired; later, the write may have been committed on a replaced primary.
	 */
	mayAcknowledge(reign: number): boolean {
		return this.#isReignInForce(reign) && this.#authority.isWithinMargin();
	}

	/** Calls the listeners that wait for a change of the group. */
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

	#isReignInForce(reign: number): boolean {
		return this.#record?.phase === GroupPhase.Settled && this.#isProven && getReign(this.#record) === reign;
	}
}
