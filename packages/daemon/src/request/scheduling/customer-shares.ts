import {type Rank} from '@tarragonstack/core';
import {type ScheduledWork} from './scheduled-work.js';

/** Maximum number of tracked customers per map. Evicted customers start again at the virtual time of their rank. */
const maximumCustomers = 2000;

/** Time after its last request during which a customer counts as active in a rank, in milliseconds. */
const activityWindowMilliseconds = 1000;

type Arrival = {
	readonly rank: Rank;
	readonly weight: number;
	readonly time: number;
};

/** Start-time fair queueing among the customers of each rank. Slot time is divided in proportion to the weights. */
export class CustomerShares {
	/** Virtual time up to which each customer has been served in a rank. */
	readonly #customerVirtualTimes = new Map<string, number>();
	/** Virtual time of each rank: the greatest virtual start of the work that was started. */
	readonly #rankVirtualTimes = new Map<Rank, number>();

	readonly #latestArrivals = new Map<string, Arrival>();

	/**
	 * Records the arrival of a request.
	 *
	 * @param work - New work.
	 */
	onArrival(work: ScheduledWork): void {
		const key = getKey(work);
		this.#latestArrivals.delete(key);
		this.#latestArrivals.set(key, {rank: work.rank, weight: work.customerWeight, time: work.arrivedAt});
		if (this.#latestArrivals.size > maximumCustomers) {
			const [oldest] = this.#latestArrivals.keys();
			this.#latestArrivals.delete(oldest!);
		}
	}

	/**
	 * Returns the total weight of the customers that sent a request in a rank within the last second.
	 *
	 * @param rank - Rank of the requests.
	 * @param now - Current time.
	 */
	getActiveWeight(rank: Rank, now: number): number {
		let weight = 0;
		for (const arrival of this.#latestArrivals.values()) {
			if (arrival.rank === rank && arrival.time > now - activityWindowMilliseconds) {
				weight += arrival.weight;
			}
		}

		return weight;
	}

	/**
	 * Advances the virtual time of a customer by the work that starts.
	 *
	 * @param work - Work that starts.
	 */
	onStarted(work: ScheduledWork): void {
		const virtualStart = this.getVirtualStart(work);
		const key = getKey(work);
		this.#rankVirtualTimes.set(work.rank, Math.max(virtualStart, this.#rankVirtualTimes.get(work.rank) ?? 0));
		this.#customerVirtualTimes.delete(key);
		this.#customerVirtualTimes.set(key, virtualStart + (work.serviceMilliseconds / work.customerWeight));
		if (this.#customerVirtualTimes.size > maximumCustomers) {
			const [oldest] = this.#customerVirtualTimes.keys();
			this.#customerVirtualTimes.delete(oldest!);
		}
	}

	/**
	 * Returns the virtual start time of a customer's next work.
	 *
	 * @param work - Work of the customer.
	 */
	getVirtualStart(work: ScheduledWork): number {
		return Math.max(this.#customerVirtualTimes.get(getKey(work)) ?? 0, this.#rankVirtualTimes.get(work.rank) ?? 0);
	}
}

function getKey(work: ScheduledWork): string {
	return `${work.rank}/${work.customer}`;
}
