/** Least time between two lines about what went as usual, in milliseconds; they show placements without their cost. */
const sampleIntervalMilliseconds = 1000;

/** Chooses a few of the statements that were served in time, so that the log shows how they are placed. */
export class SuccessLogSampler {
	#nextAt = 0;
	#skipped = 0;

	/**
	 * Decides whether a statement is logged.
	 *
	 * @param now - Present monotonic time.
	 * @returns How many were left out since the last one that was logged, or `undefined` if this one is left out, too.
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
