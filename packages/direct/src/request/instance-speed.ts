/**
 * Weights of a new ratio in the moving average of the slowness, for a ratio below and above it. A recovery is learned in
 * about ten samples, because a slow instance receives few.
 */
const decreaseWeight = 0.15;
const increaseWeight = 0.1;

/** Weight of the slowness that a gateway reports. It is high, because a host sends few statements through each gateway. */
const reportWeight = 0.5;

/** Weight of a new sample in the moving average of the queueing time. */
const queueingWeight = 0.1;

/** Half-life of the queueing time without samples, in milliseconds. A queue of a few statements is served in that time. */
const queueingHalfLifeMilliseconds = 500;

/** Bounds of the slowness. With the upper one, an instance still receives enough reads to notice its recovery within 3 s. */
const minimumSlowness = 0.2;
const maximumSlowness = 6;

/** Increase of the weight per second. A recovered instance reaches its share in 2 s, and its queue does not fill at once. */
const weightPerSecond = 0.5;

/** Weight after a period in which the instance received no reads. */
const initialWeight = 0.2;

/**
 * Measures how slow an instance is compared with the others of its group, and how long statements queue there, for a load in
 * which one instance becomes slower or is busy with the statements of other hosts.
 */
export class InstanceSpeed {
	#slowness = 1;
	#queueing = 0;
	#queueingAt = 0;
	#weight = 1;
	#weightAt = 0;

	/** Service time divided by the usual one of the group for the same class of statements. */
	get slowness(): number {
		return this.#slowness;
	}

	/**
	 * Adds the ratio of a service time to the usual one of the group.
	 *
	 * @param ratio - Ratio of a statement that did not queue.
	 */
	addRatio(ratio: number): void {
		this.#setSlowness(this.#slowness + ((ratio < this.#slowness ? decreaseWeight : increaseWeight) * (ratio - this.#slowness)));
	}

	/** Adopts the slowness that a gateway reports, which is an average over the statements of many hosts. */
	adopt(slowness: number): void {
		this.#setSlowness(this.#slowness + (reportWeight * (slowness - this.#slowness)));
	}

	/**
	 * Adds the queueing time of a statement.
	 *
	 * @param ratio - Queueing time divided by the usual service time; negative if the statement was faster than usual.
	 * @param now - Current monotonic time, in milliseconds.
	 */
	addQueueing(ratio: number, now: number): void {
		const queueing = this.#getQueueing(now);
		this.#queueing = queueing + (queueingWeight * (ratio - queueing));
		this.#queueingAt = now;
	}

	/** Returns the queueing time divided by the usual service time. */
	getQueueing(now: number): number {
		return Math.max(0, this.#getQueueing(now));
	}

	/**
	 * Returns the weight of the instance among those that may serve a read. It falls at once and rises slowly (slow start).
	 *
	 * @param now - Current monotonic time, in milliseconds.
	 */
	getWeight(now: number): number {
		const target = 1 / (this.#slowness + this.getQueueing(now));
		this.#weight = Math.min(target, this.#weight + ((now - this.#weightAt) * weightPerSecond / 1000));
		this.#weightAt = now;
		return this.#weight;
	}

	/** Starts with a small weight again, after the instance did not respond. */
	restart(now: number): void {
		this.#weight = initialWeight;
		this.#weightAt = now;
	}

	#setSlowness(slowness: number): void {
		this.#slowness = Math.max(minimumSlowness, Math.min(maximumSlowness, slowness));
	}

	#getQueueing(now: number): number {
		return this.#queueing * (0.5 ** ((now - this.#queueingAt) / queueingHalfLifeMilliseconds));
	}
}
