import {type RateLimit} from '../version/deployment-configuration.js';

/** By how much the operations of a workspace may exceed its rate limit on all hosts together. */
export type LimitTolerance = {
	/** Length of the window in which operations are counted, in milliseconds. */
	readonly windowMilliseconds: number;
	/** Share of the operations that the limit allows in a window, by which they may exceed it. */
	readonly overage: number;
	/** Number of operations in a window by which they may exceed it in addition. */
	readonly slack: number;
};

/** Limit of a workspace by which tokens are distributed. */
export type EffectiveLimit = {
	/** Tokens per millisecond on all hosts together. */
	readonly rate: number;
	/** Tokens that all hosts together may store. */
	readonly capacity: number;
};

/** Share of the tolerance that makes up for uneven distribution. The rest covers coordinators that start without knowledge. */
const distributionShare = 0.5;

/** Share of the slack that a new coordinator may grant before it has received any entitlement. */
const initialShare = 0.1;

/**
 * Returns the limit by which tokens are distributed. Answers loads that are close to the limit and spread unevenly.
 *
 * @param limit - Configured limit.
 * @param tolerance - By how much it may be exceeded.
 */
export function createEffectiveLimit({rate, burst}: RateLimit, {overage, slack}: LimitTolerance): EffectiveLimit {
	const factor = 1 + (overage * distributionShare);
	return rate > 0 ? {rate: rate * factor / 1000, capacity: (burst * factor) + (slack * distributionShare)} : {rate: 0, capacity: 0};
}

/** Returns the number of tokens with which the bucket of a new coordinator starts. */
export function getInitialTokens({slack}: LimitTolerance): number {
	return slack * initialShare;
}

/**
 * Returns the number of operations that hosts may send to instances in any window.
 *
 * @param limit - Configured limit.
 * @param tolerance - By how much it may be exceeded.
 */
export function getMaximumOperations({rate, burst}: RateLimit, {windowMilliseconds, overage, slack}: LimitTolerance): number {
	return (((rate * windowMilliseconds / 1000) + burst) * (1 + overage)) + slack;
}
