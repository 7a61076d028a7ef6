/** Length of a measurement window, in milliseconds. Two windows fit into the second within which the limit must adapt. */
const windowMilliseconds = 250;

/** Minimum number of samples in a window. With fewer, the mean is not reliable. */
const minimumSamples = 8;

/** Ratio of measured to baseline service time above which a lower limit is tried. */
const slowRatio = 1.5;

/** Ratio of measured to baseline service time below which the limit is raised. */
const normalRatio = 1.2;

/** Share of the previous throughput that a lower limit must retain; otherwise the limit is restored. */
const minimumThroughputRatio = 0.9;

/** Time after which a lowered limit is raised on trial, and a failed attempt to lower it is repeated, in milliseconds. */
const retryMilliseconds = 5000;

/** Adaptive limit on concurrent statements. It is at most the number of slots, and is lowered when service times rise. */
export class ConcurrencyLimit {
	#slots: number;
	#limit: number;
	#windowStart: number;
	#sampleCount = 0;
	#measuredMilliseconds = 0;
	#baselineMilliseconds = 0;
	#isSaturated = false;
	/** Throughput before the limit was lowered on trial; set only during the trial. */
	#throughputBeforeTrial: number | undefined;
	#changedAt = -Infinity;

	constructor(slots: number, now: number) {
		this.#slots = slots;
		this.#limit = slots;
		this.#windowStart = now;
	}

	get limit(): number {
		return this.#limit;
	}

	/**
	 * Sets the number of slots that the instance reports.
	 *
	 * @param slots - Maximum number of statements that the instance runs concurrently.
	 */
	setSlots(slots: number): void {
		if (slots !== this.#slots) {
			this.#slots = slots;
			this.#limit = slots;
			this.#throughputBeforeTrial = undefined;
		}
	}

	/**
	 * Adds a measured service time.
	 *
	 * @param measuredMilliseconds - Measured service time.
	 * @param baselineMilliseconds - Long-term mean service time of such statements.
	 * @param isSaturated - Whether the limit was reached while the statement ran.
	 */
	addSample(measuredMilliseconds: number, baselineMilliseconds: number, isSaturated: boolean): void {
		this.#sampleCount++;
		this.#measuredMilliseconds += measuredMilliseconds;
		this.#baselineMilliseconds += baselineMilliseconds;
		this.#isSaturated ||= isSaturated;
	}

	/**
	 * Adapts the limit and starts a new window if the current window has enough time and samples.
	 *
	 * @param now - Current monotonic time, in milliseconds.
	 */
	update(now: number): void {
		if (now - this.#windowStart < windowMilliseconds || this.#sampleCount < minimumSamples) {
			return;
		}

		this.#adapt(now, this.#measuredMilliseconds / Math.max(0.001, this.#baselineMilliseconds));
		this.#windowStart = now;
		this.#sampleCount = 0;
		this.#measuredMilliseconds = 0;
		this.#baselineMilliseconds = 0;
		this.#isSaturated = false;
	}

	#adapt(now: number, ratio: number): void {
		const throughput = this.#limit / ratio;
		if (this.#throughputBeforeTrial !== undefined) {
			// A lower limit keeps the throughput only if the concurrent statements were competing for a shared resource.
			const isThroughputKept = throughput >= minimumThroughputRatio * this.#throughputBeforeTrial;
			this.#throughputBeforeTrial = undefined;
			this.#changedAt = now;
			this.#limit += isThroughputKept ? 0 : 1;
			return;
		}

		const mayRetry = now - this.#changedAt >= retryMilliseconds;
		if (ratio > slowRatio && this.#isSaturated && this.#limit > 1 && mayRetry) {
			this.#throughputBeforeTrial = throughput;
			this.#limit--;
		} else if (this.#limit < this.#slots && (ratio < normalRatio || mayRetry)) {
			this.#limit++;
			this.#changedAt = now;
		}
	}
}
