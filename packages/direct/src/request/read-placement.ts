/** Instance that may serve a read. */
export type ReadCandidate = {
	/** Requests of this host that use or await a connection to it. */
	readonly load: number;
	/** Average time of a statement in milliseconds. */
	readonly serviceTime: number;
	readonly isLocalZone: boolean;
	/** Whether a gateway runs the statements. */
	readonly isRelayed: boolean;
	/** Share of the statements that it failed lately, from 0 to 1. */
	readonly failureRate: number;
	/** Whether the instance is known to lack what the read demands. */
	readonly isBehind: boolean;
	readonly isReachable: boolean;
	/** Whether the instance was already tried for this read. */
	readonly isTried: boolean;
};

/** Cost of a hop between zones in milliseconds: two one-way delays of 0.7 ms more than inside a zone, and the priced bytes. */
const crossZoneCostMilliseconds = 3;

/** Cost of a gateway in milliseconds: its own queue and processor, and up to two hops between hosts. */
const gatewayCostMilliseconds = 3;

/**
 * Cost of a failed statement in milliseconds: the time until another instance is tried, which for a lost response is the
 * silence after which a read is given up.
 */
const failureCostMilliseconds = 200;

/**
 * Chooses where a read runs: the candidate with the lowest expected finish time. One that fails statements gets fewer of
 * them, never none for good: its share of failures fades, and all others may be busier.
 *
 * @param candidates - Replicas that may serve the read.
 * @returns Index of the candidate, or -1 if none is left.
 */
export function chooseReadCandidate(candidates: readonly ReadCandidate[]): number {
	let best = -1;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const [index, candidate] of candidates.entries()) {
		if (candidate.isTried || candidate.isBehind || !candidate.isReachable) {
			continue;
		}

		const cost = ((candidate.load + 1) * candidate.serviceTime)
			+ (candidate.isLocalZone ? 0 : crossZoneCostMilliseconds)
			+ (candidate.isRelayed ? gatewayCostMilliseconds : 0)
			+ (candidate.failureRate * failureCostMilliseconds);
		if (cost < bestCost) {
			best = index;
			bestCost = cost;
		}
	}

	return best;
}
