import {loadCrypto} from '@tarragonstack/core/codec/load-crypto';

/** Delay that doubles with each use up to a maximum. Half of it is random, so that hosts do not repeat their calls together. */
export class GrowingDelay {
	readonly #initialMilliseconds: number;
	readonly #maximumMilliseconds: number;
	#milliseconds: number;

	/**
	 * @param initialMilliseconds - Greatest first delay, in milliseconds.
	 * @param maximumMilliseconds - Greatest delay, in milliseconds.
	 */
	constructor(initialMilliseconds: number, maximumMilliseconds: number) {
		this.#initialMilliseconds = initialMilliseconds;
		this.#maximumMilliseconds = maximumMilliseconds;
		this.#milliseconds = initialMilliseconds;
	}

	/** Returns the next delay, in milliseconds. */
	next(): number {
		const milliseconds = this.#milliseconds;
		this.#milliseconds = Math.min(this.#maximumMilliseconds, milliseconds * 2);
		return loadCrypto().randomInt(Math.ceil(milliseconds / 2), milliseconds + 1);
	}

	/** Begins again with the first delay. */
	reset(): void {
		this.#milliseconds = this.#initialMilliseconds;
	}
}
