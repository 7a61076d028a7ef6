import {Rank} from '@tarragonstack/core';
import {type Deployment} from '../fleet/index.js';
import {type RankLoad} from '../load/index.js';

/**
 * Slot time of every statement, in milliseconds. It must be short against the shortest target (100 ms), so that a request
 * can wait for a running statement and still be on time. It must also be long enough for one machine to carry ten times
 * the capacity of the instances.
 */
export const serviceMilliseconds = 30;

/** Share of the whole load at which a deployment runs on an ordinary day. */
export const normalUtilization = 0.7;

/** One-way network delay between callers and hosts, in milliseconds. */
export const clientDelayMilliseconds = 1;

type RankMix = {
	/** Share of all requests. */
	readonly share: number;
	readonly readShare: number;
	readonly sessionCount: number;
};

/** Mix of section 1.2 of the design page: checkouts mostly write, updates do so in part, status screens only read. */
const rankMixes: Readonly<Record<Rank, RankMix>> = {
	[Rank.Urgent]: {share: 0.25, readShare: 0.4, sessionCount: 120},
	[Rank.Middle]: {share: 0.25, readShare: 0.6, sessionCount: 120},
	[Rank.Least]: {share: 0.5, readShare: 1, sessionCount: 240},
};

/**
 * Returns the statements per second that the instances of a deployment can execute.
 *
 * @param deployment - Deployment.
 */
export function getCapacity(deployment: Deployment): number {
	const {groups, availabilityZones, slots} = deployment;
	return slots * groups.length * availabilityZones.length * 1000 / serviceMilliseconds;
}

/**
 * Creates the loads of the three ranks.
 *
 * @param deployment - Deployment.
 * @param utilizations - Offered work of single ranks as multiples of the capacity; others have their ordinary share.
 */
export function createStandardLoads(deployment: Deployment, utilizations: Readonly<Partial<Record<Rank, number>>> = {}): RankLoad[] {
	const capacity = getCapacity(deployment);
	return Object.values(Rank).map(rank => {
		const {share, readShare, sessionCount} = rankMixes[rank];
		return {
			rank,
			requestsPerSecond: capacity * (utilizations[rank] ?? normalUtilization * share),
			readShare,
			serviceMilliseconds,
			sessionCount,
		};
	});
}
