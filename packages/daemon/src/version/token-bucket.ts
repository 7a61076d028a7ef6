import {type TimerService} from '@tarragonstack/core';

/** Token bucket for rate limiting. Tokens accumulate at a fixed rate up to the capacity. */
export class TokenBucket {
	#tokens: number;
	#updatedAt: number;

	/**
	 * @param timerService - Source of time.
	 * @param capacity - Maximum and initial number of tokens.
	 * @param millisecondsPerToken - Time in which one token accumulates.
	 */
	constructor(private readonly timerService: TimerService, private readonly capacity: number, private readonly millisecondsPerToken: number) {
		this.#tokens = capacity;
		this.#updatedAt = timerService.now();
	}

	/**
	 * Takes a token if one is available.
	 *
	 * @returns 0 if a token was taken, otherwise the time until one is available, in milliseconds.
	 */
	take(): number {
		this.#refill();
		if (this.#tokens >= 1) {
			this.#tokens--;
			return 0;
		}

		return Math.ceil((1 - this.#tokens) * this.millisecondsPerToken);
	}

	/** Takes a token if one is available, for a call that is made regardless of the limit. */
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
