/** Work of one customer in a rank. */
type CustomerQueue<Item> = {
	/** Virtual start of the customer's next work. */
	virtualStart: number;
	readonly items: Item[];
	nextIndex: number;
};

/** What the rotation needs to know about a piece of work. */
export type WeightedWork = {
	readonly customer: string;
	readonly customerWeight: number;
	readonly serviceMilliseconds: number;
};

/** Visits the work of one rank so that each customer's part of the taken work is proportional to its weight. */
export class WeightedFairQueue<Item extends {readonly work: WeightedWork}> {
	readonly #queues = new Map<string, CustomerQueue<Item>>();
	#current: CustomerQueue<Item> | undefined;

	/**
	 * Creates a rotation.
	 *
	 * @param items - Work of one rank in the order of arrival.
	 * @param getVirtualStart - Returns the virtual start of a customer's first work.
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

	/** Work of the customer that is next, or `undefined` after the last. */
	get head(): Item | undefined {
		return this.#current?.items[this.#current.nextIndex];
	}

	/**
	 * Goes on to the next work.
	 *
	 * @param isTaken - Whether the head was taken. Work that was not taken does not count for its customer.
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
