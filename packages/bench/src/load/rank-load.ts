import {type Rank} from '@tarragonstack/core';

/** Load of one rank. */
export type RankLoad = {
	readonly rank: Rank;
	/** Mean number of requests per second; the arrivals form a Poisson process. */
	readonly requestsPerSecond: number;
	/** Share of reads, from 0 to 1; the rest are writes. */
	readonly readShare: number;
	/** Service time that each statement asks of the instance. */
	readonly serviceMilliseconds: number;
	/** Draws the service time from an exponential distribution with the given mean. */
	readonly exponentialService?: boolean;
	/** Sessions that take turns at random; each moves between hosts with every request. */
	readonly sessionCount: number;
};
