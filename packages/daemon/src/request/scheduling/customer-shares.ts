import {type Rank} from '@tarragonstack/core';
import {type ScheduledWork} from './scheduled-work.js';

/** Bound of the memory; forgotten customers start again at the virtual time of their rank. */
const maximumCustomers = 2000;

/** Start-time fair queueing among the customers of each rank: slot time is divided by weight. */
export class CustomerShares {
	/** Virtual time up to which each customer has been served in a rank. */
	readonly #customerTimes = new Map<string, number>();
	/** Virtual start of the work that was started last in a rank. */
	readonly #rankTimes = new Map<Rank, number>();

	/**
	 * Orders work of one rank by virtual start, so that each customer's part is proportional to its weight.
	 *
	 * @param works - Work of one rank; the work of one customer keeps its order.
	 */
	order(works: readonly ScheduledWork[]): ScheduledWork[] {
		const next = new Map<string, number>();
		const tagged: Array<{readonly work: ScheduledWork; readonly start: number}> = [];
		for (const work of works) {
			const start = next.get(work.customer) ?? this.#getStart(work);
			next.set(work.customer, start + (work.serviceMilliseconds / work.customerWeight));
			tagged.push({work, start});
		}

		if (next.size > 1) {
			tagged.sort((left, right) => left.start - right.start);
		}

		return tagged.map(({work}) => work);
	}

	/**
	 * Charges a customer for work that starts.
	 *
	 * @param work - Work that starts.
	 */
	onStarted(work: ScheduledWork): void {
		const start = this.#getStart(work);
		const key = getKey(work);
		this.#rankTimes.set(work.rank, Math.max(start, this.#rankTimes.get(work.rank) ?? 0));
		this.#customerTimes.delete(key);
		this.#customerTimes.set(key, start + (work.serviceMilliseconds / work.customerWeight));
		if (this.#customerTimes.size > maximumCustomers) {
			const [oldest] = this.#customerTimes.keys();
			this.#customerTimes.delete(oldest!);
		}
	}

	#getStart(work: ScheduledWork): number {
		return Math.max(this.#customerTimes.get(getKey(work)) ?? 0, this.#rankTimes.get(work.rank) ?? 0);
	}
}

function getKey(work: ScheduledWork): string {
	return `${work.rank}/${work.customer}`;
}
