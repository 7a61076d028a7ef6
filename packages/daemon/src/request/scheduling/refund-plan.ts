import {ranks, type Rank} from '@tarragonstack/core';
import {CapacityProfile} from './capacity-profile.js';
import {type CustomerShares} from './customer-shares.js';
import {getRankFloors, type RankFloor} from './floor-account.js';
import {type QueueState, type ScheduledWork} from './scheduled-work.js';

/** Time that a response needs on its way to the caller, in milliseconds; about one hop between zones. */
const responseWayMilliseconds = 2;

/** Work beyond this number is not planned. The work that saves most is planned first, so that only cheap work is left out. */
const maximumPlannedWork = 512;

/**
 * Returns the refund that serving the work in time saves. Work that is refused instead of being late costs the lesser of
 * the two refunds.
 *
 * @param work - Work to value.
 */
export function getSavedRefund(work: ScheduledWork): number {
	return Math.min(work.lateRefund, work.refusedRefund);
}

/**
 * Returns the refund saved per millisecond of slot time.
 *
 * @param work - Work to value.
 */
export function getDensity(work: ScheduledWork): number {
	return getSavedRefund(work) / Math.max(0.1, work.serviceMilliseconds);
}

/**
 * Returns the time until the work must have ended if all slots served it one after the other, from now. A statement
 * occupies one slot only, so it must start earlier than that model says.
 *
 * @param work - Work to serve.
 * @param state - Present state.
 */
export function getDueMilliseconds(work: ScheduledWork, state: QueueState): number {
	return work.lateAt - state.now - responseWayMilliseconds - work.deviationMilliseconds
		- (work.serviceMilliseconds * (1 - (1 / state.slots)));
}

/**
 * Returns whether the work would be late even if it started now.
 *
 * @param work - Work to serve.
 * @param now - Present time.
 */
export function isHopeless(work: ScheduledWork, now: number): boolean {
	return now + work.serviceMilliseconds > work.lateAt;
}

/**
 * Plan of the waiting work: the set that saves most refund and can be served in time together.
 *
 * Work is accepted in the order of the refund saved per slot time, as long as everything accepted before stays in time.
 * Accepted work is served in the order of its due times. Cheap work that would be late is thus served before valuable work
 * that can still wait, and no amount of cheap work makes valuable work late. Each rank's floor is accepted first.
 */
export class RefundPlan {
	/** Accepted work with its due time, in the order of acceptance. */
	readonly accepted: ScheduledWork[] = [];
	/** Work that could be in time but does not fit beside the accepted work. */
	readonly surplus: ScheduledWork[] = [];
	/** Work that can no longer be in time, in the order of arrival. */
	readonly late: ScheduledWork[] = [];
	readonly time: number;
	readonly floors: ReadonlyMap<Rank, RankFloor>;
	readonly #state: QueueState;
	readonly #profile: CapacityProfile;
	/** Profile in which new work of a rank must find room: without accepted work that it may displace. */
	readonly #rankProfiles = new Map<Rank, CapacityProfile>();
	readonly #customerMilliseconds = new Map<string, number>();
	readonly #rankMilliseconds = new Map<Rank, number>();
	readonly #customerWeights = new Map<Rank, Map<string, number>>();

	constructor(state: QueueState, shares: CustomerShares) {
		this.#state = state;
		this.time = state.now;
		this.#profile = new CapacityProfile(state.slots, state.residualMilliseconds);
		this.floors = getRankFloors(state.waiting);
		const byRank = this.#sortOutLate(shares);
		const rest = this.#acceptFloors(byRank);
		this.#acceptByDensity(rest);
	}

	/** Returns the accepted work that is due first. */
	getFirstDue(works: readonly ScheduledWork[] = this.accepted): ScheduledWork | undefined {
		let first: ScheduledWork | undefined;
		let firstDue = Infinity;
		for (const work of works) {
			const due = getDueMilliseconds(work, this.#state);
			if (due < firstDue) {
				first = work;
				firstDue = due;
			}
		}

		return first;
	}

	/**
	 * Returns whether new work fits, either beside all accepted work that it may not displace, or into the floor of its rank,
	 * or into the share of its customer.
	 *
	 * @param work - New work.
	 */
	hasRoom(work: ScheduledWork): boolean {
		const due = getDueMilliseconds(work, this.#state);
		return this.#getRankProfile(work).fits(due, work.serviceMilliseconds)
			|| this.#fitsFloor(work, due)
			|| this.#fitsCustomerShare(work, due);
	}

	/**
	 * Takes note of new work that was admitted after the plan was made.
	 *
	 * @param work - New work.
	 */
	add(work: ScheduledWork): void {
		const due = getDueMilliseconds(work, this.#state);
		this.#count(work);
		this.#profile.take(due, work.serviceMilliseconds);
		for (const [rank, profile] of this.#rankProfiles) {
			if (rank === work.rank || ranks.indexOf(rank) > ranks.indexOf(work.rank)) {
				profile.take(due, work.serviceMilliseconds);
			}
		}
	}

	/**
	 * Returns the expected wait of new work, in milliseconds.
	 *
	 * @param example - Work like the new one.
	 */
	getExpectedWait(example: ScheduledWork): number {
		const remaining = example.lateAt - example.arrivedAt;
		const due = remaining - responseWayMilliseconds - example.deviationMilliseconds;
		const profile = this.#getRankProfile(example);
		const wait = (this.#state.residualMilliseconds + profile.getTaken(due)) / this.#state.slots;
		return profile.fits(due, example.serviceMilliseconds) ? wait : Math.max(wait, remaining);
	}

	#sortOutLate(shares: CustomerShares): Map<Rank, ScheduledWork[]> {
		const byRank = new Map<Rank, ScheduledWork[]>();
		for (const work of this.#state.waiting) {
			if (work.isContinuation) {
				this.#accept(work);
				this.#profile.take(getDueMilliseconds(work, this.#state), work.serviceMilliseconds);
			} else if (isHopeless(work, this.time)) {
				this.late.push(work);
			} else {
				const ofRank = byRank.get(work.rank) ?? [];
				ofRank.push(work);
				byRank.set(work.rank, ofRank);
			}
		}

		for (const [rank, works] of byRank) {
			byRank.set(rank, shares.order(works));
		}

		return byRank;
	}

	/** Accepts of each rank what its floor can serve in time. Returns the rest. */
	#acceptFloors(byRank: ReadonlyMap<Rank, readonly ScheduledWork[]>): ScheduledWork[][] {
		const rest: ScheduledWork[][] = [];
		for (const [rank, works] of byRank) {
			const share = this.floors.get(rank)?.share ?? 0;
			const ofRank: ScheduledWork[] = [];
			let taken = 0;
			for (const work of works) {
				const due = getDueMilliseconds(work, this.#state);
				const isInFloor = taken + work.serviceMilliseconds <= share * this.#state.slots * due
					&& this.accepted.length < maximumPlannedWork
					&& this.#profile.tryTake(due, work.serviceMilliseconds);
				if (isInFloor) {
					taken += work.serviceMilliseconds;
					this.#accept(work);
				} else {
					ofRank.push(work);
				}
			}

			rest.push(ofRank);
		}

		return rest;
	}

	/** Accepts by refund per slot time; within a rank the customers' shares decide. */
	#acceptByDensity(rest: readonly ScheduledWork[][]): void {
		const positions = rest.map(() => 0);
		for (;;) {
			let best = -1;
			let bestDensity = -1;
			for (const [index, works] of rest.entries()) {
				const head = works[positions[index]!];
				if (head && getDensity(head) > bestDensity) {
					best = index;
					bestDensity = getDensity(head);
				}
			}

			if (best === -1) {
				return;
			}

			const work = rest[best]![positions[best]!]!;
			positions[best]!++;
			const isAccepted = this.accepted.length < maximumPlannedWork
				&& this.#profile.tryTake(getDueMilliseconds(work, this.#state), work.serviceMilliseconds);
			if (isAccepted) {
				this.#accept(work);
			} else {
				this.surplus.push(work);
			}
		}
	}

	#accept(work: ScheduledWork): void {
		this.accepted.push(work);
		this.#count(work);
	}

	#count(work: ScheduledWork): void {
		const key = getCustomerKey(work);
		this.#customerMilliseconds.set(key, (this.#customerMilliseconds.get(key) ?? 0) + work.serviceMilliseconds);
		this.#rankMilliseconds.set(work.rank, (this.#rankMilliseconds.get(work.rank) ?? 0) + work.serviceMilliseconds);
		const weights = this.#customerWeights.get(work.rank) ?? new Map<string, number>();
		weights.set(work.customer, work.customerWeight);
		this.#customerWeights.set(work.rank, weights);
	}

	/** Profile of the accepted work that new work of a rank cannot displace: of its rank, of greater density, or in a floor. */
	#getRankProfile(example: ScheduledWork): CapacityProfile {
		const known = this.#rankProfiles.get(example.rank);
		if (known) {
			return known;
		}

		const density = getDensity(example);
		const profile = new CapacityProfile(this.#state.slots, this.#state.residualMilliseconds);
		for (const work of this.accepted) {
			const isKept = work.rank === example.rank || work.isContinuation || getDensity(work) >= density;
			const share = isKept ? 1 : this.floors.get(work.rank)?.share ?? 0;
			profile.take(getDueMilliseconds(work, this.#state), share * work.serviceMilliseconds);
		}

		this.#rankProfiles.set(example.rank, profile);
		return profile;
	}

	#fitsFloor(work: ScheduledWork, due: number): boolean {
		const used = this.#rankMilliseconds.get(work.rank) ?? 0;
		return used + work.serviceMilliseconds <= work.floorShare * this.#state.slots * due;
	}

	/** A customer below its share of the work of its rank is admitted; the work of others is then displaced. */
	#fitsCustomerShare(work: ScheduledWork, due: number): boolean {
		const used = (this.#customerMilliseconds.get(getCustomerKey(work)) ?? 0) + work.serviceMilliseconds;
		let totalWeight = this.#customerWeights.get(work.rank)?.has(work.customer) ? 0 : work.customerWeight;
		for (const weight of this.#customerWeights.get(work.rank)?.values() ?? []) {
			totalWeight += weight;
		}

		const share = work.customerWeight / totalWeight;
		const total = this.#rankMilliseconds.get(work.rank) ?? 0;
		return due > 0 && used <= share * total;
	}
}

function getCustomerKey(work: ScheduledWork): string {
	return `${work.rank}/${work.customer}`;
}
