/** Minimum interval between log lines about successful statements, in milliseconds. It bounds the cost of logging them. */
const sampleIntervalMilliseconds = 1000;

/** Samples statements that were served in time, so that the log shows on which instances they run. */
export class SuccessLogSampler {
	#nextAt = 0;
	#skipped = 0;

	/**
	 * Decides whether a statement is logged.
	 *
	 * @param now - Current monotonic time.
	 * @returns Number of statements skipped since the last logged one, or `undefined` if this one is skipped as well.
	 */
	sample(now: number): number | undefined {
		if (now < this.#nextAt) {
			this.#skipped++;
			return undefined;
		}

		const skipped = this.#skipped;
		this.#nextAt = now + sampleIntervalMilliseconds;
		this.#skipped = 0;
		return skipped;
	}
}
