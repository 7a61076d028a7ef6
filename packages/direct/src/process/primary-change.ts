import {loadCrypto} from '@tarragonstack/core/codec/load-crypto';
import {type LogPosition} from '@tarragonstack/core/request/log-position';
import {type Result} from 'neverthrow';
import {type InstanceStatus, type UpstreamChannel} from '../connection/upstream-channel.js';
import {type Candidate, CandidateSearch, type EarlierOrders} from './candidate-search.js';
import {ChangeReason} from './change-reason.js';
import {ConfirmationOutcome, ConfirmationWait} from './confirmation-wait.js';
import {commitGroupRecord} from './commit-group-record.js';
import {GroupPhase, type GroupRecord, type VersionedGroupRecord} from './group-record.js';
import {type InstanceGroupState, type KnownInstance} from './instance-group-state.js';
import {statusTimeoutMilliseconds} from './instance-status.js';
import {type PromoterRecord} from './promoter-record.js';
import {PromotionAnswer} from './promotion-service.js';
import {callTimeoutMilliseconds, pollIntervalMilliseconds, type PromotionContext} from './promotion-context.js';

/**
 * Time after which a promotion without effect is ordered again or for another instance, in milliseconds. A promotion
 * takes 1 s.
 */
export const promotionTimeoutMilliseconds = 2500;

/**
 * Maximum time from the start of the conditional write, which proves that this host is the promoter, to the order of the
 * promotion, in milliseconds.
 */
export const maximumOrderDelayMilliseconds = 500;

/** Time after the record of a promotion was written until the promotion can no longer take effect, in milliseconds. */
export const orderEffectMilliseconds = maximumOrderDelayMilliseconds + promotionTimeoutMilliseconds;

/** Fields of a group's record that an attempt changes. */
type ChangeFields = Pick<GroupRecord, 'phase' | 'primary' | 'candidate' | 'candidateTerm' | 'term' | 'mayBePromoting' | 'synchronousSet' | 'requiredPosition'>;

/** Attempt to replace the primary of a group. */
export class PrimaryChange {
	readonly #context: PromotionContext;
	readonly #group: InstanceGroupState;
	readonly #promoterRecord: PromoterRecord;
	readonly #reason: ChangeReason;
	readonly #formerOrdersEndAt: number;
	readonly #startedAt: number;

	/**
	 * @param context - Dependencies.
	 * @param group - Group whose primary changes.
	 * @param options - Promoter record of this host, reason for replacing the primary, and monotonic time after which no
	 * promotion of an earlier era of the store takes effect.
	 */
	constructor(
		context: PromotionContext,
		group: InstanceGroupState,
		{promoterRecord, reason, formerOrdersEndAt}: {promoterRecord: PromoterRecord; reason: ChangeReason; formerOrdersEndAt: number},
	) {
		this.#context = context;
		this.#group = group;
		this.#promoterRecord = promoterRecord;
		this.#reason = reason;
		this.#formerOrdersEndAt = formerOrdersEndAt;
		this.#startedAt = context.timer.now();
	}

	/**
	 * Runs the attempt. If it fails, the record keeps its phase, and the next attempt starts over.
	 *
	 * @param base - Record on which the attempt is based.
	 */
	async run(base: VersionedGroupRecord): Promise<void> {
		const {log, timer} = this.#context;
		const {primary, candidate, mayBePromoting} = base;
		if (base.phase === GroupPhase.Settled) {
			this.#group.missingReports.update([], timer.now());
		}

		const announcement = await this.#commitRecord(base, createAnnouncement(base));
		if (!announcement) {
			return;
		}

		log.write('change-announced', {
			group: this.#group.name, primary, reason: this.#reason, fencingToken: this.#promoterRecord.fencingToken, change: announcement.changeIdentifier,
		});
		// A promotion ordered by an earlier attempt may still take effect, so such a change is never abandoned. If this host
		// could reach the primary all along, a response to it does not mean that the others can reach the primary again.
		const mayGiveUp = candidate === undefined && !mayBePromoting && this.#reason === ChangeReason.Lost;
		const wait = new ConfirmationWait(this.#context, this.#group, announcement);
		const outcome = await wait.run(mayGiveUp);
		const {announced} = wait;
		if (outcome === ConfirmationOutcome.PrimaryAnswers) {
			await this.#giveUp(announced, 'the primary responds again');
			return;
		}

		if (outcome === ConfirmationOutcome.AnnouncementLost) {
			log.write('change-stalled', {group: this.#group.name, reason: 'the store was restored and has lost the change'});
			return;
		}

		await this.#promote(announced, {
			recordedUntil: candidate === undefined ? 0 : base.learntAt + orderEffectMilliseconds,
			unknownUntil: mayBePromoting ? this.#formerOrdersEndAt : 0,
		});
	}

	async #promote(announced: VersionedGroupRecord, earlierOrders: EarlierOrders): Promise<void> {
		const {log, readInstances} = this.#context;
		// An instance that joined shortly before the release may hold the only copy of an acknowledged commit.
		if (this.#group.getSynchronousSet(announced.synchronousSet) && !(await readInstances())) {
			log.write('change-stalled', {group: this.#group.name, reason: 'the store does not respond'});
			return;
		}

		const {candidate, isPrimaryWhole, requiredPosition} = await new CandidateSearch(this.#context, this.#group, {announced, reason: this.#reason, earlierOrders}).run();
		if (isPrimaryWhole) {
			await this.#giveUp(announced, 'only the released primary holds every acknowledged commit');
			return;
		}

		if (!candidate) {
			await this.#recordRequiredPosition(announced, requiredPosition);
			return;
		}

		// No other instance can lead a later term if no promotion has been ordered.
		if (candidate.fromTerm === announced.term && announced.candidate === undefined && !announced.mayBePromoting) {
			await this.#settle(announced, candidate.known.pool.instance.id, announced.term);
			return;
		}

		await this.#promoteCandidate(announced, candidate, requiredPosition);
	}

	async #promoteCandidate(announced: VersionedGroupRecord, candidate: Candidate, requiredPosition: LogPosition | undefined): Promise<void> {
		const {id} = candidate.known.pool.instance;
		const answer = await this.#orderPromotion(announced, candidate, requiredPosition);
		if (!answer || (answer.isOk() && answer.value === PromotionAnswer.InstanceNotRunning)) {
			return;
		}

		const status = await this.#waitUntilPrimary(candidate, announced.term, answer.isOk());
		const {record} = this.#group;
		if (!status || record?.changeIdentifier !== announced.changeIdentifier) {
			this.#context.log.write('change-stalled', {group: this.#group.name, reason: 'the promoted instance did not become the primary'});
			return;
		}

		await this.#settle(record, id, status.term);
		const old = this.#group.instances.get(announced.primary);
		if (old && old !== candidate.known) {
			void this.#demote(old, status.term);
		}
	}

	/** Makes an instance the primary that leads a term. */
	async #settle(record: VersionedGroupRecord, primary: string, term: number): Promise<void> {
		const {log, timer} = this.#context;
		const settled = await this.#commitRecord(record, {phase: GroupPhase.Settled, primary, term, ...this.#getSet(record)});
		log.write('change-settled', {
			group: this.#group.name, primary, term, known: settled !== undefined, durationMilliseconds: Math.round(timer.now() - this.#startedAt),
		});
	}

	/** Uses the released primary again. */
	async #giveUp(announced: VersionedGroupRecord, reason: string): Promise<void> {
		const {primary, term} = announced;
		this.#context.log.write('change-given-up', {group: this.#group.name, primary, reason});
		await this.#commitRecord(announced, {phase: GroupPhase.Settled, primary, term, ...this.#getSet(announced)});
	}

	/** Records the required position for later attempts, in which the instances that reported it may be gone. */
	async #recordRequiredPosition(announced: VersionedGroupRecord, requiredPosition: LogPosition | undefined): Promise<void> {
		if (requiredPosition && !announced.requiredPosition) {
			const {revision, learntAt: _, ...record} = announced;
			await commitGroupRecord(this.#context, this.#group, revision, {...record, requiredPosition});
		}
	}

	#getSet({synchronousSet}: GroupRecord): Pick<GroupRecord, 'synchronousSet'> {
		const set = this.#group.getSynchronousSet(synchronousSet);
		return set && !set.isUnproven ? {synchronousSet: set} : {};
	}

	/** Orders the promotion. Returns the answer, or `undefined` if nothing was ordered. */
	async #orderPromotion(
		announced: VersionedGroupRecord,
		{known, fromTerm}: Candidate,
		requiredPosition: LogPosition | undefined,
	): Promise<Result<PromotionAnswer, string> | undefined> {
		const {timer, suspension, promotions, metrics, log, hostName} = this.#context;
		const {id: instance} = known.pool.instance;
		suspension.check();
		const verifiedAt = timer.now();
		const {primary, term} = announced;
		const ordered = await this.#commitRecord(announced, {
			phase: GroupPhase.Promoting, primary, candidate: instance, term, ...(fromTerm !== undefined && {candidateTerm: fromTerm}),
			...this.#getSet(announced), ...(requiredPosition && {requiredPosition}),
		});
		if (!ordered) {
			return undefined;
		}

		// Another host may have become the promoter while this process was suspended.
		if (suspension.check() || timer.now() - verifiedAt > maximumOrderDelayMilliseconds) {
			log.write('change-stalled', {group: this.#group.name, reason: 'the process was delayed before the promotion order'});
			return undefined;
		}

		const {fencingToken} = this.#promoterRecord;
		const answer = await promotions.promote({group: this.#group.name, instance, holder: hostName, fencingToken}, callTimeoutMilliseconds);
		metrics.countPromotion(answer.unwrapOr('unanswered'));
		log.write('promotion-ordered', {group: this.#group.name, instance, fencingToken, fromTerm, outcome: answer.isOk() ? answer.value : answer.error});
		if (answer.isOk() && answer.value === PromotionAnswer.InstanceNotRunning && announced.candidate !== instance) {
			// The next attempt need not wait for the effect of an order that was refused.
			await this.#commitRecord(ordered, createAnnouncement({...announced, requiredPosition}));
		}

		return answer;
	}

	/**
	 * Waits until the candidate leads a term that is due to its promotion. An accepted order leaves the present primary
	 * unchanged, so one that still leads `fromTerm` after the wait is the present primary.
	 */
	async #waitUntilPrimary({known, fromTerm}: Candidate, previousTerm: number, isAccepted: boolean): Promise<InstanceStatus | undefined> {
		const {timer, dialer} = this.#context;
		const until = timer.now() + promotionTimeoutMilliseconds;
		let channel: UpstreamChannel | undefined;
		let latest: InstanceStatus | undefined;
		try {
			while (timer.now() < until) {
				if (!channel || channel.closed) {
					const dialled = await dialer.dial(known.pool.instance, statusTimeoutMilliseconds);
					channel = dialled.unwrapOr(undefined);
				}

				const status = await channel?.readStatus(timer.now() + statusTimeoutMilliseconds);
				latest = status?.unwrapOr(undefined);
				if (latest && leadsAfter(latest, fromTerm ?? previousTerm)) {
					return latest;
				}

				await timer.sleep(pollIntervalMilliseconds);
			}
		} finally {
			channel?.[Symbol.dispose]();
		}

		return isAccepted && latest && fromTerm !== undefined && leadsAfter(latest, fromTerm - 1) ? latest : undefined;
	}

	/** Demotes a replaced primary to a replica. It also demotes itself once it reaches the new primary. */
	async #demote(known: KnownInstance, term: number): Promise<void> {
		const {dialer, timer, log} = this.#context;
		const {instance} = known.pool;
		const dialled = await dialer.dial(instance, callTimeoutMilliseconds);
		if (dialled.isErr()) {
			log.write('demotion-failed', {instance: instance.id, reason: dialled.error.message});
			return;
		}

		using channel = dialled.value;
		const outcome = await channel.demote(term, timer.now() + callTimeoutMilliseconds);
		log.write('demoted', {instance: instance.id, term, outcome: outcome.isOk() ? 'accepted' : outcome.error.message});
	}

	async #commitRecord(
		from: VersionedGroupRecord,
		change: ChangeFields,
	): Promise<VersionedGroupRecord | undefined> {
		return commitGroupRecord(this.#context, this.#group, from.revision, {
			...change, promoter: this.#promoterRecord.host, fencingToken: this.#promoterRecord.fencingToken,
			changeIdentifier: change.phase === GroupPhase.Announced ? loadCrypto().randomUUID() : from.changeIdentifier,
		});
	}
}

/** Creates the announcement of a change that keeps what is known of the promotions ordered so far. */
function createAnnouncement({primary, term, candidate, candidateTerm, mayBePromoting, synchronousSet, requiredPosition}: GroupRecord): ChangeFields {
	return {
		phase: GroupPhase.Announced, primary, term, ...(candidate && {candidate}), ...(candidateTerm !== undefined && {candidateTerm}), ...(mayBePromoting && {mayBePromoting}),
		...(synchronousSet && {synchronousSet}), ...(requiredPosition && {requiredPosition}),
	};
}

/** Returns whether an instance leads a term later than the given one. */
function leadsAfter({isPrimary, term}: InstanceStatus, earlierTerm: number): boolean {
	return isPrimary && term > earlierTerm;
}
