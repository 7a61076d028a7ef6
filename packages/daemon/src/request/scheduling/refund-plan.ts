import {ranks, type Rank} from '@tarragonstack/core';
import {CapacityProfile} from './capacity-profile.js';
import {WeightedFairQueue} from './weighted-fair-queue.js';
import {type CustomerShares} from './customer-shares.js';
import {getRankFloors} from './floor-deficits.js';
import {type QueueState, type ScheduledWork} from './scheduled-work.js';

/** Time that a response takes to reach the caller, in milliseconds: about the network latency of one hop between availability zones. */
const responseTransitMilliseconds = 2;

/**
 * Maximum safety margin between the preferred and the latest due time of work, as a share of its target latency. Statements
 * sometimes take longer than expected, and the delay must affect work with a low refund per slot time first. The waiting
 * work with the lowest refund per slot time gets no margin.
 */
const maximumMarginShare = 0.5;

/**
 * Safety margin of slot time per relative deviation: the mean deviation of the slot times of the waiting work, divided by
 * their mean. Without a margin, the last accepted work would be due exactly when it is expected to finish. A larger margin
 * refuses work that could be on time, which costs as much as being late.
 */
const marginPerDeviation = 0.2;

/**
 * Number of accepted requests from which no further ones are accepted, except for requests of open transactions and those
 * that the floor of their rank can serve on time. As the requests with a high refund per slot time are considered first,
 * mainly those with a low one are left out.
 */
const maximumPlannedWork = 512;

/**
 * Returns the refund that is avoided by serving the work on time. Work that is not served on time costs the lower of the
 * two refunds, because it can be either refused or served late.
 *
 * @param work - Work to evaluate.
 */
export function getSavedRefund(work: ScheduledWork): number {
	return Math.min(work.lateRefund, work.refusedRefund);
}

/**
 * Returns the refund that is avoided per millisecond of slot time.
 *
 * @param work - Work to evaluate.
 */
export function getRefundPerSlotTime(work: ScheduledWork): number {
	return getSavedRefund(work) / Math.max(0.1, work.serviceMilliseconds);
}

/**
 * Returns whether the work would be late even if it started now.
 *
 * @param work - Work to serve.
 * @param now - Current monotonic time, in milliseconds.
 */
export function willBeLate(work: ScheduledWork, now: number): boolean {
	return now + work.serviceMilliseconds > work.lateAt;
}

/** Work that is considered for a place in the plan, with its due time. */
type PlannedWork = {
	readonly work: ScheduledWork;
	readonly refundPerSlotTime: number;
	readonly serviceMilliseconds: number;
	/**
	 * Deadline in the capacity model, which treats all slots as one faster server, in milliseconds after the time of the plan.
	 * It is the latest due time at first, and the planned one once the work is accepted.
	 */
	dueMilliseconds: number;
	/** Whether slot time is reserved for the work out of the share that the floor guarantees to its rank. */
	isReserved: boolean;
};

/** Floor, customer weight and amount of the waiting work of one rank. */
type RankWork = {
	readonly floorShare: number;
	/** Total weight of the active customers of the rank. */
	readonly activeWeight: number;
	/**
	 * Slot time that the waiting work of each customer needs, in milliseconds. Of the work that is late when the plan is made,
	 * only that of open transactions counts.
	 */
	readonly customerMilliseconds: Map<string, number>;
	/** Total of `customerMilliseconds`. */
	requiredMilliseconds: number;
};

/**
 * Plan of the waiting work that can be served on time. It selects work greedily to avoid as much refund as possible.
 *
 * Accepted work is work that has a place in the plan. Each step considers the next work of every rank by fair share of its
 * customers, and tries to accept the one with the highest refund per slot time. It is accepted if all work accepted before
 * stays on time. Accepted work is served by earliest due time. Thus work with a low refund per slot time that would become
 * late is served before work with a high one that can still wait, but no amount of the former makes the latter late. Work
 * of open transactions and work that the floor of its rank can serve on time are always accepted.
 */
export class RefundPlan {
	/** Work outside open transactions that could be on time but was not accepted, in the order in which it was considered. */
	readonly unaccepted: ScheduledWork[] = [];
	/** Work outside open transactions that can no longer be on time, in the order of arrival. */
	readonly late: ScheduledWork[] = [];
	/** Monotonic time at which the plan was made, in milliseconds. */
	readonly time: number;
	readonly #state: QueueState;
	readonly #shares: CustomerShares;
	readonly #accepted: PlannedWork[] = [];
	/** Number of slots, reduced by the margin for statements that take longer than expected. */
	readonly #plannedSlots: number;
	readonly #profile: CapacityProfile;
	/** Capacity that is available to new work of a rank. Accepted work that it may displace is left out. */
	readonly #rankProfiles = new Map<Rank, CapacityProfile>();
	readonly #rankWork = new Map<Rank, RankWork>();
	#lowestRefundPerSlotTime = Infinity;

	constructor(state: QueueState, shares: CustomerShares) {
		this.#state = state;
		this.#shares = shares;
		this.time = state.now;
		this.#plannedSlots = state.slots * getPlannedShare(state.waiting);
		this.#profile = new CapacityProfile(this.#plannedSlots, state.residualMilliseconds);
		const byRank = this.#partitionWaiting();
		for (const [rank, {share}] of getRankFloors(state.waiting)) {
			this.#getRankWork(rank, share);
		}

		for (const [rank, candidates] of byRank) {
			this.#reserveFloor(rank, candidates);
		}

		this.#acceptByRefundPerSlotTime(byRank);
	}

	/**
	 * Returns the work to serve next. It selects the rank whose accepted work is due first, in this rank the customer that is
	 * next by fair share, and of this customer the work that is due first.
	 *
	 * @param rank - Restricts the choice to one rank, if given.
	 */
	getNext(rank?: Rank): ScheduledWork | undefined {
		const first = this.#getFirstDue(planned => rank === undefined || planned.work.rank === rank);
		if (!first || first.work.isInTransaction || this.#getRankWork(first.work.rank).customerMilliseconds.size === 1) {
			return first?.work;
		}

		const isOfRank = (planned: PlannedWork) => planned.work.rank === first.work.rank && !planned.work.isInTransaction;
		const customer = this.#accepted.find(planned => isOfRank(planned))?.work.customer;
		return this.#getFirstDue(planned => isOfRank(planned) && planned.work.customer === customer)?.work;
	}

	/**
	 * Returns whether new work fits next to the accepted work that it may not displace, or into the floor of its rank. If
	 * several customers are active in the rank, each one's share of the capacity and the floor is limited by its weight.
	 *
	 * @param work - New work.
	 */
	hasCapacity(work: ScheduledWork): boolean {
		const dueMilliseconds = this.#getLatestDueMilliseconds(work);
		if (dueMilliseconds <= 0) {
			return false;
		}

		const profile = this.#getRankProfile(work);
		const rankWork = this.#getRankWork(work.rank, work.floorShare);
		const floorMilliseconds = work.floorShare * this.#state.slots * dueMilliseconds;
		const share = work.customerWeight / Math.max(work.customerWeight, rankWork.activeWeight);
		if (share === 1) {
			return profile.fits(dueMilliseconds, work.serviceMilliseconds)
				|| rankWork.requiredMilliseconds + work.serviceMilliseconds <= floorMilliseconds;
		}

		const used = (rankWork.customerMilliseconds.get(work.customer) ?? 0) + work.serviceMilliseconds;
		const capacity = Math.max(floorMilliseconds, rankWork.requiredMilliseconds + profile.getAvailable(dueMilliseconds));
		return used <= share * capacity;
	}

	/**
	 * Adds new work that was admitted after the plan was made.
	 *
	 * @param work - New work.
	 */
	add(work: ScheduledWork): void {
		const dueMilliseconds = this.#getLatestDueMilliseconds(work);
		this.#addToRankWork(work);
		for (const [rank, profile] of this.#rankProfiles) {
			if (rank === work.rank || ranks.indexOf(rank) > ranks.indexOf(work.rank)) {
				profile.reserve(dueMilliseconds, work.serviceMilliseconds);
			}
		}
	}

	/**
	 * Returns the expected wait of new work, in milliseconds. For work that does not fit next to the accepted work, this is at
	 * least its whole target latency.
	 *
	 * @param earlierWork - Earlier work that stands for the new work.
	 */
	getExpectedWait(earlierWork: ScheduledWork): number {
		const targetMilliseconds = earlierWork.lateAt - earlierWork.arrivedAt;
		const dueMilliseconds = targetMilliseconds - responseTransitMilliseconds;
		const profile = this.#getRankProfile(earlierWork);
		const wait = profile.getReserved(dueMilliseconds) / this.#state.slots;
		return profile.fits(dueMilliseconds, earlierWork.serviceMilliseconds) ? wait : Math.max(wait, targetMilliseconds);
	}

	/**
	 * Accepts the work of open transactions, even if it is late, and adds other late work to `late`.
	 *
	 * @returns The remaining work by rank, in the order of arrival.
	 */
	#partitionWaiting(): Map<Rank, PlannedWork[]> {
		const byRank = new Map<Rank, PlannedWork[]>();
		for (const work of this.#state.waiting) {
			if (work.isInTransaction) {
				const planned = this.#toPlanned(work);
				this.#profile.reserve(planned.dueMilliseconds, planned.serviceMilliseconds);
				this.#accept(planned);
			} else if (willBeLate(work, this.time)) {
				this.late.push(work);
			} else {
				const planned = this.#toPlanned(work);
				this.#lowestRefundPerSlotTime = Math.min(this.#lowestRefundPerSlotTime, planned.refundPerSlotTime);
				const ofRank = byRank.get(work.rank);
				if (ofRank) {
					ofRank.push(planned);
				} else {
					byRank.set(work.rank, [planned]);
				}
			}
		}

		return byRank;
	}

	/** Reserves slot time, at the latest due times, for the work of a rank that its floor can serve on time. */
	#reserveFloor(rank: Rank, candidates: readonly PlannedWork[]): void {
		const share = this.#getRankWork(rank).floorShare;
		const queue = this.#createFairQueue(candidates);
		let reservedMilliseconds = 0;
		for (let planned = queue.head; planned; planned = queue.head) {
			const {dueMilliseconds, serviceMilliseconds} = planned;
			planned.isReserved = reservedMilliseconds + serviceMilliseconds <= share * this.#state.slots * dueMilliseconds
				&& this.#profile.tryReserveAtDueTime(dueMilliseconds, serviceMilliseconds);
			reservedMilliseconds += planned.isReserved ? serviceMilliseconds : 0;
			queue.advance(planned.isReserved);
		}
	}

	/**
	 * Accepts work in order of the refund per slot time. Only the heads of the ranks' queues are compared, because the customers
	 * of a rank are served in fair order.
	 */
	#acceptByRefundPerSlotTime(byRank: ReadonlyMap<Rank, readonly PlannedWork[]>): void {
		const queues = [...byRank.values()].map(candidates => this.#createFairQueue(candidates));
		for (;;) {
			let best: WeightedFairQueue<PlannedWork> | undefined;
			for (const queue of queues) {
				if (queue.head && (!best?.head || queue.head.refundPerSlotTime > best.head.refundPerSlotTime)) {
					best = queue;
				}
			}

			const planned = best?.head;
			if (!best || !planned) {
				return;
			}

			const isAccepted = this.#tryAccept(planned);
			best.advance(isAccepted);
			if (!isAccepted) {
				this.unaccepted.push(planned.work);
				this.#addToRankWork(planned.work);
			}
		}
	}

	#createFairQueue(candidates: readonly PlannedWork[]): WeightedFairQueue<PlannedWork> {
		return new WeightedFairQueue(candidates, ({work}) => this.#shares.getVirtualStart(work));
	}

	#tryAccept(planned: PlannedWork): boolean {
		if (planned.isReserved) {
			this.#profile.release(planned.dueMilliseconds, planned.serviceMilliseconds);
		} else if (this.#accepted.length >= maximumPlannedWork) {
			return false;
		}

		const plannedDue = this.#profile.tryReserve(this.#getPreferredDueMilliseconds(planned), planned.dueMilliseconds, planned.serviceMilliseconds);
		if (plannedDue === undefined) {
			return false;
		}

		planned.dueMilliseconds = plannedDue;
		this.#accept(planned);
		return true;
	}

	#accept(planned: PlannedWork): void {
		this.#accepted.push(planned);
		this.#addToRankWork(planned.work);
	}

	#addToRankWork(work: ScheduledWork): void {
		const rankWork = this.#getRankWork(work.rank, work.floorShare);
		const {customerMilliseconds} = rankWork;
		rankWork.requiredMilliseconds += work.serviceMilliseconds;
		customerMilliseconds.set(work.customer, (customerMilliseconds.get(work.customer) ?? 0) + work.serviceMilliseconds);
	}

	#getRankWork(rank: Rank, floorShare = 0): RankWork {
		let rankWork = this.#rankWork.get(rank);
		if (!rankWork) {
			rankWork = {
				floorShare, activeWeight: this.#shares.getActiveWeight(rank, this.time), customerMilliseconds: new Map(), requiredMilliseconds: 0,
			};
			this.#rankWork.set(rank, rankWork);
		}

		return rankWork;
	}

	#toPlanned(work: ScheduledWork): PlannedWork {
		return {
			work,
			refundPerSlotTime: getRefundPerSlotTime(work),
			serviceMilliseconds: work.serviceMilliseconds,
			dueMilliseconds: this.#getLatestDueMilliseconds(work),
			isReserved: false,
		};
	}

	/**
	 * Returns the latest due time of the work in the capacity model, in milliseconds after the time of the plan. The model treats
	 * all slots as one faster server, but a statement occupies a single slot, so it must start earlier than the model assumes.
	 */
	#getLatestDueMilliseconds(work: ScheduledWork): number {
		return work.lateAt - this.time - responseTransitMilliseconds - (work.serviceMilliseconds * (1 - (1 / this.#state.slots)));
	}

	/**
	 * Returns the latest due time minus a safety margin, in milliseconds after the time of the plan. The margin grows with the
	 * refund per slot time relative to the lowest one.
	 */
	#getPreferredDueMilliseconds({work, refundPerSlotTime, dueMilliseconds}: PlannedWork): number {
		const relativeRefund = refundPerSlotTime > 0 ? Math.max(0, 1 - (this.#lowestRefundPerSlotTime / refundPerSlotTime)) : 0;
		return dueMilliseconds - (maximumMarginShare * relativeRefund * (work.lateAt - work.arrivedAt));
	}

	/**
	 * Returns the capacity that new work of a rank can use. It is reduced by the accepted work that the new work cannot displace:
	 * work of the same rank, of an open transaction, or with at least the same refund per slot time, and the share of all other
	 * work that the floor of its rank guarantees.
	 */
	#getRankProfile(newWork: ScheduledWork): CapacityProfile {
		const cached = this.#rankProfiles.get(newWork.rank);
		if (cached) {
			return cached;
		}

		const refundPerSlotTime = getRefundPerSlotTime(newWork);
		const profile = new CapacityProfile(this.#plannedSlots, this.#state.residualMilliseconds);
		profile.reserveAll(this.#accepted.map(planned => {
			const {work, dueMilliseconds, serviceMilliseconds} = planned;
			const isKept = work.rank === newWork.rank || work.isInTransaction || planned.refundPerSlotTime >= refundPerSlotTime;
			const share = isKept ? 1 : this.#getRankWork(work.rank).floorShare;
			return {dueMilliseconds, serviceMilliseconds: share * serviceMilliseconds};
		}));
		this.#rankProfiles.set(newWork.rank, profile);
		return profile;
	}

	#getFirstDue(isCandidate: (planned: PlannedWork) => boolean): PlannedWork | undefined {
		let first: PlannedWork | undefined;
		for (const planned of this.#accepted) {
			if ((!first || planned.dueMilliseconds < first.dueMilliseconds) && isCandidate(planned)) {
				first = planned;
			}
		}

		return first;
	}
}

/** Returns the share of slot time that a plan may use: the larger the relative deviation of the slot times, the smaller the share. */
function getPlannedShare(waiting: Iterable<ScheduledWork>): number {
	let serviceMilliseconds = 0;
	let deviationMilliseconds = 0;
	for (const work of waiting) {
		serviceMilliseconds += work.serviceMilliseconds;
		deviationMilliseconds += work.deviationMilliseconds;
	}

	return serviceMilliseconds > 0 ? 1 / (1 + (marginPerDeviation * deviationMilliseconds / serviceMilliseconds)) : 1;
}
