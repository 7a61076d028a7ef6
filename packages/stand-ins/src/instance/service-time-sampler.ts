import {xoroshiro128plus, type RandomGenerator} from 'pure-rand';

/** Generates the service times of statements, reproducibly for a seed. */
export class ServiceTimeSampler {
	readonly #meanMilliseconds: number;
	readonly #isExponential: boolean;
	readonly #generator: RandomGenerator;

	/**
	 * @param meanMilliseconds - Mean service time.
	 * @param isExponential - Whether values are drawn from an exponential distribution; otherwise, every value equals the mean.
	 * @param seed - Seed of the random number generator.
	 */
	constructor(meanMilliseconds: number, isExponential: boolean, seed: number) {
		this.#meanMilliseconds = meanMilliseconds;
		this.#isExponential = isExponential;
		this.#generator = xoroshiro128plus(seed);
	}

	/** Returns the service time of the next statement, in milliseconds. */
	sample(): number {
		if (!this.#isExponential) {
			return this.#meanMilliseconds;
		}

		const uniform = ((this.#generator.unsafeNext() >>> 0) + 1) / 0x1_00_00_00_01;
		return -Math.log(uniform) * this.#meanMilliseconds;
	}
}
