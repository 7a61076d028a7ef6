import {getRendezvousWeight} from '@tarragonstack/core/request/rendezvous-hash';

/** Cache of rendezvous weights. In a large fleet, a plan for each instance needs the weights of all hosts at each change. */
export class RendezvousWeights {
	readonly #weights = new Map<string, Map<string, number>>();
	readonly #compute: typeof getRendezvousWeight;

	/**
	 * @param compute - Computes the weight of a candidate for a key.
	 */
	constructor(compute = getRendezvousWeight) {
		this.#compute = compute;
	}

	/** Returns the weight of a candidate for a key. */
	get(key: string, candidate: string): number {
		let weights = this.#weights.get(key);
		if (!weights) {
			weights = new Map();
			this.#weights.set(key, weights);
		}

		let weight = weights.get(candidate);
		if (weight === undefined) {
			weight = this.#compute(key, candidate);
			weights.set(candidate, weight);
		}

		return weight;
	}

	/** Forgets the weights of a key. */
	forget(key: string): void {
		this.#weights.delete(key);
	}
}
