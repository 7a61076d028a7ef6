import {unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator} from 'pure-rand';

const resolution = 1_000_000;

/** Loss of a share of the chunks, each of which arrives late, as a segment does that TCP sends again. */
export type RetransmissionOptions = {
	/** Share of the chunks that are late, from 0 to 1. */
	readonly share: number;
	/** Additional delay of such a chunk, and with it of all later ones, in milliseconds. */
	readonly milliseconds: number;
	readonly seed: number;
};

/** Chooses the chunks that are sent again, with a seed. */
export class Retransmission {
	readonly options: RetransmissionOptions;
	readonly #generator: RandomGenerator;

	/** @param options - Share, delay and seed. */
	constructor(options: RetransmissionOptions) {
		this.options = options;
		this.#generator = xoroshiro128plus(options.seed);
	}

	/** Returns the additional delay of the next chunk, in milliseconds. */
	chooseDelay(): number {
		const {share, milliseconds} = this.options;
		return unsafeUniformIntDistribution(0, resolution - 1, this.#generator) < share * resolution ? milliseconds : 0;
	}

	/** Options, for the status of the relay. */
	toJSON(): RetransmissionOptions {
		return this.options;
	}
}
