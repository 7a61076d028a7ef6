import {getEra} from '@tarragonstack/core/adapters/store-revision';
import {isMajority} from '../request/majority.js';
import {isSuspicious, type PrimaryObservation} from '../request/suspicion.js';
import {ChangeReason} from './change-reason.js';
import {GroupActions} from './group-actions.js';
import {GroupPhase, type GroupRecord, type VersionedGroupRecord} from './group-record.js';
import {GroupRecordCreator} from './group-record-creator.js';
import {type InstanceGroupState} from './instance-group-state.js';
import {authorityMilliseconds} from './primary-authority.js';
import {PrimaryChange, promotionTimeoutMilliseconds} from './primary-change.js';
import {PromoterRole, takeoverStaggerMilliseconds} from './promoter-role.js';
import {type PromoterRecord} from './promoter-record.js';
import {pollIntervalMilliseconds, type PromotionContext} from './promotion-context.js';
import {SynchronousSetKeeper} from './synchronous-set-keeper.js';

/**
 * Time for which a host waits for the promoter to start a required change before it takes over the role, in milliseconds.
 * The promoter announces the change with a store call. The delay is long enough for a call that takes 250 ms.
 */
const takeoverDelayMilliseconds = 400;

/** Time without progress after which another host takes over a change, in milliseconds. */
const stalledChangeMilliseconds = authorityMilliseconds + promotionTimeoutMilliseconds;

/** Time for which running statements may finish before a host confirms a change, in milliseconds. */
const confirmationGraceMilliseconds = 50;

/**
 * Time for which a responding primary stays in use without an entry in the store, in milliseconds. A replacement would
 * interrupt writes, and the entry of a live primary is written again. However, a primary must receive no statements 7 s
 * after its entry was lost. The replacement starts earlier, so that it can finish within that time.
 */
const missingPrimaryEntryMilliseconds = 4500;

/** Responsibility for changing the primary of a group, as seen by this host. */
type Responsibility = {
	/** Promoter record of this host, or `undefined` if it is not the promoter. */
	readonly promoterRecord: PromoterRecord | undefined;
	/** Whether this host wrote the group's record under its current fencing token. */
	readonly isOwnChange: boolean;
	/** Whether there is no promoter, or its process is no longer registered. */
	readonly isPromoterGone: boolean;
	/** Time for which this host waits for others to act, in milliseconds. */
	readonly delayMilliseconds: number;
};

/**
 * Replaces primaries that have failed or are about to stop.
 *
 * Runs on every host. Each host publishes its suspicions and confirms changes; each host that may hold a lease also creates
 * missing group records. The promoter makes the changes; another host that may hold a lease becomes the promoter if it is gone
 * or makes no progress.
 *
 * A change passes through three phases in the group's record. `Announced`: each host stops using the primary and confirms
 * the change, or its authority expires. `Promoting`: the promotion may have been ordered. `Settled`: hosts use the primary
 * of the record, which is the old one if the change was abandoned. Each write of a change is conditional on the revisions
 * of the group's record and of the promoter's record, so at most one host changes a group at a time. The first record of a
 * group is conditional only on there being none.
 */
export class PromotionCoordinator {
	readonly #context: PromotionContext;
	readonly #actions: GroupActions;
	readonly #role: PromoterRole;
	readonly #creator: GroupRecordCreator;
	readonly #setKeeper: SynchronousSetKeeper;
	/** Groups whose primary connections are being closed to confirm a change. */
	readonly #closing = new Set<string>();
	/** Monotonic times since which the primary has been unknown, that is, not in `group.instances`; by group. */
	readonly #unknownSince = new Map<string, number>();

	/**
	 * @param context - Dependencies.
	 */
	constructor(context: PromotionContext) {
		this.#context = context;
		this.#actions = new GroupActions(context.timer);
		this.#role = new PromoterRole(context);
		this.#creator = new GroupRecordCreator(context, this.#actions, this.#role);
		this.#setKeeper = new SynchronousSetKeeper(context, this.#actions, this.#role);
	}

	/** Whether this host is making a change or creating a record. */
	get isBusy(): boolean {
		return this.#actions.areRunning;
	}

	/** Whether this host is the promoter, which waits for confirmations and suspicions of other hosts. */
	get isPromoter(): boolean {
		return this.#role.isHeld;
	}

	/**
	 * Checks a group and starts the actions that its state requires. Called at a fixed interval and when the group's record
	 * changes.
	 *
	 * @param group - Group to check.
	 */
	evaluate(group: InstanceGroupState): void {
		const {record} = group;
		if (!record || getEra(record.revision) !== this.#context.era.number) {
			this.#creator.createRecordIfDue(group, record);
			return;
		}

		if (record.phase === GroupPhase.Settled) {
			this.#publishSuspicion(group, record);
			this.#reopenPools(group);
		} else {
			void this.#confirm(group, record);
		}

		if (record.phase !== GroupPhase.Settled || this.#isLeaving(group, record) || this.#isLost(group)) {
			this.#changePrimaryIfDue(group, record);
		} else {
			this.#actions.cancelDelay(group.name);
			this.#keepSynchronousSet(group, record);
		}
	}

	/** Handles a new era of the store, in which every group lacks a record. */
	handleEraEntered(): void {
		this.#actions.clear();
		this.#creator.handleEraEntered();
	}

	#publishSuspicion(group: InstanceGroupState, record: VersionedGroupRecord): void {
		const {registration, log, hostName, fleet} = this.#context;
		const isSuspected = registration.record.suspected.includes(group.name);
		const suspecting = fleet.getSuspectingHosts(group.name);
		const isSuspectedByOthers = suspecting.size > Number(suspecting.has(hostName));
		const pool = group.instances.get(record.primary)?.pool;
		if (pool) {
			pool.isDoubted = isSuspectedByOthers;
		}

		if (isSuspectedByOthers) {
			pool?.probe();
		}

		const observation = this.#observe(group, record);
		if (isSuspicious(observation, isSuspectedByOthers) === isSuspected) {
			return;
		}

		if (!isSuspected && pool) {
			this.#probeZone(pool.instance.availabilityZone);
		}

		log.write(isSuspected ? 'primary-trusted' : 'primary-suspected', {group: group.name, instance: record.primary, doubted: isSuspectedByOthers, ...observation});
		registration.update({suspected: isSuspected
			? registration.record.suspected.filter(name => name !== group.name)
			: [...registration.record.suspected, group.name]});
	}

	/** Probes the primaries of a zone, because a partition may have isolated the whole zone. */
	#probeZone(availabilityZone: string): void {
		for (const {record, instances} of this.#context.getGroups()) {
			const pool = record && instances.get(record.primary)?.pool;
			if (pool?.instance.availabilityZone === availabilityZone) {
				pool.probe();
			}
		}
	}

	#observe(group: InstanceGroupState, record: GroupRecord): PrimaryObservation {
		const now = this.#context.timer.now();
		const known = group.instances.get(record.primary);
		if (known) {
			this.#unknownSince.delete(group.name);
		} else if (!this.#unknownSince.has(group.name)) {
			this.#unknownSince.set(group.name, now);
		}

		return {
			unknownMilliseconds: Math.round(now - (this.#unknownSince.get(group.name) ?? now)),
			silenceMilliseconds: Math.round(known?.pool.getUnansweredMilliseconds(now) ?? 0),
			unreachableMilliseconds: Math.round(now - (known?.pool.unreachableSince ?? now)),
			readOnlyMilliseconds: Math.round(now - (known?.pool.readOnlySince ?? now)),
		};
	}

	/** Whether the primary is about to stop, or has had no entry for longer than `missingPrimaryEntryMilliseconds`. */
	#isLeaving(group: InstanceGroupState, record: GroupRecord): boolean {
		const known = group.instances.get(record.primary);
		return known !== undefined
			&& (known.pool.instance.leaving || this.#context.timer.now() - (known.entryMissingSince ?? Number.POSITIVE_INFINITY) > missingPrimaryEntryMilliseconds);
	}

	/** Whether most hosts suspect the primary. A primary that only a minority cannot reach still serves the others. */
	#isLost(group: InstanceGroupState): boolean {
		const {fleet} = this.#context;
		return isMajority(fleet.getSuspectingHosts(group.name).size, fleet.hosts.size);
	}

	#changePrimaryIfDue(group: InstanceGroupState, record: VersionedGroupRecord): void {
		const {isStoreAvailable, holdsLease, registration, timer} = this.#context;
		if (!isStoreAvailable() || !registration.isRegistered || !holdsLease()) {
			return;
		}

		const {promoterRecord, isOwnChange, isPromoterGone, delayMilliseconds} = this.#getResponsibility(record);
		const isNew = record.phase === GroupPhase.Settled || (promoterRecord !== undefined && !isOwnChange);
		const stallMilliseconds = isOwnChange || isPromoterGone ? pollIntervalMilliseconds : stalledChangeMilliseconds;
		const isDue = isNew ? this.#actions.startOrCheckDelay(group.name, delayMilliseconds) : timer.now() - record.learntAt > stallMilliseconds + delayMilliseconds;
		if (isDue) {
			void this.#actions.runExclusively(group.name, async () => {
				const ownRecord = promoterRecord ?? await this.#role.claim();
				if (ownRecord) {
					await new PrimaryChange(this.#context, group, {
						promoterRecord: ownRecord, reason: this.#getReason(group, record), formerOrdersEndAt: this.#creator.formerOrdersEndAt,
					}).run(record);
				}
			});
		}
	}

	#keepSynchronousSet(group: InstanceGroupState, record: VersionedGroupRecord): void {
		const {isStoreAvailable, holdsLease, registration} = this.#context;
		if (!this.#setKeeper.isDue(group, record) || !isStoreAvailable() || !registration.isRegistered || !holdsLease()) {
			return;
		}

		const {promoterRecord, isPromoterGone, delayMilliseconds} = this.#getResponsibility(record);
		if (promoterRecord ?? isPromoterGone) {
			this.#setKeeper.keep(group, record, delayMilliseconds);
		}
	}

	#getReason(group: InstanceGroupState, record: GroupRecord): ChangeReason {
		if (this.#isLeaving(group, record) && !this.#isLost(group)) {
			return ChangeReason.Leaving;
		}

		// The local record is used because the store may not contain this host's own suspicion yet.
		return this.#context.registration.record.suspected.includes(group.name) ? ChangeReason.Lost : ChangeReason.LostToOthers;
	}

	#getResponsibility(record: GroupRecord): Responsibility {
		const {fleet, hostName} = this.#context;
		const {promoterRecord} = fleet;
		if (promoterRecord && this.isPromoter) {
			return {promoterRecord, isOwnChange: record.promoter === hostName && record.fencingToken === promoterRecord.fencingToken, isPromoterGone: false, delayMilliseconds: 0};
		}

		const promoter = promoterRecord && fleet.hosts.get(promoterRecord.host)?.record;
		const isPromoterGone = promoterRecord === undefined || promoter?.incarnation !== promoterRecord.incarnation || promoter.isDelegated;
		const position = fleet.leaseHolders.filter(name => name !== promoterRecord?.host).toSorted().indexOf(hostName);
		const delayMilliseconds = (isPromoterGone ? 0 : takeoverDelayMilliseconds) + (Math.max(0, position) * takeoverStaggerMilliseconds);
		return {promoterRecord: undefined, isOwnChange: false, isPromoterGone, delayMilliseconds};
	}

	/** Closes the connections to the primary that is being replaced, and then confirms the change. */
	async #confirm(group: InstanceGroupState, record: VersionedGroupRecord): Promise<void> {
		const {registration, log, waitForFollowers} = this.#context;
		if (registration.record.confirmed[group.name] === record.changeIdentifier || this.#closing.has(group.name)) {
			return;
		}

		this.#closing.add(group.name);
		const isSuspected = registration.record.suspected.includes(group.name);
		const known = group.instances.get(record.primary);
		const graceMilliseconds = isSuspected ? 0 : confirmationGraceMilliseconds;
		await Promise.all([known?.pool.close(graceMilliseconds), known?.substitute?.pool.close(graceMilliseconds)]);
		log.write('primary-released', {group: group.name, instance: record.primary, change: record.changeIdentifier});
		const followers = await waitForFollowers(group.name, record.changeIdentifier, () => group.record?.changeIdentifier === record.changeIdentifier);
		this.#closing.delete(group.name);
		if (!followers) {
			return;
		}

		registration.update({
			followers: {...registration.record.followers, confirmed: {...registration.record.followers.confirmed, [group.name]: followers}},
			confirmed: {...registration.record.confirmed, [group.name]: record.changeIdentifier},
			suspected: registration.record.suspected.filter(name => name !== group.name),
		});
	}

	#reopenPools(group: InstanceGroupState): void {
		for (const pool of group.pools) {
			if (pool.closed) {
				pool.reopen();
			}
		}
	}
}
