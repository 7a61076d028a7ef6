import {type TimerService} from '@tarragonstack/core';

/** Tokens that accumulate at a fixed rate up to a maximum. */
export class TokenBucket {
	#tokens: number;
	#updatedAt: number;

	/**
	 * @param timerService - Source of time.
	 * @param capacity - Greatest number of tokens; the budget starts with it.
	 * @param millisecondsPerToken - Time in which one token accumulates.
	 */
	constructor(private readonly timerService: TimerService, private readonly capacity: number, private readonly millisecondsPerToken: number) {
		this.#tokens = capacity;
		this.#updatedAt = timerService.now();
	}

	/**
	 * Takes a token if there is one.
	 *
	 * @returns 0 if a token was taken, else the time until there is one, in milliseconds.
	 */
	take(): number {
		this.#refill();
		if (this.#tokens >= 1) {
			this.#tokens--;
			return 0;
		}

		return Math.ceil((1 - this.#tokens) * this.millisecondsPerToken);
	}

	/** Takes a token if there is one, for a call that is made in any case. */
	takeIfAvailable(): void {
		this.#refill();
		this.#tokens = Math.max(0, this.#tokens - 1);
	}

	#refill(): void {
		const now = this.timerService.now();
		this.#tokens = Math.min(this.capacity, this.#tokens + ((now - this.#updatedAt) / this.millisecondsPerToken));
		this.#updatedAt = now;
	}
}
