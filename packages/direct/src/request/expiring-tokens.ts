/** Tokens that expire at different times. */
export class ExpiringTokens {
	#lots: Array<{count: number; readonly until: number}> = [];

	/** Number of tokens, including those that have expired since the last call of `expire`. */
	get count(): number {
		let sum = 0;
		for (const lot of this.#lots) {
			sum += lot.count;
		}

		return sum;
	}

	/** Adds tokens that expire at a monotonic time. */
	add(count: number, until: number): void {
		if (count > 0) {
			this.#lots.push({count, until});
			this.#lots.sort((left, right) => left.until - right.until);
		}
	}

	/** Takes up to a number of tokens, those that expire first before the others, and returns how many were taken. */
	take(count: number): number {
		let missing = count;
		for (const lot of this.#lots) {
			const taken = Math.min(missing, lot.count);
			lot.count -= taken;
			missing -= taken;
		}

		this.#lots = this.#lots.filter(lot => lot.count > 0);
		return count - missing;
	}

	/** Removes expired tokens and returns how many there were. */
	expire(now: number): number {
		if (this.#lots.length === 0 || this.#lots[0]!.until > now) {
			return 0;
		}

		const before = this.count;
		this.#lots = this.#lots.filter(lot => lot.until > now);
		return before - this.count;
	}
}
