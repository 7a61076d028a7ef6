/** First horizon, in milliseconds. Work that is due earlier counts as already due. */
const firstHorizonMilliseconds = 2;

/** Ratio of successive horizons. Due times are rounded down to a horizon, that is by at most this ratio. */
const horizonRatio = 1.06;

/** Number of horizons. The last one is about 15 s; work that is due later is counted there. */
const horizonCount = 160;

const horizons: readonly number[] = Array.from(
	{length: horizonCount},
	(_, index) => firstHorizonMilliseconds * (horizonRatio ** index),
);

const logarithmOfRatio = Math.log(horizonRatio);

/** Slot time that remains available up to each of a series of horizons, after reservations for accepted work. */
export class CapacityProfile {
	readonly #slack = new Float64Array(horizonCount);
	readonly #plannedSlots: number;

	/**
	 * Creates the profile of an instance without waiting work.
	 *
	 * @param plannedSlots - Number of slots, reduced by a margin for statements that take longer than expected.
	 * @param residualMilliseconds - Expected remaining slot time of the running work.
	 */
	constructor(plannedSlots: number, residualMilliseconds: number) {
		this.#plannedSlots = plannedSlots;
		for (let index = 0; index < horizonCount; index++) {
			this.#slack[index] = this.#getCapacity(index) - residualMilliseconds;
		}
	}

	/**
	 * Reserves slot time as close to the preferred due time as possible without making accepted work late.
	 *
	 * @param preferredMilliseconds - Preferred due time. The reservation is never earlier.
	 * @param dueMilliseconds - Latest due time, relative to the time of the plan.
	 * @param serviceMilliseconds - Slot time of the work.
	 * @returns The due time of the reservation, or `undefined` if too little slot time is available.
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
	 * Returns whether slot time is available up to the due time without making accepted work late.
	 *
	 * @param dueMilliseconds - Due time, relative to the time of the plan.
	 * @param serviceMilliseconds - Slot time of the work.
	 */
	fits(dueMilliseconds: number, serviceMilliseconds: number): boolean {
		const first = getHorizonIndex(dueMilliseconds);
		if (first < 0) {
			return false;
		}

		for (let index = first; index < horizonCount; index++) {
			// Every horizon from the due time on must have room: at its own for this work, and at later ones for accepted work.
			if (this.#slack[index]! < serviceMilliseconds) {
				return false;
			}
		}

		return true;
	}

	/**
	 * Reserves slot time without checking whether it is available.
	 *
	 * @param dueMilliseconds - Due time, relative to the time of the plan.
	 * @param serviceMilliseconds - Slot time of the work.
	 */
	reserve(dueMilliseconds: number, serviceMilliseconds: number): void {
		for (let index = Math.max(0, getHorizonIndex(dueMilliseconds)); index < horizonCount; index++) {
			this.#slack[index]! -= serviceMilliseconds;
		}
	}

	/**
	 * Reserves slot time at the due time if this makes no accepted work late.
	 *
	 * @param dueMilliseconds - Due time, relative to the time of the plan.
	 * @param serviceMilliseconds - Slot time of the work.
	 * @returns Whether the slot time was reserved.
	 */
	tryReserveAtDueTime(dueMilliseconds: number, serviceMilliseconds: number): boolean {
		return this.tryReserve(dueMilliseconds, dueMilliseconds, serviceMilliseconds) !== undefined;
	}

	/**
	 * Releases reserved slot time.
	 *
	 * @param dueMilliseconds - Due time as passed to `tryReserveAtDueTime`.
	 * @param serviceMilliseconds - Slot time as passed to `tryReserveAtDueTime`.
	 */
	release(dueMilliseconds: number, serviceMilliseconds: number): void {
		this.reserve(dueMilliseconds, -serviceMilliseconds);
	}

	/**
	 * Reserves slot time for several pieces of work without checking whether it is available.
	 *
	 * @param reservations - Due times and slot times of the work.
	 */
	reserveAll(reservations: Iterable<{readonly dueMilliseconds: number; readonly serviceMilliseconds: number}>): void {
		const added = new Float64Array(horizonCount);
		for (const {dueMilliseconds, serviceMilliseconds} of reservations) {
			added[Math.max(0, getHorizonIndex(dueMilliseconds))]! += serviceMilliseconds;
		}

		let sum = 0;
		for (let index = 0; index < horizonCount; index++) {
			sum += added[index]!;
			this.#slack[index]! -= sum;
		}
	}

	/**
	 * Returns the slot time that is used by running work and reserved for accepted work up to a time.
	 *
	 * @param dueMilliseconds - Time from the time of the plan.
	 */
	getReserved(dueMilliseconds: number): number {
		const index = Math.max(0, getHorizonIndex(dueMilliseconds));
		return this.#getCapacity(index) - this.#slack[index]!;
	}

	/**
	 * Returns the slot time that is available up to a time.
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

/** Returns the index of the last horizon that is not after the due time, or -1 if there is none. */
function getHorizonIndex(dueMilliseconds: number): number {
	if (dueMilliseconds < firstHorizonMilliseconds) {
		return -1;
	}

	const index = Math.floor(Math.log(dueMilliseconds / firstHorizonMilliseconds) / logarithmOfRatio);
	return Math.min(horizonCount - 1, index);
}
