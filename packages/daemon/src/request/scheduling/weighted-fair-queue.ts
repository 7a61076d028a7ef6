/** Queued work of one customer in a rank. */
type CustomerQueue<Item> = {
	/** Virtual start time of the customer's next work. */
	virtualStart: number;
	readonly items: Item[];
	nextIndex: number;
};

/** Properties of work that fair queueing depends on. */
export type WeightedWork = {
	readonly customer: string;
	readonly customerWeight: number;
	readonly serviceMilliseconds: number;
};

/** Iterates over the work of one rank so that each customer's share of the taken slot time is proportional to its weight. */
export class WeightedFairQueue<Item extends {readonly work: WeightedWork}> {
	readonly #queues = new Map<string, CustomerQueue<Item>>();
	#current: CustomerQueue<Item> | undefined;

	/**
	 * Creates a fair queue.
	 *
	 * @param items - Work of one rank in the order of arrival.
	 * @param getVirtualStart - Returns the virtual start time of a customer's first work.
	 */
	constructor(items: Iterable<Item>, getVirtualStart: (item: Item) => number) {
		for (const item of items) {
			const queue = this.#queues.get(item.work.customer);
			if (queue) {
				queue.items.push(item);
			} else {
				this.#queues.set(item.work.customer, {virtualStart: getVirtualStart(item), items: [item], nextIndex: 0});
			}
		}

		this.#select();
	}

	/** Next work, or `undefined` if none is left. */
	get head(): Item | undefined {
		return this.#current?.items[this.#current.nextIndex];
	}

	/**
	 * Advances to the next work.
	 *
	 * @param isTaken - Whether the head was taken. Only taken work is charged to its customer.
	 */
	advance(isTaken: boolean): void {
		const {head} = this;
		if (!this.#current || !head) {
			return;
		}

		this.#current.nextIndex++;
		if (isTaken) {
			this.#current.virtualStart += head.work.serviceMilliseconds / head.work.customerWeight;
		}

		this.#select();
	}

	#select(): void {
		if (this.#queues.size === 1 && this.#current) {
			return;
		}

		this.#current = undefined;
		for (const queue of this.#queues.values()) {
			if (queue.nextIndex < queue.items.length && (!this.#current || queue.virtualStart < this.#current.virtualStart)) {
				this.#current = queue;
			}
		}
	}
}
