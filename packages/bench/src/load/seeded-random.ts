import {unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator} from 'pure-rand';

/** Random numbers that depend on a seed only. */
export class SeededRandom {
	readonly #generator: RandomGenerator;

	/** @param seed - Seed, printed by the programs that use it. */
	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** Returns a number greater than 0 and less than 1. */
	uniform(): number {
		return ((this.#generator.unsafeNext() >>> 0) + 1) / 0x1_00_00_00_01;
	}

	/**
	 * Returns an integer from 0 to `count - 1`.
	 *
	 * @param count - Number of values.
	 */
	integer(count: number): number {
		return unsafeUniformIntDistribution(0, count - 1, this.#generator);
	}

	/**
	 * Returns a value of the exponential distribution.
	 *
	 * @param mean - Mean of the distribution.
	 */
	exponential(mean: number): number {
		return -Math.log(this.uniform()) * mean;
	}
}
