/** Weight of a new outcome in the moving average. About ten outcomes reveal an instance that fails some of its requests. */
const outcomeWeight = 0.15;

/** Half-life of the rate without new outcomes, in milliseconds. The decay lets an avoided instance be tried again. */
const halfLifeMilliseconds = 2000;

/**
 * Moving average of the share of statements that an instance failed, as observed by this host. An instance may report
 * good health while it fails statements, so only their outcomes are counted.
 */
export class FailureRate {
	#rate = 0;
	#updatedAt = 0;

	/**
	 * Adds the outcome of a statement.
	 *
	 * @param failed - Whether the statement failed or got no response because of the instance.
	 * @param now - Current monotonic time.
	 */
	add(failed: boolean, now: number): void {
		const rate = this.get(now);
		this.#rate = rate + (outcomeWeight * (Number(failed) - rate));
		this.#updatedAt = now;
	}

	/**
	 * Returns the failure rate, from 0 to 1.
	 *
	 * @param now - Current monotonic time.
	 */
	get(now: number): number {
		return this.#rate === 0 ? 0 : this.#rate * (0.5 ** ((now - this.#updatedAt) / halfLifeMilliseconds));
	}
}
