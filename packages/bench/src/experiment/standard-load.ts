import {Rank} from '@tarragonstack/core';
import {type Deployment} from '../fleet/index.js';
import {type RankLoad} from '../load/index.js';

/**
 * Slot time of each statement, in milliseconds. It must be short compared with the shortest latency target (100 ms), so that a
 * request that waits for a running statement can still be on time. It must also be long enough for one machine to generate
 * and handle a load of ten times the capacity of the instances.
 */
export const serviceMilliseconds = 30;

/** Load of a deployment in normal operation, as a share of its capacity. */
export const normalUtilization = 0.7;

/** One-way network delay between clients and hosts, in milliseconds. */
export const clientDelayMilliseconds = 1;

type RankMix = {
	/** Share of all requests. */
	readonly share: number;
	readonly readShare: number;
	readonly sessionCount: number;
};

/**
 * Request mix of section 1.2 of the design page: checkouts (urgent) mostly write, updates (middle) partly write, and status
 * screens (least urgent) only read.
 */
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
 * Creates the loads of the three ranks with the standard request mix.
 *
 * @param deployment - Deployment.
 * @param utilizations - Loads of individual ranks as multiples of the capacity; the other ranks have their normal load.
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
