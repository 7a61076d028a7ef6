/** First horizon, in milliseconds. Anything due earlier is due now. */
const firstHorizonMilliseconds = 2;

/** Ratio of neighbouring horizons. Due times are rounded down by at most this ratio. */
const horizonRatio = 1.12;

/** Number of horizons; the last one is about 95 s. */
const horizonCount = 96;

/**
 * Share of the slot time up to a horizon that a plan fills. The rest absorbs statements that take longer than expected;
 * with a full plan, the last accepted work would be due exactly when it ends and half of it would be late.
 */
const plannedShare = 0.85;

const horizons: readonly number[] = Array.from(
	{length: horizonCount},
	(_, index) => firstHorizonMilliseconds * (horizonRatio ** index),
);

const logarithmOfRatio = Math.log(horizonRatio);

/** Slot time that is left up to each of a series of horizons, after accepted work has taken its part. */
export class CapacityProfile {
	readonly #slack = new Float64Array(horizonCount);
	readonly #taken = new Float64Array(horizonCount);

	/**
	 * Creates the profile of an instance without waiting work.
	 *
	 * @param slots - Statements that run at the same time.
	 * @param residualMilliseconds - Slot time that running work still needs.
	 */
	constructor(slots: number, residualMilliseconds: number) {
		for (const [index, horizon] of horizons.entries()) {
			this.#slack[index] = (plannedShare * slots * horizon) - residualMilliseconds;
		}
	}

	/**
	 * Takes slot time if it is left up to the due time and if no accepted work becomes late by it.
	 *
	 * @param dueMilliseconds - Time until the work must have ended, from the time of the plan.
	 * @param serviceMilliseconds - Slot time of the work.
	 * @returns Whether the slot time was taken.
	 */
	tryTake(dueMilliseconds: number, serviceMilliseconds: number): boolean {
		if (!this.fits(dueMilliseconds, serviceMilliseconds)) {
			return false;
		}

		this.take(dueMilliseconds, serviceMilliseconds);
		return true;
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
	take(dueMilliseconds: number, serviceMilliseconds: number): void {
		for (let index = Math.max(0, getHorizonIndex(dueMilliseconds)); index < horizonCount; index++) {
			this.#slack[index]! -= serviceMilliseconds;
			this.#taken[index]! += serviceMilliseconds;
		}
	}

	/**
	 * Returns the slot time of accepted work that is due up to a time.
	 *
	 * @param dueMilliseconds - Time from the time of the plan.
	 */
	getTaken(dueMilliseconds: number): number {
		return this.#taken[Math.max(0, getHorizonIndex(dueMilliseconds))]!;
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
