/** Instance that may serve a read. */
export type ReadCandidate = {
	/** Requests of this host that use or wait for a connection to the instance. */
	readonly load: number;
	/** Average time from sending a statement to its response, in milliseconds. */
	readonly responseTime: number;
	readonly isLocalZone: boolean;
	/** Whether statements are sent through a gateway. */
	readonly usesGateway: boolean;
	/** Share of recent statements that failed at the instance, from 0 to 1. */
	readonly failureRate: number;
	/** Whether the instance is known not to hold the log position that the read requires. */
	readonly isBehind: boolean;
	readonly isResponsive: boolean;
	/** Whether the instance was already tried for this read. */
	readonly isTried: boolean;
};

/**
 * Cost of a request to another zone, in milliseconds: each direction takes 0.7 ms longer than inside a zone, and traffic
 * between zones is billed.
 */
const crossZoneCostMilliseconds = 3;

/** Cost of a request through a gateway, in milliseconds: queueing and processing there, and up to two hops between hosts. */
const gatewayCostMilliseconds = 3;

/**
 * Cost of a failed statement, in milliseconds: the time until another instance is tried, which for a lost response is the
 * timeout of a read attempt.
 */
const failureCostMilliseconds = 200;

/**
 * Chooses the candidate with the lowest expected completion time for a read. A failing candidate receives fewer reads but
 * is never excluded permanently: its failure rate decays, and the other candidates may be busier.
 *
 * @param candidates - Replicas that may serve the read.
 * @returns Index of the candidate, or -1 if none is eligible.
 */
export function chooseReadCandidate(candidates: readonly ReadCandidate[]): number {
	let best = -1;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const [index, candidate] of candidates.entries()) {
		if (candidate.isTried || candidate.isBehind || !candidate.isResponsive) {
			continue;
		}

		const cost = ((candidate.load + 1) * candidate.responseTime)
			+ (candidate.isLocalZone ? 0 : crossZoneCostMilliseconds)
			+ (candidate.usesGateway ? gatewayCostMilliseconds : 0)
			+ (candidate.failureRate * failureCostMilliseconds);
		if (cost < bestCost) {
			best = index;
			bestCost = cost;
		}
	}

	return best;
}
