import {type Rank} from '@tarragonstack/core';
import {CustomerShares} from './customer-shares.js';
import {FloorDeficits} from './floor-deficits.js';
import {willBeLate, RefundPlan} from './refund-plan.js';
import {type QueueState, type ScheduledWork} from './scheduled-work.js';
import {type SchedulingDecision, type SchedulingStrategy} from './scheduling-strategy.js';

/** Maximum age of a plan that admissions reuse, in milliseconds. A plan for each arrival is too expensive under overload. */
const maximumPlanAgeMilliseconds = 5;

/**
 * Minimum interval between probes, in milliseconds. A probe is a request that is admitted although it is estimated to be
 * late. Without probes, an estimate that is too high would never be corrected.
 */
const probeIntervalMilliseconds = 250;

/** Serves the work that avoids the most refund per slot time, subject to deadlines, floors and customer weights. */
export class RefundStrategy implements SchedulingStrategy {
	readonly #shares = new CustomerShares();
	readonly #floorDeficits = new FloorDeficits();
	/** Most recent work of each rank. It represents the next work in estimates of the wait. */
	readonly #latestWork = new Map<Rank, ScheduledWork>();
	/** Work that was admitted as a probe. It is served immediately to measure its service time. */
	readonly #probes = new Set<ScheduledWork>();
	#plan: RefundPlan | undefined;
	#nextProbeAt = 0;

	/** @inheritdoc */
	admits(work: ScheduledWork, state: QueueState): boolean {
		this.#latestWork.set(work.rank, work);
		this.#shares.onArrival(work);
		const plan = this.#getPlan(state);
		const isAdmitted = this.#isWorthQueueing(work, plan, state);
		if (isAdmitted) {
			plan.add(work);
			if (willBeLate(work, state.now) && isRefusedWhenLate(work)) {
				this.#probes.add(work);
			}
		}

		return isAdmitted;
	}

	/** @inheritdoc */
	choose(state: QueueState): SchedulingDecision {
		const plan = new RefundPlan(state, this.#shares);
		const probe = plan.late.find(work => this.#probes.has(work));
		this.#probes.clear();
		const refused = plan.late.filter(work => work !== probe && isRefusedWhenLate(work));
		const late = plan.late.filter(work => !isRefusedWhenLate(work));
		const next = probe ?? this.#chooseFromUnderservedRank(plan, late, state) ?? plan.getNext() ?? plan.unaccepted[0] ?? getCostliestToRefuse(late);
		if (next) {
			this.#shares.onStarted(next);
		}

		// Admissions may reuse the plan, because the started work uses the slot time that the plan reserved for it.
		this.#plan = plan;
		return {refused, ...(next && {next})};
	}

	/** @inheritdoc */
	onServed(work: ScheduledWork, slotMilliseconds: number, state: QueueState): void {
		this.#floorDeficits.onServed(work.rank, slotMilliseconds, state);
	}

	/** @inheritdoc */
	getExpectedWait(rank: Rank, state: QueueState): number {
		const earlierWork = this.#latestWork.get(rank);
		return earlierWork ? this.#getPlan(state).getExpectedWait(earlierWork) : state.residualMilliseconds / state.slots;
	}

	#getPlan(state: QueueState): RefundPlan {
		if (!this.#plan || state.now - this.#plan.time > maximumPlanAgeMilliseconds) {
			this.#plan = new RefundPlan(state, this.#shares);
		}

		return this.#plan;
	}

	#isWorthQueueing(work: ScheduledWork, plan: RefundPlan, state: QueueState): boolean {
		const isIdle = state.waiting.size === 0 && state.runningCount < state.slots;
		if (isIdle || plan.hasCapacity(work)) {
			return true;
		}

		if (!isRefusedWhenLate(work)) {
			return true;
		}

		if (willBeLate(work, state.now) && state.now >= this.#nextProbeAt) {
			this.#nextProbeAt = state.now + probeIntervalMilliseconds;
			return true;
		}

		return false;
	}

	/** Chooses work of a rank with a floor deficit: the work that is due first, else unaccepted work, else late work. */
	#chooseFromUnderservedRank(plan: RefundPlan, late: readonly ScheduledWork[], state: QueueState): ScheduledWork | undefined {
		const rank = this.#floorDeficits.getUnderservedRank(state);
		if (rank === undefined) {
			return undefined;
		}

		return plan.getNext(rank)
			?? plan.unaccepted.find(work => work.rank === rank)
			?? getCostliestToRefuse(late.filter(work => work.rank === rank));
	}
}

/** Returns whether work is refused once it is late, because refusing it costs no more than serving it late. */
function isRefusedWhenLate(work: ScheduledWork): boolean {
	return !work.isInTransaction && work.refusedRefund <= work.lateRefund;
}

/** Returns the late work whose refusal costs the most per slot time. The refund for lateness is due in any case. */
function getCostliestToRefuse(lateWork: readonly ScheduledWork[]): ScheduledWork | undefined {
	let best: ScheduledWork | undefined;
	for (const work of lateWork) {
		if (!best || work.refusedRefund / work.serviceMilliseconds > best.refusedRefund / best.serviceMilliseconds) {
			best = work;
		}
	}

	return best;
}
