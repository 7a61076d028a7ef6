import {type Rank} from '@tarragonstack/core';
import {type ScheduledWork} from './scheduled-work.js';

/** Bound of the memory; forgotten customers start again at the virtual time of their rank. */
const maximumCustomers = 2000;

/** Time without a request after which a customer no longer counts as sharing a rank, in milliseconds. */
const activeMilliseconds = 1000;

type Arrival = {
	readonly rank: Rank;
	readonly weight: number;
	readonly time: number;
};

/** Start-time fair queueing among the customers of each rank: slot time is divided by weight. */
export class CustomerShares {
	/** Virtual time up to which each customer has been served in a rank. */
	readonly #customerTimes = new Map<string, number>();
	/** Virtual start of the work that was started last in a rank. */
	readonly #rankTimes = new Map<Rank, number>();

	readonly #arrivals = new Map<string, Arrival>();

	/**
	 * Takes note of a request.
	 *
	 * @param work - New work.
	 */
	onArrival(work: ScheduledWork): void {
		const key = getKey(work);
		this.#arrivals.delete(key);
		this.#arrivals.set(key, {rank: work.rank, weight: work.customerWeight, time: work.arrivedAt});
		if (this.#arrivals.size > maximumCustomers) {
			const [oldest] = this.#arrivals.keys();
			this.#arrivals.delete(oldest!);
		}
	}

	/**
	 * Returns the sum of the weights of the customers that used a rank within the last second.
	 *
	 * @param rank - Rank.
	 * @param now - Present time.
	 */
	getActiveWeight(rank: Rank, now: number): number {
		let weight = 0;
		for (const arrival of this.#arrivals.values()) {
			if (arrival.rank === rank && arrival.time > now - activeMilliseconds) {
				weight += arrival.weight;
			}
		}

		return weight;
	}

	/**
	 * Charges a customer for work that starts.
	 *
	 * @param work - Work that starts.
	 */
	onStarted(work: ScheduledWork): void {
		const start = this.getStart(work);
		const key = getKey(work);
		this.#rankTimes.set(work.rank, Math.max(start, this.#rankTimes.get(work.rank) ?? 0));
		this.#customerTimes.delete(key);
		this.#customerTimes.set(key, start + (work.serviceMilliseconds / work.customerWeight));
		if (this.#customerTimes.size > maximumCustomers) {
			const [oldest] = this.#customerTimes.keys();
			this.#customerTimes.delete(oldest!);
		}
	}

	/**
	 * Returns the virtual start of a customer's next work.
	 *
	 * @param work - Work of the customer.
	 */
	getStart(work: ScheduledWork): number {
		return Math.max(this.#customerTimes.get(getKey(work)) ?? 0, this.#rankTimes.get(work.rank) ?? 0);
	}
}

function getKey(work: ScheduledWork): string {
	return `${work.rank}/${work.customer}`;
}
