import {type TimerService} from '@tarragonstack/core';

type Waiter = {
	readonly resolve: (isGranted: boolean) => void;
	readonly timeout: Disposable;
};

/** Counting permits, granted in the order of the requests. */
export class Semaphore {
	readonly #timerService: TimerService;
	readonly #waiters = new Set<Waiter>();
	#limit: number;
	#heldCount = 0;

	constructor(timerService: TimerService, limit: number) {
		this.#timerService = timerService;
		this.#limit = limit;
	}

	get heldCount(): number {
		return this.#heldCount;
	}

	/**
	 * Changes the number of permits.
	 *
	 * @param limit - New number; permits that are held already stay held.
	 */
	setLimit(limit: number): void {
		this.#limit = limit;
		this.#grant();
	}

	/**
	 * Takes a permit.
	 *
	 * @param timeoutMilliseconds - Greatest time to wait for it.
	 * @returns Whether the permit was granted.
	 */
	async acquire(timeoutMilliseconds: number): Promise<boolean> {
		if (this.#heldCount < this.#limit && this.#waiters.size === 0) {
			this.#heldCount++;
			return true;
		}

		return new Promise(resolve => {
			const waiter: Waiter = {
				resolve,
				timeout: this.#timerService.schedule(timeoutMilliseconds, () => {
					this.#waiters.delete(waiter);
					resolve(false);
				}),
			};
			this.#waiters.add(waiter);
		});
	}

	/** Gives a permit back. */
	release(): void {
		this.#heldCount--;
		this.#grant();
	}

	#grant(): void {
		for (const waiter of this.#waiters) {
			if (this.#heldCount >= this.#limit) {
				return;
			}

			this.#waiters.delete(waiter);
			this.#heldCount++;
			waiter.timeout[Symbol.dispose]();
			waiter.resolve(true);
		}
	}
}
