import {ranks, type Rank} from '@tarragonstack/core';
import {type QueueState, type ScheduledWork} from './scheduled-work.js';

/**
 * Slot time, per slot and in milliseconds, by which a rank may fall behind its floor before it is served out of turn.
 * Within it the order by refund may delay a rank until its work is due.
 */
const toleratedDeficitMilliseconds = 50;

/** Multiple of the tolerated debt at which the account is capped, so that an old debt cannot block other ranks for long. */
const maximumDeficitFactor = 3;

/** Floor of a rank, with the work that waits in it. */
export type RankFloor = {
	/** Share of slot time that the rank keeps. */
	readonly share: number;
	/** Slot time of the waiting work, in milliseconds. */
	readonly waitingMilliseconds: number;
};

/** Accounts of the slot time that each rank is owed by its floor. */
export class FloorDeficits {
	readonly #deficits = new Map<Rank, number>();

	/**
	 * Distributes slot time that was used: every rank with waiting work is owed its share, and the served rank pays.
	 *
	 * @param servedRank - Rank that used the slot time.
	 * @param slotMilliseconds - Slot time that was used.
	 * @param state - State after the work ended.
	 */
	onServed(servedRank: Rank, slotMilliseconds: number, state: QueueState): void {
		const floors = getRankFloors(state.waiting);
		const limit = maximumDeficitFactor * toleratedDeficitMilliseconds * state.slots;
		for (const rank of ranks) {
			const floor = floors.get(rank);
			const usedMilliseconds = rank === servedRank ? slotMilliseconds : 0;
			const deficit = (this.#deficits.get(rank) ?? 0) - usedMilliseconds + (floor ? floor.share * slotMilliseconds : 0);
			// A rank without waiting work is owed nothing. Slot time beyond the floor is no advance: the floor is a minimum.
			this.#deficits.set(rank, Math.max(0, Math.min(floor ? limit : 0, deficit)));
		}
	}

	/**
	 * Returns the rank that must be served out of turn, if any: the one with the greatest debt beyond the tolerance.
	 *
	 * @param state - Present state.
	 */
	getUnderservedRank(state: QueueState): Rank | undefined {
		let underserved: Rank | undefined;
		let greatest = toleratedDeficitMilliseconds * state.slots;
		for (const [rank, deficit] of this.#deficits) {
			if (deficit > greatest) {
				greatest = deficit;
				underserved = rank;
			}
		}

		return underserved;
	}
}

/**
 * Returns the floor of each rank with waiting work: the mean of its customers' floor shares by their weights.
 *
 * @param waiting - Waiting work.
 */
export function getRankFloors(waiting: Iterable<ScheduledWork>): Map<Rank, RankFloor> {
	const customers = new Map<Rank, Map<string, ScheduledWork>>();
	const milliseconds = new Map<Rank, number>();
	for (const work of waiting) {
		milliseconds.set(work.rank, (milliseconds.get(work.rank) ?? 0) + work.serviceMilliseconds);
		const ofRank = customers.get(work.rank) ?? new Map<string, ScheduledWork>();
		ofRank.set(work.customer, work);
		customers.set(work.rank, ofRank);
	}

	const floors = new Map<Rank, RankFloor>();
	for (const [rank, works] of customers) {
		let weight = 0;
		let weightedShare = 0;
		for (const work of works.values()) {
			weight += work.customerWeight;
			weightedShare += work.customerWeight * work.floorShare;
		}

		floors.set(rank, {share: weightedShare / weight, waitingMilliseconds: milliseconds.get(rank) ?? 0});
	}

	return floors;
}
