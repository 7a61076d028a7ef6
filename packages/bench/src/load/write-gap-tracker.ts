/** Measures, for each group, the longest time without an acknowledged write. */
export class WriteGapTracker {
	readonly #startTime: number;
	readonly #times = new Map<string, number[]>();

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
	note(group: string, time: number): void {
		const times = this.#times.get(group) ?? [this.#startTime];
		times.push(time);
		this.#times.set(group, times);
	}

	/**
	 * Returns the longest gap of a group, in milliseconds.
	 *
	 * @param group - Name of the group.
	 * @param endTime - Time at which the observation ends.
	 * @param afterTime - Only gaps that end after this time count.
	 */
	getLongestGap(group: string, endTime: number, afterTime = this.#startTime): number {
		const times = [...this.#times.get(group) ?? [this.#startTime], endTime];
		let longest = 0;
		for (let index = 1; index < times.length; index++) {
			if (times[index]! > afterTime) {
				longest = Math.max(longest, times[index]! - times[index - 1]!);
			}
		}

		return longest;
	}
}
