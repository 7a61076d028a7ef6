import {createHash} from 'node:crypto';

/**
 * Computes the weight of a candidate for a key. The candidate with the greatest weight is chosen.
 *
 * @param key - Key to assign.
 * @param candidate - Name of the candidate.
 * @returns 48 bits of a SHA-256 hash, which every host computes alike.
 */
export function getRendezvousWeight(key: string, candidate: string): number {
	return createHash('sha256').update(key).update('\0').update(candidate).digest().readUIntBE(0, 6);
}

/**
 * Chooses the candidate with the greatest weight; of equal ones the first by name.
 *
 * @param key - Key to assign.
 * @param candidates - Names of the candidates.
 * @param getWeight - Computes or looks up a weight.
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
