import {ranks, type Rank} from '@tarragonstack/core';
import {type QueueState, type ScheduledWork} from './scheduled-work.js';

/**
 * Deficit per slot, in milliseconds, above which a rank takes precedence over the order by refund. Up to this deficit, the
 * order of the refund plan applies, in which work may wait as long as it can still be on time.
 */
const toleratedDeficitMilliseconds = 50;

/** Cap of a deficit, as a multiple of the tolerated one, so that an old deficit cannot block other ranks for long. */
const maximumDeficitFactor = 3;

/** Floor of a rank and the amount of its waiting work. */
export type RankFloor = {
	/** Minimum share of slot time that the rank is guaranteed, from 0 to 1. */
	readonly share: number;
	/** Slot time that the waiting work needs, in milliseconds. */
	readonly requiredMilliseconds: number;
};

/** Tracks by how much slot time each rank falls short of its floor. */
export class FloorDeficits {
	/** Slot time that each rank lacks, in milliseconds. */
	readonly #deficitMilliseconds = new Map<Rank, number>();

	/**
	 * Accounts for slot time that was used: increases the deficit of every rank with waiting work in proportion to its floor,
	 * and reduces the deficit of the served rank. The deficit of a rank without waiting work is reset to 0.
	 *
	 * @param servedRank - Rank that used the slot time.
	 * @param slotMilliseconds - Slot time that was used, in milliseconds.
	 * @param state - State of the queue after the work finished.
	 */
	onServed(servedRank: Rank, slotMilliseconds: number, state: QueueState): void {
		const floors = getRankFloors(state.waiting);
		const limit = maximumDeficitFactor * toleratedDeficitMilliseconds * state.slots;
		for (const rank of ranks) {
			const floor = floors.get(rank);
			const usedMilliseconds = rank === servedRank ? slotMilliseconds : 0;
			const deficit = (this.#deficitMilliseconds.get(rank) ?? 0) - usedMilliseconds + (floor ? floor.share * slotMilliseconds : 0);
			// A rank without waiting work has no deficit. Slot time above the floor is not credited, because the floor is a minimum.
			this.#deficitMilliseconds.set(rank, Math.max(0, Math.min(floor ? limit : 0, deficit)));
		}
	}

	/**
	 * Returns the rank with the greatest deficit above the tolerance, if any. It must be served next.
	 *
	 * @param state - Current state of the queue.
	 */
	getUnderservedRank(state: QueueState): Rank | undefined {
		let underserved: Rank | undefined;
		let greatest = toleratedDeficitMilliseconds * state.slots;
		for (const [rank, deficit] of this.#deficitMilliseconds) {
			if (deficit > greatest) {
				greatest = deficit;
				underserved = rank;
			}
		}

		return underserved;
	}
}

/**
 * Returns the floor of each rank with waiting work: the mean of its customers' floor shares, weighted by `customerWeight`.
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
	for (const [rank, workByCustomer] of customers) {
		let weight = 0;
		let weightedShare = 0;
		for (const work of workByCustomer.values()) {
			weight += work.customerWeight;
			weightedShare += work.customerWeight * work.floorShare;
		}

		floors.set(rank, {share: weightedShare / weight, requiredMilliseconds: milliseconds.get(rank) ?? 0});
	}

	return floors;
}
