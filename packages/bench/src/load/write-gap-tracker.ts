/** Measures, for each group, the longest time without an acknowledged write. */
export class WriteGapTracker {
	readonly #startTime: number;
	readonly #writeTimes = new Map<string, number[]>();

	/** @param startTime - Time at which the observation begins. */
	constructor(startTime: number) {
		this.#startTime = startTime;
	}

	/**
	 * Notes an acknowledged write.
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
	 * Returns the longest gap of a group, in milliseconds.
	 *
	 * @param group - Name of the group.
	 * @param endTime - Time at which the observation ends.
	 * @param afterTime - Only gaps that end after this time count.
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
