/** Instance that may serve a read. */
export type ReadCandidate = {
	/** Requests of this host that use or wait for a connection to the instance. */
	readonly load: number;
	/** Average time from sending a statement to its response, in milliseconds. */
	readonly responseTime: number;
	/** Capacity of the instance compared with the others, from `InstanceSpeed`. */
	readonly weight: number;
	/** Estimated round trip, in milliseconds. */
	readonly distance: number;
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

/** Cost of a request through a gateway, in milliseconds: queueing and processing there, and up to two hops between hosts. */
const gatewayCostMilliseconds = 3;

/**
 * Cost of a failed statement, in milliseconds: the time until another instance is tried, which for a lost response is the
 * timeout of a read attempt.
 */
const failureCostMilliseconds = 200;

/** Share of the candidates that are not avoided because of their failures, rounded up. */
const minimumShareInUse = 0.4;

/** Difference of costs that counts as none, in milliseconds. Measured distances of equally distant instances differ a little. */
const equalCostMilliseconds = 0.5;

/**
 * Share of the mean weight from which the preferred candidate is always kept. Measured weights vary by about a tenth, and
 * traffic between zones is billed.
 */
const keptShare = 0.85;

/**
 * Chooses an instance for a read, in two steps. The preferred candidate is the one with the lowest expected completion time
 * if all were equally fast, which is usually the nearest. It is kept with a probability that depends on its share of the
 * capacity; otherwise, a candidate with capacity to spare is chosen. So each replica receives reads in proportion to its
 * speed, and near replicas are used as far as their capacity permits. There is no threshold at which all reads move, so
 * equal replicas don't oscillate.
 *
 * A failing or slow candidate receives fewer reads but is never excluded permanently.
 *
 * @param candidates - Replicas that may serve the read.
 * @param draw - Returns a random number from 0 to 1.
 * @returns Index of the candidate, or -1 if none is eligible.
 */
export function chooseReadCandidate(candidates: readonly ReadCandidate[], draw: () => number): number {
	const eligible = candidates.filter(candidate => !candidate.isTried && !candidate.isBehind && candidate.isResponsive);
	if (eligible.length === 0) {
		return -1;
	}

	const chosen = eligible.length === 1 ? eligible[0]! : applyShares(eligible, choosePreferred(eligible, draw), draw);
	return candidates.indexOf(chosen);
}

/** Returns the candidate with the lowest cost; a random one of those with nearly the lowest. */
function choosePreferred(eligible: readonly ReadCandidate[], draw: () => number): ReadCandidate {
	let totalResponseTime = 0;
	for (const {responseTime} of eligible) {
		totalResponseTime += responseTime;
	}

	const usualTime = totalResponseTime / eligible.length;
	const permittedFailureRate = getPermittedFailureRate(eligible);
	const costs = eligible.map(({load, distance, usesGateway, failureRate}) => ((load + 1) * usualTime)
		+ distance
		+ (usesGateway ? gatewayCostMilliseconds : 0)
		+ (Math.max(0, failureRate - permittedFailureRate) * failureCostMilliseconds));
	const limit = Math.min(...costs) + equalCostMilliseconds;
	const cheapest = eligible.filter((_, index) => costs[index]! <= limit);
	return cheapest[Math.floor(draw() * cheapest.length)]!;
}

/** Returns the failure rate up to which candidates are not avoided, so that enough of them stay in use. */
function getPermittedFailureRate(eligible: readonly ReadCandidate[]): number {
	const rates = eligible.map(({failureRate}) => failureRate).toSorted((left, right) => left - right);
	return rates[Math.ceil(eligible.length * minimumShareInUse) - 1]!;
}

/**
 * Keeps the preferred candidate with the probability of its weight divided by the mean weight, and otherwise chooses one
 * with more than the mean weight, in proportion to the excess. If each candidate is preferred equally often, all are chosen
 * in proportion to their weights.
 */
function applyShares(eligible: readonly ReadCandidate[], preferred: ReadCandidate, draw: () => number): ReadCandidate {
	let total = 0;
	for (const {weight} of eligible) {
		total += weight;
	}

	const mean = total / eligible.length;
	if (preferred.weight >= mean * keptShare || draw() * mean <= preferred.weight) {
		return preferred;
	}

	const excesses = eligible.map(({weight, failureRate}) => failureRate > preferred.failureRate ? 0 : Math.max(0, weight - mean));
	let remaining = draw() * excesses.reduce((sum, excess) => sum + excess, 0);
	for (const [index, excess] of excesses.entries()) {
		remaining -= excess;
		if (excess > 0 && remaining <= 0) {
			return eligible[index]!;
		}
	}

	return preferred;
}
