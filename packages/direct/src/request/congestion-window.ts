/** Statements between two decisions. Fewer say too little, because the work of a statement varies by a factor of ten. */
const samplesPerAdjustment = 20;

/** Ratio of the present to the uncongested service time above which fewer statements are sent at the same time. */
const congestedRatio = 2.5;

/** Ratio below which more statements are sent at the same time. */
const uncongestedRatio = 1.8;

/** Shares by which the uncongested service time follows a faster and a slower mean. An instance may turn slow for good. */
const baselineDecreaseWeight = 0.2;
const baselineIncreaseWeight = 0.03;

/**
 * Number of statements that a host sends to an instance at the same time.
 *
 * An instance serves its queue in the order of arrival, whatever the statements are worth. When all hosts send as many as
 * they have connections, urgent ones wait behind the rest inside the instance. The window shrinks as service times
 * rise, so that requests wait on the hosts, where they are ordered.
 */
export class CongestionWindow {
	readonly #getMaximum: () => number;
	#size = Number.POSITIVE_INFINITY;
	#samples = 0;
	#totalMilliseconds = 0;
	#baseline: number | undefined;

	/**
	 * @param getMaximum - Returns the greatest size.
	 */
	constructor(getMaximum: () => number) {
		this.#getMaximum = getMaximum;
	}

	/** Statements that may be under way. */
	get size(): number {
		return Math.min(this.#size, this.#getMaximum());
	}

	/**
	 * Adds a measured time from sending a statement to its response.
	 *
	 * @param milliseconds - Measured time.
	 */
	add(milliseconds: number): void {
		this.#samples++;
		this.#totalMilliseconds += milliseconds;
		if (this.#samples >= samplesPerAdjustment) {
			this.#adjustSize(this.#totalMilliseconds / this.#samples);
			this.#samples = 0;
			this.#totalMilliseconds = 0;
		}
	}

	#adjustSize(mean: number): void {
		const baseline = this.#baseline ?? mean;
		const ratio = mean / baseline;
		this.#baseline = baseline + ((ratio < 1 ? baselineDecreaseWeight : baselineIncreaseWeight) * (mean - baseline));
		if (ratio > congestedRatio) {
			this.#size = Math.max(1, this.size - 1);
		} else if (ratio < uncongestedRatio) {
			this.#size = Math.min(this.#getMaximum(), this.size + 1);
		}
	}
}
