import {type Rank} from '@tarragonstack/core';

/** Load of one rank. */
export type RankLoad = {
	readonly rank: Rank;
	/** Mean number of requests per second; the arrivals form a Poisson process. */
	readonly requestsPerSecond: number;
	/** Share of reads, from 0 to 1; the rest are writes. */
	readonly readShare: number;
	/** Service time that each statement requests from the instance. */
	readonly serviceMilliseconds: number;
	/** Whether service times follow an exponential distribution with `serviceMilliseconds` as its mean. */
	readonly exponentialService?: boolean;
	/** Number of sessions. Each request belongs to a random session and is sent to a random host. */
	readonly sessionCount: number;
};
