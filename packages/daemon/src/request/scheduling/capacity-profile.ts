/** First horizon, in milliseconds. Anything due earlier is due now. */
const firstHorizonMilliseconds = 2;

/** Ratio of neighbouring horizons. Due times are rounded down by at most this ratio. */
const horizonRatio = 1.06;

/** Number of horizons; the last one is about 15 s, and work due later counts there. */
const horizonCount = 160;

const horizons: readonly number[] = Array.from(
	{length: horizonCount},
	(_, index) => firstHorizonMilliseconds * (horizonRatio ** index),
);

const logarithmOfRatio = Math.log(horizonRatio);

/** Slot time that is left up to each of a series of horizons, after accepted work has taken its part. */
export class CapacityProfile {
	readonly #slack = new Float64Array(horizonCount);
	readonly #plannedSlots: number;

	/**
	 * Creates the profile of an instance without waiting work.
	 *
	 * @param plannedSlots - Statements that run at the same time, less a reserve for statements that take longer than expected.
	 * @param residualMilliseconds - Slot time that running work still needs.
	 */
	constructor(plannedSlots: number, residualMilliseconds: number) {
		this.#plannedSlots = plannedSlots;
		for (let index = 0; index < horizonCount; index++) {
			this.#slack[index] = this.#getCapacity(index) - residualMilliseconds;
		}
	}

	/**
	 * Takes slot time as early as it is left without making accepted work late.
	 *
	 * @param preferredMilliseconds - Time from which on it need not be earlier.
	 * @param dueMilliseconds - Time until the work must have ended, from the time of the plan.
	 * @param serviceMilliseconds - Slot time of the work.
	 * @returns The time up to which the slot time was taken, or `undefined` if too little is left.
	 */
	tryReserve(preferredMilliseconds: number, dueMilliseconds: number, serviceMilliseconds: number): number | undefined {
		const last = getHorizonIndex(dueMilliseconds);
		const preferred = Math.min(last, Math.max(0, getHorizonIndex(preferredMilliseconds)));
		let first = horizonCount;
		while (first > preferred && this.#slack[first - 1]! >= serviceMilliseconds) {
			first--;
		}

		if (last < 0 || first > last) {
			return undefined;
		}

		for (let index = first; index < horizonCount; index++) {
			this.#slack[index]! -= serviceMilliseconds;
		}

		return first === last ? dueMilliseconds : Math.max(preferredMilliseconds, horizons[first]!);
	}

	/**
	 * Returns whether slot time is left up to the due time and no accepted work becomes late by taking it.
	 *
	 * @param dueMilliseconds - Time until the work must have ended, from the time of the plan.
	 * @param serviceMilliseconds - Slot time of the work.
	 */
	fits(dueMilliseconds: number, serviceMilliseconds: number): boolean {
		const first = getHorizonIndex(dueMilliseconds);
		if (first < 0) {
			return false;
		}

		for (let index = first; index < horizonCount; index++) {
			// A horizon at which nothing is due yet cannot be exceeded by later work, but this work must fit before its own.
			if (this.#slack[index]! < serviceMilliseconds) {
				return false;
			}
		}

		return true;
	}

	/**
	 * Takes slot time without a check.
	 *
	 * @param dueMilliseconds - Time until the work must have ended, from the time of the plan.
	 * @param serviceMilliseconds - Slot time of the work.
	 */
	reserve(dueMilliseconds: number, serviceMilliseconds: number): void {
		for (let index = Math.max(0, getHorizonIndex(dueMilliseconds)); index < horizonCount; index++) {
			this.#slack[index]! -= serviceMilliseconds;
		}
	}

	/**
	 * Takes slot time up to the due time only, if it is left without making accepted work late.
	 *
	 * @param dueMilliseconds - Time until the work must have ended, from the time of the plan.
	 * @param serviceMilliseconds - Slot time of the work.
	 * @returns Whether the slot time was taken.
	 */
	tryReserveAtDueTime(dueMilliseconds: number, serviceMilliseconds: number): boolean {
		return this.tryReserve(dueMilliseconds, dueMilliseconds, serviceMilliseconds) !== undefined;
	}

	/**
	 * Gives reserved slot time back.
	 *
	 * @param dueMilliseconds - As it was given to `tryReserve`.
	 * @param serviceMilliseconds - As it was given to `tryReserve`.
	 */
	release(dueMilliseconds: number, serviceMilliseconds: number): void {
		this.reserve(dueMilliseconds, -serviceMilliseconds);
	}

	/**
	 * Takes slot time without a check, for many pieces of work at once.
	 *
	 * @param works - Due times and slot times.
	 */
	reserveAll(works: Iterable<{readonly dueMilliseconds: number; readonly serviceMilliseconds: number}>): void {
		const added = new Float64Array(horizonCount);
		for (const {dueMilliseconds, serviceMilliseconds} of works) {
			added[Math.max(0, getHorizonIndex(dueMilliseconds))]! += serviceMilliseconds;
		}

		let sum = 0;
		for (let index = 0; index < horizonCount; index++) {
			sum += added[index]!;
			this.#slack[index]! -= sum;
		}
	}

	/**
	 * Returns the slot time that running work needs and accepted work takes up to a time.
	 *
	 * @param dueMilliseconds - Time from the time of the plan.
	 */
	getReserved(dueMilliseconds: number): number {
		const index = Math.max(0, getHorizonIndex(dueMilliseconds));
		return this.#getCapacity(index) - this.#slack[index]!;
	}

	/**
	 * Returns the slot time that is left up to a time.
	 *
	 * @param dueMilliseconds - Time from the time of the plan.
	 */
	getAvailable(dueMilliseconds: number): number {
		return Math.max(0, this.#slack[Math.max(0, getHorizonIndex(dueMilliseconds))]!);
	}

	#getCapacity(index: number): number {
		return this.#plannedSlots * horizons[index]!;
	}
}

/** Returns the last horizon that is not after the due time, or -1. */
function getHorizonIndex(dueMilliseconds: number): number {
	if (dueMilliseconds < firstHorizonMilliseconds) {
		return -1;
	}

	const index = Math.floor(Math.log(dueMilliseconds / firstHorizonMilliseconds) / logarithmOfRatio);
	return Math.min(horizonCount - 1, index);
}
