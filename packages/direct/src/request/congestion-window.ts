/**
 * Service times averaged for one adjustment of the window. The work of a statement varies by a factor of ten, so the
 * mean of fewer samples is too noisy.
 */
const samplesPerAdjustment = 20;

/** Ratio of the mean service time to the uncongested one above which the window shrinks. */
const congestedRatio = 2.5;

/** Ratio of the mean service time to the uncongested one below which the window grows. */
const uncongestedRatio = 1.8;

/**
 * Weights of a new mean in the moving average of the uncongested service time, for a mean below and above it. The
 * average also rises, slowly, because an instance may become slower permanently.
 */
const baselineDecreaseWeight = 0.2;
const baselineIncreaseWeight = 0.03;

/**
 * Limits the number of statements that a host has in flight at an instance.
 *
 * An instance serves its queue in order of arrival, regardless of priority. If all hosts used all their connections,
 * urgent statements would wait behind others inside the instance. The window shrinks as service times rise, so that
 * requests wait on the hosts, which order them by priority.
 */
export class CongestionWindow {
	readonly #getMaximum: () => number;
	#size = Number.POSITIVE_INFINITY;
	#samples = 0;
	#totalMilliseconds = 0;
	#baseline: number | undefined;

	/**
	 * @param getMaximum - Returns the maximum size.
	 */
	constructor(getMaximum: () => number) {
		this.#getMaximum = getMaximum;
	}

	/** Maximum number of statements in flight. */
	get size(): number {
		return Math.min(this.#size, this.#getMaximum());
	}

	/**
	 * Adds a sample of the service time.
	 *
	 * @param milliseconds - Time from sending a statement to its response.
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
