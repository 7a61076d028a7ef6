import {unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator} from 'pure-rand';

/** Random number generator that is determined by its seed. */
export class SeededRandom {
	readonly #generator: RandomGenerator;

	/** @param seed - Seed. Programs print it, so that their runs can be reproduced. */
	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** Returns a uniformly distributed number greater than 0 and less than 1. */
	uniform(): number {
		return ((this.#generator.unsafeNext() >>> 0) + 1) / 0x1_00_00_00_01;
	}

	/**
	 * Returns a uniformly distributed integer from 0 to `count - 1`.
	 *
	 * @param count - Number of possible values.
	 */
	integer(count: number): number {
		return unsafeUniformIntDistribution(0, count - 1, this.#generator);
	}

	/**
	 * Returns an exponentially distributed number.
	 *
	 * @param mean - Mean of the distribution.
	 */
	exponential(mean: number): number {
		return -Math.log(this.uniform()) * mean;
	}
}
