/** Changes of a learned limit that are logged. */
export enum LimitChange {
	Reduced = 'instance-limit-reduced',
	Recovered = 'instance-limit-recovered',
}

/** Shares of the maximum at which a limit counts as reduced, and as recovered. */
const reducedShare = 0.5;
const recoveredShare = 0.9;

/** Detects when a learned limit has fallen by half and when it has recovered, once for each period of congestion. */
export class LimitChangeDetector {
	#isReduced = false;

	/**
	 * Returns the change since the previous call, if any.
	 *
	 * @param limit - Present limit.
	 * @param maximum - Its maximum.
	 */
	update(limit: number, maximum: number): LimitChange | undefined {
		if (!this.#isReduced && limit <= maximum * reducedShare) {
			this.#isReduced = true;
			return LimitChange.Reduced;
		}

		if (this.#isReduced && limit >= maximum * recoveredShare) {
			this.#isReduced = false;
			return LimitChange.Recovered;
		}

		return undefined;
	}
}
