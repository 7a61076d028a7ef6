import {type Rank, type RequestKind} from '@tarragonstack/core';

/** Properties of one statement unit that scheduling depends on. Times are monotonic, in milliseconds. */
export type ScheduledWork = {
	readonly customer: string;
	readonly customerWeight: number;
	readonly rank: Rank;
	readonly kind: RequestKind;
	readonly floorShare: number;
	readonly lateRefund: number;
	readonly refusedRefund: number;
	/** Size of the messages, in bytes. */
	readonly bytes: number;
	readonly arrivedAt: number;
	/** Time after which the response counts as late. */
	readonly lateAt: number;
	/** Time at which the request times out. */
	readonly timeoutAt: number;
	/** Expected slot time, in milliseconds. */
	readonly serviceMilliseconds: number;
	/** Mean absolute deviation of the slot time, in milliseconds. */
	readonly deviationMilliseconds: number;
	/** Whether the work belongs to an open transaction, which holds a connection and locks. It is never refused as late. */
	readonly isInTransaction: boolean;
};

/** State of the queue of one instance at the time of a decision. */
export type QueueState = {
	readonly now: number;
	/** Maximum number of concurrent statements. */
	readonly slots: number;
	/** Number of statements that are running. */
	readonly runningCount: number;
	/** Expected remaining slot time of the running statements, in milliseconds. */
	readonly residualMilliseconds: number;
	/** Waiting work in the order of arrival. */
	readonly waiting: ReadonlySet<ScheduledWork>;
};
