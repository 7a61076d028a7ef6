/** Weight of a new outcome in the share. About ten outcomes tell an instance that fails some of its requests. */
const outcomeWeight = 0.15;

/** Time in which a share without new outcomes halves, in milliseconds, so that an avoided instance is tried again. */
const halfLifeMilliseconds = 2000;

/**
 * Share of the statements that an instance failed lately, as this host saw it. An instance may report good health and
 * fail, so only the statements tell.
 */
export class FailureRate {
	#rate = 0;
	#updatedAt = 0;

	/**
	 * Notes the outcome of a statement.
	 *
	 * @param failed - Whether the statement failed or got no answer for a reason that lies with the instance.
	 * @param now - Present monotonic time.
	 */
	add(failed: boolean, now: number): void {
		const rate = this.get(now);
		this.#rate = rate + (outcomeWeight * (Number(failed) - rate));
		this.#updatedAt = now;
	}

	/**
	 * Returns the share, from 0 to 1.
	 *
	 * @param now - Present monotonic time.
	 */
	get(now: number): number {
		return this.#rate === 0 ? 0 : this.#rate * (0.5 ** ((now - this.#updatedAt) / halfLifeMilliseconds));
	}
}
