/** Work of one customer in a rank. */
type CustomerLine<Item> = {
	/** Virtual start of the customer's next work. */
	start: number;
	readonly items: Item[];
	position: number;
};

/** What the rotation needs to know about a piece of work. */
export type RotatingWork = {
	readonly customer: string;
	readonly customerWeight: number;
	readonly serviceMilliseconds: number;
};

/** Visits the work of one rank so that each customer's part of the taken work is proportional to its weight. */
export class CustomerRotation<Item extends {readonly work: RotatingWork}> {
	readonly #lines = new Map<string, CustomerLine<Item>>();
	#current: CustomerLine<Item> | undefined;

	/**
	 * Creates a rotation.
	 *
	 * @param items - Work of one rank in the order of arrival.
	 * @param getStart - Returns the virtual start of a customer's first work.
	 */
	constructor(items: Iterable<Item>, getStart: (item: Item) => number) {
		for (const item of items) {
			const line = this.#lines.get(item.work.customer);
			if (line) {
				line.items.push(item);
			} else {
				this.#lines.set(item.work.customer, {start: getStart(item), items: [item], position: 0});
			}
		}

		this.#select();
	}

	/** Work of the customer that is next, or `undefined` after the last. */
	get head(): Item | undefined {
		return this.#current?.items[this.#current.position];
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

		this.#current.position++;
		if (isTaken) {
			this.#current.start += head.work.serviceMilliseconds / head.work.customerWeight;
		}

		this.#select();
	}

	#select(): void {
		if (this.#lines.size === 1 && this.#current) {
			return;
		}

		this.#current = undefined;
		for (const line of this.#lines.values()) {
			if (line.position < line.items.length && (!this.#current || line.start < this.#current.start)) {
				this.#current = line;
			}
		}
	}
}
