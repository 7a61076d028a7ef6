/** Time constant of the moving average, in milliseconds. */
const timeConstantMilliseconds = 1000;

/** Moving average of the rate of operations. Answers loads that change within seconds. */
export class DemandEstimate {
	#rate = 0;
	#updatedAt = 0;

	/** Adds operations that arrived at a time. */
	add(count: number, now: number): void {
		this.#rate = this.get(now) + (count / timeConstantMilliseconds);
		this.#updatedAt = now;
	}

	/** Returns the operations per millisecond. */
	get(now: number): number {
		return this.#rate * Math.exp(-Math.max(0, now - this.#updatedAt) / timeConstantMilliseconds);
	}
}
