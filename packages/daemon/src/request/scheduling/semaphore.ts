import {type TimerService} from '@tarragonstack/core';

type Waiter = {
	readonly resolve: (isGranted: boolean) => void;
	readonly timeout: Disposable;
};

/** Counting semaphore that grants permits in the order of the requests. */
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
	 * @param limit - New number. Permits that are already held are not revoked.
	 */
	setLimit(limit: number): void {
		this.#limit = limit;
		this.#grant();
	}

	/**
	 * Acquires a permit.
	 *
	 * @param timeoutMilliseconds - Maximum time to wait for a permit.
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

	/** Releases a permit. */
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
