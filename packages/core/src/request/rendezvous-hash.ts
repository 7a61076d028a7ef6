import {loadCrypto} from '../codec/load-crypto.js';

/**
 * Computes the weight of a candidate for a key. The candidate with the greatest weight is chosen.
 *
 * @param key - Key to assign.
 * @param candidate - Name of the candidate.
 * @returns The first 48 bits of a SHA-256 hash, which are the same on every host.
 */
export function getRendezvousWeight(key: string, candidate: string): number {
	return loadCrypto().createHash('sha256').update(key).update('\0').update(candidate).digest().readUIntBE(0, 6);
}

/**
 * Chooses the candidate with the greatest weight, and the first by name among candidates with equal weights.
 *
 * @param key - Key to assign.
 * @param candidates - Names of the candidates.
 * @param getWeight - Returns the weight of a candidate for the key, for example from a cache.
 */
export function chooseByRendezvous(key: string, candidates: Iterable<string>, getWeight = getRendezvousWeight): string | undefined {
	let best: {name: string; weight: number} | undefined;
	for (const name of candidates) {
		const weight = getWeight(key, name);
		if (!best || weight > best.weight || (weight === best.weight && name < best.name)) {
			best = {name, weight};
		}
	}

	return best?.name;
}
