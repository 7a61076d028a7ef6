import {type Rank} from '@tarragonstack/core';
import {CustomerShares} from './customer-shares.js';
import {FloorAccount} from './floor-account.js';
import {isHopeless, RefundPlan} from './refund-plan.js';
import {type QueueState, type ScheduledWork} from './scheduled-work.js';
import {type SchedulingChoice, type SchedulingStrategy} from './scheduling-strategy.js';

/** Age up to which admissions use the last plan, in milliseconds. In a flood, a plan for each arrival would cost too much. */
const maximumPlanAgeMilliseconds = 5;

/**
 * Interval at which one request is admitted although the estimates say that it cannot be in time. Without it, an estimate
 * that is too high would never be corrected.
 */
const probeIntervalMilliseconds = 250;

/** Serves the work that saves most refund per slot time, with deadlines, floors and customer weights. */
export class RefundStrategy implements SchedulingStrategy {
	readonly #shares = new CustomerShares();
	readonly #floors = new FloorAccount();
	/** Last work of each rank, as an example of the next. */
	readonly #examples = new Map<Rank, ScheduledWork>();
	/** Admitted work that seemed hopeless on arrival. It is served at once, to measure how long it takes. */
	readonly #probes = new Set<ScheduledWork>();
	#plan: RefundPlan | undefined;
	#nextProbeAt = 0;

	/** @inheritdoc */
	admits(work: ScheduledWork, state: QueueState): boolean {
		this.#examples.set(work.rank, work);
		this.#shares.onArrival(work);
		const plan = this.#getPlan(state);
		const isAdmitted = this.#isWorthQueueing(work, plan, state);
		if (isAdmitted) {
			plan.add(work);
			if (isHopeless(work, state.now) && isRefusedWhenLate(work)) {
				this.#probes.add(work);
			}
		}

		return isAdmitted;
	}

	/** @inheritdoc */
	choose(state: QueueState): SchedulingChoice {
		const plan = new RefundPlan(state, this.#shares);
		const probe = plan.late.find(work => this.#probes.has(work));
		this.#probes.clear();
		const refused = plan.late.filter(work => work !== probe && isRefusedWhenLate(work));
		const late = plan.late.filter(work => !isRefusedWhenLate(work));
		const next = probe ?? this.#chooseOverdue(plan, late, state) ?? plan.getNext() ?? plan.surplus[0] ?? getMostCostly(late);
		if (next) {
			this.#shares.onStarted(next);
		}

		// Admissions may use the plan: the started work takes the slot time that the plan gave it.
		this.#plan = plan;
		return {refused, ...(next && {next})};
	}

	/** @inheritdoc */
	onServed(work: ScheduledWork, slotMilliseconds: number, state: QueueState): void {
		this.#floors.onServed(work.rank, slotMilliseconds, state);
	}

	/** @inheritdoc */
	getExpectedWait(rank: Rank, state: QueueState): number {
		const example = this.#examples.get(rank);
		return example ? this.#getPlan(state).getExpectedWait(example) : state.residualMilliseconds / state.slots;
	}

	#getPlan(state: QueueState): RefundPlan {
		if (!this.#plan || state.now - this.#plan.time > maximumPlanAgeMilliseconds) {
			this.#plan = new RefundPlan(state, this.#shares);
		}

		return this.#plan;
	}

	#isWorthQueueing(work: ScheduledWork, plan: RefundPlan, state: QueueState): boolean {
		const isIdle = state.waiting.size === 0 && state.runningCount < state.slots;
		if (isIdle || plan.hasRoom(work)) {
			return true;
		}

		if (!isRefusedWhenLate(work)) {
			return true;
		}

		if (isHopeless(work, state.now) && state.now >= this.#nextProbeAt) {
			this.#nextProbeAt = state.now + probeIntervalMilliseconds;
			return true;
		}

		return false;
	}

	/** Chooses work of a rank that is behind its floor: what is due first, else what does not fit, else what is late. */
	#chooseOverdue(plan: RefundPlan, late: readonly ScheduledWork[], state: QueueState): ScheduledWork | undefined {
		const rank = this.#floors.getOverdueRank(state);
		if (rank === undefined) {
			return undefined;
		}

		return plan.getNext(rank)
			?? plan.surplus.find(work => work.rank === rank)
			?? getMostCostly(late.filter(work => work.rank === rank));
	}
}

/** Refusing late work costs no more than answering it late. */
function isRefusedWhenLate(work: ScheduledWork): boolean {
	return !work.isContinuation && work.refusedRefund <= work.lateRefund;
}

/** Returns the late work whose refusal would cost most per slot time; the refund for lateness is lost already. */
function getMostCostly(works: readonly ScheduledWork[]): ScheduledWork | undefined {
	let best: ScheduledWork | undefined;
	for (const work of works) {
		if (!best || work.refusedRefund / work.serviceMilliseconds > best.refusedRefund / best.serviceMilliseconds) {
			best = work;
		}
	}

	return best;
}
