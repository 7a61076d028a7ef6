import {loadCrypto} from '@tarragonstack/core/codec/load-crypto';
import {isMajority} from '../request/majority.js';
import {proveSynchronousSet} from '../request/synchronous-set.js';
import {commitGroupRecord} from './commit-group-record.js';
import {type GroupActions} from './group-actions.js';
import {getReign, GroupPhase, type GroupRecord, type VersionedGroupRecord} from './group-record.js';
import {InstanceRole} from './instance-entry.js';
import {type InstanceGroupState} from './instance-group-state.js';
import {readInstanceStatus} from './instance-status.js';
import {peerRenewalLimitMilliseconds} from './peer-authority-renewer.js';
import {authorityMarginMilliseconds, authorityMilliseconds} from './primary-authority.js';
import {orderEffectMilliseconds} from './primary-change.js';
import {type PromoterRole, takeoverStaggerMilliseconds} from './promoter-role.js';
import {type PromotionContext} from './promotion-context.js';

/**
 * Time from the first check that finds exactly one instance claiming to be the primary until a first record names one, in
 * milliseconds. It is not restarted if none or several claim it in between, but exactly one must claim it at the end.
 */
const firstRecordDelayMilliseconds = 200;

/**
 * Additional time until a host writes a change that it had confirmed again in a new era of the store, in milliseconds. Other
 * hosts may know that the change has been settled.
 */
const unsettledRecordDelayMilliseconds = 500;

/** Time after the last renewal by an earlier era of the store until no host uses a primary because of it, in milliseconds. */
const formerAuthorityMilliseconds = authorityMilliseconds + authorityMarginMilliseconds;

/** Delay until the instances of a group without a record are asked again, in milliseconds. */
const reconstructionRetryMilliseconds = 200;

/** Record that a host creates, without its writer. */
type NewGroupRecord = Omit<GroupRecord, 'promoter' | 'fencingToken'>;

/** Creates the records of groups that have none in the present era of the store. */
export class GroupRecordCreator {
	readonly #context: PromotionContext;
	readonly #actions: GroupActions;
	readonly #role: PromoterRole;
	/** Monotonic time at which this host noticed the present era of the store. */
	#eraEnteredAt = 0;
	/** Monotonic time since which most hosts have been registered in the present era, or `undefined`. */
	#majoritySince: number | undefined;

	/**
	 * @param context - Dependencies.
	 * @param actions - Actions of this host on groups.
	 * @param role - Role of the promoter, which the creator of the first record claims.
	 */
	constructor(context: PromotionContext, actions: GroupActions, role: PromoterRole) {
		this.#context = context;
		this.#actions = actions;
		this.#role = role;
	}

	/** Monotonic time after which no promotion that was ordered in an earlier era of the store takes effect. */
	get formerOrdersEndAt(): number {
		return this.#eraEnteredAt + orderEffectMilliseconds;
	}

	/** Handles a new era of the store, in which every group lacks a record. */
	handleEraEntered(): void {
		this.#eraEnteredAt = this.#context.timer.now();
		this.#majoritySince = undefined;
	}

	/**
	 * Creates the record of a group that has none in the present era of the store.
	 *
	 * @param group - Group without a record.
	 * @param former - Record of an earlier era, or `undefined` if none is known.
	 */
	createRecordIfDue(group: InstanceGroupState, former: VersionedGroupRecord | undefined): void {
		if (!this.#context.holdsLease() || !this.#context.registration.isRegistered) {
			return;
		}

		if (former && group.isProven) {
			this.#carryRecordIfDue(group, former);
		} else if (former === undefined && this.#context.isFirstStart && !this.#context.wasRecorded(group.name)) {
			this.#createFirstRecordIfDue(group);
		} else {
			// Without a record, a host that starts later cannot tell whether there was none or a restored store has lost it.
			this.#reconstructRecordIfDue(group, former);
		}
	}

	/** Creates a record that names the instance whose entry claims to be the primary. */
	#createFirstRecordIfDue(group: InstanceGroupState): void {
		const claimants = [...group.instances.values()].filter(({pool}) => pool.instance.role === InstanceRole.Primary && !pool.instance.leaving);
		const [claimant] = claimants;
		if (claimants.length === 1 && claimant && this.#actions.startOrCheckDelay(group.name, firstRecordDelayMilliseconds + this.#getCreationDelay())) {
			const set = group.getSynchronousSet(undefined);
			void this.#createRecord(group, {
				phase: GroupPhase.Settled, primary: claimant.pool.instance.id, term: 0, changeIdentifier: loadCrypto().randomUUID(),
				...(set && {synchronousSet: proveSynchronousSet(set)}),
			});
		}
	}

	/** Writes the newest record of an earlier era again. A change that was under way continues, as it may have been ordered. */
	#carryRecordIfDue(group: InstanceGroupState, former: VersionedGroupRecord): void {
		const isSettled = former.phase === GroupPhase.Settled;
		if (!this.#actions.startOrCheckDelay(group.name, (isSettled ? 0 : unsettledRecordDelayMilliseconds) + this.#getCreationDelay())) {
			return;
		}

		const {phase, primary, term, candidate, candidateTerm, changeIdentifier, synchronousSet, requiredPosition} = former;
		void this.#createRecord(group, {
			phase, primary, term, changeIdentifier, ...(candidate && {candidate}), ...(candidateTerm && {candidateTerm}), ...(isSettled ? {reign: getReign(former)} : {mayBePromoting: true}),
			...(synchronousSet && {synchronousSet}), ...(requiredPosition && {requiredPosition}),
		});
	}

	/** Creates a record from what the instances report, after promotions and authority of earlier eras have ended. */
	#reconstructRecordIfDue(group: InstanceGroupState, former: VersionedGroupRecord | undefined): void {
		const hasWaited = this.#actions.startOrCheckDelay(group.name, reconstructionRetryMilliseconds);
		if (this.#context.timer.now() < this.#getFormerEffectsEnd() + this.#getCreationDelay() || !hasWaited) {
			return;
		}

		void this.#actions.runExclusively(group.name, async () => {
			const {timer, dialer, log, era: {number: era}} = this.#context;
			const answers = await Promise.all([...group.instances].map(async ([instance, {pool}]) => ({instance, status: await readInstanceStatus(pool.instance, dialer, timer)})));
			const reports = answers.flatMap(({instance, status}) => status ? [{instance, ...status}] : []);
			const term = Math.max(0, ...reports.map(report => report.term));
			const primary = reports.find(report => report.isPrimary && report.term === term)?.instance;
			log.write('record-reconstructed', {group: group.name, primary, term, answers: reports.length, instances: answers.length, former: former?.primary});
			if (!isMajority(reports.length, answers.length)) {
				return;
			}

			// An older set may lack instances that have joined since, but none that has left is known to be needless.
			const set = {changeIdentifier: loadCrypto().randomUUID(), ...(former?.synchronousSet && {synchronousSet: former.synchronousSet})};
			await this.#commitFirstRecord(group, era, primary === undefined
				// No host uses an instance until one has been promoted in a later term than all that responded.
				? {phase: GroupPhase.Announced, primary: former?.primary ?? '', term, mayBePromoting: true, ...set}
				: {phase: GroupPhase.Settled, primary, term, ...set});
		});
	}

	/**
	 * Returns the monotonic time at which promotions and authority of earlier eras have ended. Hosts that have not registered
	 * again may renew their authority by reports of each other, as long as they are a majority.
	 */
	#getFormerEffectsEnd(): number {
		if (this.#context.fleet.hasRegisteredMajority) {
			this.#majoritySince ??= this.#context.timer.now();
		} else {
			this.#majoritySince = undefined;
		}

		const renewedUntil = Math.min(this.#majoritySince ?? Number.POSITIVE_INFINITY, this.#eraEnteredAt + peerRenewalLimitMilliseconds);
		return Math.max(this.formerOrdersEndAt, renewedUntil + formerAuthorityMilliseconds);
	}

	async #createRecord(group: InstanceGroupState, record: NewGroupRecord): Promise<void> {
		const {number: era} = this.#context.era;
		await this.#actions.runExclusively(group.name, async () => this.#commitFirstRecord(group, era, record));
	}

	/**
	 * Writes the first record of a group in an era of the store.
	 *
	 * @param group - Group without a record.
	 * @param era - Era in which the record was decided on. A later era needs another decision, because the group may have got
	 * another record in between.
	 * @param record - Record to write.
	 */
	async #commitFirstRecord(group: InstanceGroupState, era: number, record: NewGroupRecord): Promise<void> {
		if (!this.#context.fleet.promoter) {
			await this.#role.claim();
		}

		if (this.#context.era.number !== era) {
			return;
		}

		await commitGroupRecord(this.#context, group, 0, {...record, promoter: this.#context.hostName, fencingToken: 0});
	}

	/** Returns the delay before this host creates a record. Hosts that write it at the same time only cause failed calls. */
	#getCreationDelay(): number {
		const {fleet, hostName} = this.#context;
		const promoter = fleet.promoterRecord?.host ?? fleet.formerPromoter;
		const position = promoter === hostName ? 0 : fleet.leaseHolders.toSorted().indexOf(hostName) + Number(promoter !== undefined && fleet.hosts.has(promoter));
		return Math.max(0, position) * takeoverStaggerMilliseconds;
	}
}
