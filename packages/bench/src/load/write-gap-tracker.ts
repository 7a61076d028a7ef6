/** Measures, for each group, the longest time without an acknowledged write. */
export class WriteGapTracker {
	readonly #startTime: number;
	readonly #writeTimes = new Map<string, number[]>();

	/** @param startTime - Start of the observation, which begins the first gap. */
	constructor(startTime: number) {
		this.#startTime = startTime;
	}

	/**
	 * Records an acknowledged write. Writes of a group must be recorded in order of time.
	 *
	 * @param group - Name of the group.
	 * @param time - Time of the acknowledgement.
	 */
	recordWrite(group: string, time: number): void {
		const writeTimes = this.#writeTimes.get(group) ?? [this.#startTime];
		writeTimes.push(time);
		this.#writeTimes.set(group, writeTimes);
	}

	/**
	 * Returns the longest gap between writes of a group, in milliseconds.
	 *
	 * @param group - Name of the group.
	 * @param endTime - End of the observation, which ends the last gap.
	 * @param afterTime - Gaps that end at or before this time are ignored.
	 */
	getLongestGap(group: string, endTime: number, afterTime = this.#startTime): number {
		const boundaries = [...this.#writeTimes.get(group) ?? [this.#startTime], endTime];
		let longest = 0;
		for (let index = 1; index < boundaries.length; index++) {
			if (boundaries[index]! > afterTime) {
				longest = Math.max(longest, boundaries[index]! - boundaries[index - 1]!);
			}
		}

		return longest;
	}
}
