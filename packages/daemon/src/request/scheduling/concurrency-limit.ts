/** Length of an observation, in milliseconds. Two observations fit into the second in which the limit must follow. */
const windowMilliseconds = 250;

/** Statements that an observation needs; fewer say too little about the mean. */
const minimumSamples = 8;

/** Ratio of measured to usual service time above which a lower limit is tried. */
const slowRatio = 1.5;

/** Ratio of measured to usual service time below which a higher limit is tried. */
const normalRatio = 1.2;

/** Part of the throughput that a lower limit must keep, or it is undone. */
const minimumThroughputRatio = 0.9;

/** Time after which a limit that was lowered is raised again for a trial, and a trial that failed is repeated. */
const retryMilliseconds = 5000;

/** Limit of the statements that run at the same time. It follows the slots, and the service times below them. */
export class ConcurrencyLimit {
	#slots: number;
	#limit: number;
	#windowStart: number;
	#sampleCount = 0;
	#measuredMilliseconds = 0;
	#baselineMilliseconds = 0;
	#isSaturated = false;
	/** Throughput before the limit was lowered by one for a trial. */
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
	 * Takes over the number of slots that the instance reports.
	 *
	 * @param slots - Statements that the instance runs at the same time.
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
	 * @param baselineMilliseconds - Long-term mean of such statements.
	 * @param isSaturated - Whether the limit was reached while the statement ran.
	 */
	addSample(measuredMilliseconds: number, baselineMilliseconds: number, isSaturated: boolean): void {
		this.#sampleCount++;
		this.#measuredMilliseconds += measuredMilliseconds;
		this.#baselineMilliseconds += baselineMilliseconds;
		this.#isSaturated ||= isSaturated;
	}

	/**
	 * Ends the observation when it is long enough, and adapts the limit.
	 *
	 * @param now - Present monotonic time, in milliseconds.
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
			// Fewer statements at a time help only if the instance was sharing a resource among them.
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
