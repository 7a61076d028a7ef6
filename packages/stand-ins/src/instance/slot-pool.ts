import {SqlError} from './sql-error.js';

type Waiter = {
	readonly grant: () => void;
};

/** Limits the statements that execute at the same time; the rest wait first-in-first-out. */
export class SlotPool {
	#limit: number;
	#used = 0;
	#isStalled = false;
	readonly #waiters: Waiter[] = [];

	/** @param limit - Statements that execute at the same time. */
	constructor(limit: number) {
		this.#limit = limit;
	}

	/** Statements that execute at the same time. */
	get limit(): number {
		return this.#limit;
	}

	set limit(value: number) {
		this.#limit = value;
		this.#grantSlots();
	}

	/** While true, no statement starts. */
	get isStalled(): boolean {
		return this.#isStalled;
	}

	set isStalled(value: boolean) {
		this.#isStalled = value;
		this.#grantSlots();
	}

	/** Slots in use. */
	get used(): number {
		return this.#used;
	}

	/** Statements that wait. */
	get waiting(): number {
		return this.#waiters.length;
	}

	/**
	 * Waits for a slot.
	 *
	 * @param signal - Ends the wait with an error.
	 * @returns Releases the slot.
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
