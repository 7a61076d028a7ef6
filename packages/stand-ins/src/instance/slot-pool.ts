import {SqlError} from './sql-error.js';

type Waiter = {
	readonly grant: () => void;
};

/** Limits the number of statements that execute concurrently. Further ones wait in first-in-first-out order. */
export class SlotPool {
	#limit: number;
	#used = 0;
	#isStalled = false;
	readonly #waiters: Waiter[] = [];

	/** @param limit - Maximum number of statements that execute concurrently. */
	constructor(limit: number) {
		this.#limit = limit;
	}

	/** Maximum number of statements that execute concurrently. */
	get limit(): number {
		return this.#limit;
	}

	set limit(value: number) {
		this.#limit = value;
		this.#grantSlots();
	}

	/** Whether no further slots are granted. */
	get isStalled(): boolean {
		return this.#isStalled;
	}

	set isStalled(value: boolean) {
		this.#isStalled = value;
		this.#grantSlots();
	}

	/** Number of slots in use. */
	get used(): number {
		return this.#used;
	}

	/** Number of statements that wait for a slot. */
	get waiting(): number {
		return this.#waiters.length;
	}

	/**
	 * Waits for a slot.
	 *
	 * @param signal - Cancels the wait, which then fails with SQLSTATE 57014.
	 * @returns Handle that releases the slot when disposed of.
	 */
	async acquire(signal: AbortSignal): Promise<Disposable> {
		await new Promise<void>((resolve, reject) => {
			const waiter: Waiter = {
				grant: () => {
					signal.removeEventListener('abort', abort);
					this.#used++;
					resolve();
				},
			};
			const abort = () => {
				const index = this.#waiters.indexOf(waiter);
				if (index !== -1) {
					this.#waiters.splice(index, 1);
				}

				reject(new SqlError('57014', 'canceling statement due to user request'));
			};

			if (signal.aborted) {
				abort();
				return;
			}

			signal.addEventListener('abort', abort, {once: true});
			this.#waiters.push(waiter);
			this.#grantSlots();
		});
		return {
			[Symbol.dispose]: () => {
				this.#used--;
				this.#grantSlots();
			},
		};
	}

	#grantSlots(): void {
		while (!this.#isStalled && this.#used < this.#limit && this.#waiters.length > 0) {
			this.#waiters.shift()!.grant();
		}
	}
}
