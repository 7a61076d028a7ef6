/** Limits the rate of calls. The burst size is the number of calls permitted in a fifth of a second, and at least 1. */
export class TokenBucket {
	#ratePerSecond: number;
	#tokens: number;
	#lastRefillTime: number;

	/**
	 * @param ratePerSecond - Permitted calls per second; `Infinity` disables the limit.
	 * @param now - Current time in milliseconds.
	 */
	constructor(ratePerSecond: number, now: number) {
		this.#ratePerSecond = ratePerSecond;
		this.#tokens = Math.max(1, ratePerSecond / 5);
		this.#lastRefillTime = now;
	}

	/**
	 * Changes the rate.
	 *
	 * @param value - Permitted calls per second.
	 */
	setRate(value: number): void {
		this.#ratePerSecond = value;
	}

	/**
	 * Consumes the token of one call if there is one.
	 *
	 * @param now - Current time in milliseconds.
	 * @returns Whether the call is within the rate.
	 */
	tryConsume(now: number): boolean {
		if (this.#ratePerSecond === Infinity) {
			return true;
		}

		const burst = Math.max(1, this.#ratePerSecond / 5);
		this.#tokens = Math.min(burst, this.#tokens + ((now - this.#lastRefillTime) * this.#ratePerSecond / 1000));
		this.#lastRefillTime = now;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}
}
