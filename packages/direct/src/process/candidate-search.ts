import {compareLogPositions, type LogPosition} from '@tarragonstack/core/request/log-position';
import {type InstanceStatus} from '../connection/upstream-channel.js';
import {type CandidateChoice, type CandidateReport, chooseCandidate} from '../request/candidate-choice.js';
import {findRequiredPosition, type PositionRequirement} from '../request/required-position.js';
import {type InstanceProcess} from '../request/synchronous-set.js';
import {ChangeReason} from './change-reason.js';
import {type GroupRecord} from './group-record.js';
import {type InstanceGroupState, type KnownInstance} from './instance-group-state.js';
import {readInstanceStatus} from './instance-status.js';
import {pollIntervalMilliseconds, type PromotionContext} from './promotion-context.js';

/**
 * Time for which a planned change waits for the candidate to hold all commits of the primary, and any change for a replica that
 * holds every commit that must survive, in milliseconds.
 */
const catchUpMilliseconds = 1500;

/** Instance to be promoted, with the term that it leads already if another one may have been promoted since. */
export type Candidate = {
	readonly known: KnownInstance;
	readonly fromTerm: number | undefined;
};

/** Monotonic times after which promotions that were ordered before this attempt no longer take effect. */
export type EarlierOrders = {
	/** End for the candidate of the record. */
	readonly recordedUntil: number;
	/** End for orders that the store has lost. */
	readonly unknownUntil: number;
};

/** Result of a `CandidateSearch`. */
export type CandidateSearchResult = {
	/** Instance to be promoted, or `undefined` if none is eligible. */
	readonly candidate?: Candidate | undefined;
	/** Whether no instance need be promoted, as the released primary responds and only it holds every commit that must survive. */
	readonly isPrimaryWhole: boolean;
	/** Position that covers every acknowledged commit, or `undefined` if none is known. */
	readonly requiredPosition?: LogPosition | undefined;
};

type PendingOrders = {
	readonly isOrderPending: boolean;
	readonly isUnknownOrderPending: boolean;
};

/** Report of an instance with its process. */
type ProcessReport = CandidateReport & InstanceProcess;

/** Reports of one poll with what follows from them. */
type Poll = {
	readonly choice: CandidateChoice | undefined;
	readonly reports: readonly ProcessReport[];
	readonly required: PositionRequirement;
};

/** Looks for the instance to be promoted after all hosts have released a primary. */
export class CandidateSearch {
	readonly #context: PromotionContext;
	readonly #group: InstanceGroupState;
	readonly #announced: GroupRecord;
	readonly #reason: ChangeReason;
	readonly #earlierOrders: EarlierOrders;
	/** Newest status of the released primary. */
	#primaryStatus: InstanceStatus | undefined;
	#isFinished = false;

	/**
	 * @param context - Dependencies.
	 * @param group - Group whose primary changes.
	 * @param options - Announced record, reason for replacing the primary, and earlier orders.
	 */
	constructor(
		context: PromotionContext,
		group: InstanceGroupState,
		{announced, reason, earlierOrders}: {announced: GroupRecord; reason: ChangeReason; earlierOrders: EarlierOrders},
	) {
		this.#context = context;
		this.#group = group;
		this.#announced = announced;
		this.#reason = reason;
		this.#earlierOrders = earlierOrders;
	}

	/**
	 * Waits while a promotion that was ordered earlier may take effect, until a planned change loses no commits, and for a replica
	 * that holds every commit that must survive.
	 */
	async run(): Promise<CandidateSearchResult> {
		const {timer} = this.#context;
		const {recordedUntil, unknownUntil} = this.#earlierOrders;
		const caughtUpUntil = timer.now() + catchUpMilliseconds;
		const until = Math.max(caughtUpUntil, recordedUntil + pollIntervalMilliseconds, unknownUntil + pollIntervalMilliseconds);
		await this.#observePrimary();
		try {
			for (;;) {
				const now = timer.now();
				const pending = {isOrderPending: now < recordedUntil, isUnknownOrderPending: now < unknownUntil};
				const poll = await this.#poll(pending);
				const known = poll.choice && this.#group.instances.get(poll.choice.id);
				if (known && poll.choice && (this.#isCaughtUp(poll) || now >= caughtUpUntil)) {
					this.#logChoice(poll.choice, poll, pending);
					return {candidate: {known, fromTerm: poll.choice.fromTerm}, isPrimaryWhole: false, requiredPosition: poll.required.position};
				}

				if (now >= until) {
					return this.#fallBackToPrimary(poll);
				}

				await timer.sleep(pollIntervalMilliseconds);
			}
		} finally {
			this.#isFinished = true;
		}
	}

	get #isSynchronous(): boolean {
		return this.#group.getSynchronousSet(this.#announced.synchronousSet) !== undefined;
	}

	get #releasedPrimary(): KnownInstance | undefined {
		return this.#group.instances.get(this.#announced.primary);
	}

	/** Reads the status of the released primary, once or, if its commits must survive, again and again in the background. */
	async #observePrimary(): Promise<void> {
		if (this.#reason === ChangeReason.Leaving) {
			await this.#readPrimaryStatus();
		}

		if (this.#isSynchronous) {
			void this.#watchPrimary();
		}
	}

	async #watchPrimary(): Promise<void> {
		while (!this.#isFinished) {
			await this.#readPrimaryStatus();
			await this.#context.timer.sleep(pollIntervalMilliseconds);
		}
	}

	async #readPrimaryStatus(): Promise<void> {
		const {dialer, timer} = this.#context;
		const primary = this.#releasedPrimary;
		this.#primaryStatus = primary && await readInstanceStatus(primary.pool.instance, dialer, timer);
	}

	async #poll(pending: PendingOrders): Promise<Poll> {
		const {timer, dialer} = this.#context;
		const {primary, term, candidate, candidateTerm, mayBePromoting} = this.#announced;
		const others = [...this.#group.instances.values()].filter(({pool}) => pool.instance.id !== primary);
		const answers = await Promise.all(others.map(async known => ({known, process: known.pool.instance, status: await readInstanceStatus(known.pool.instance, dialer, timer)})));
		const reports = answers.flatMap(({known: {leavingSince}, process: {id, startedAt}, status}): ProcessReport[] => status
			? [{id, startedAt, ...(leavingSince !== undefined && {leavingMilliseconds: Math.round(timer.now() - leavingSince)}), ...status}]
			: []);
		const required = this.#findRequiredPosition(reports);
		const choice = chooseCandidate(reports, {
			term,
			// The store may have lost an order that followed the one in the record.
			...(!mayBePromoting && {ordered: candidate, orderedFromTerm: candidateTerm}),
			...pending,
			instances: others.length,
			isSynchronous: this.#isSynchronous,
			requiredPosition: required.position,
		});
		return {choice, reports, required};
	}

	#findRequiredPosition(reports: readonly ProcessReport[]): PositionRequirement {
		const {primary, term, synchronousSet, requiredPosition} = this.#announced;
		const set = this.#group.getSynchronousSet(synchronousSet);
		// A new instance that took over the log of the released primary leads the same term.
		const leader = [this.#primaryStatus, ...reports].find(status => status?.isPrimary && (status.term === term || term === 0));
		return set ? findRequiredPosition({set, primary, reports, established: requiredPosition, primaryPosition: leader?.received}) : {missing: []};
	}

	/** Returns whether the chosen replica holds all commits of a primary that still responds. */
	#isCaughtUp({choice, reports}: Poll): boolean {
		const report = reports.find(({id}) => id === choice?.id);
		const isCompared = this.#reason === ChangeReason.Leaving && this.#primaryStatus !== undefined;
		return report !== undefined && (!isCompared || compareLogPositions(report.received, this.#primaryStatus!.received) >= 0);
	}

	/** Returns the released primary if it responds and no other instance is known to hold every commit that must survive. */
	#fallBackToPrimary({reports, required}: Poll): CandidateSearchResult {
		const {timer, log} = this.#context;
		const {candidate, mayBePromoting} = this.#announced;
		const {position: requiredPosition, missing} = required;
		const known = this.#releasedPrimary;
		const status = this.#primaryStatus;
		const missingReports = this.#group.missingReports.update(missing, timer.now());
		const isEligible = known?.leavingSince === undefined && status !== undefined && requiredPosition !== undefined
			&& compareLogPositions(status.received, requiredPosition) >= 0;
		if (known && isEligible && candidate === undefined && !mayBePromoting && status.isPrimary) {
			return {isPrimaryWhole: true, requiredPosition};
		}

		if (known && isEligible) {
			const choice = {id: known.pool.instance.id, ...(status.isPrimary && {fromTerm: status.term})};
			this.#logChoice(choice, {choice, reports, required}, {isOrderPending: false, isUnknownOrderPending: false});
			return {candidate: {known, fromTerm: choice.fromTerm}, isPrimaryWhole: false, requiredPosition};
		}

		log.write('change-stalled', {
			group: this.#group.name,
			reason: this.#isSynchronous ? 'no eligible instance is known to hold every acknowledged commit' : 'no instance is eligible for promotion',
			requiredPosition: requiredPosition && JSON.stringify(requiredPosition),
			missingReports: JSON.stringify(missingReports),
			reports: JSON.stringify(reports),
		});
		return {isPrimaryWhole: false, requiredPosition};
	}

	#logChoice({id, fromTerm}: CandidateChoice, {reports, required}: Poll, {isOrderPending}: PendingOrders): void {
		this.#context.log.write('candidate-chosen', {
			group: this.#group.name, instance: id, fromTerm, ordered: this.#announced.candidate, pending: isOrderPending,
			requiredPosition: required.position && JSON.stringify(required.position), reports: JSON.stringify(reports),
		});
	}
}
