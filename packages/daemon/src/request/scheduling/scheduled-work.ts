import {type Rank, type RequestKind} from '@tarragonstack/core';

/** What the scheduler knows about one statement unit. Times are monotonic, in milliseconds. */
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
	/** Time after which the request is given up. */
	readonly timeoutAt: number;
	/** Expected slot time, in milliseconds. */
	readonly serviceMilliseconds: number;
	/** Mean deviation of the slot time, in milliseconds. */
	readonly deviationMilliseconds: number;
	/** Work of an open transaction, which holds a connection and locks. It is never refused for lateness. */
	readonly isInTransaction: boolean;
};

/** State of the queue of one instance at the time of a decision. */
export type QueueState = {
	readonly now: number;
	/** Statements that run at the same time. */
	readonly slots: number;
	/** Statements that run now. */
	readonly runningCount: number;
	/** Expected rest of the slot time of the running statements, in milliseconds. */
	readonly residualMilliseconds: number;
	/** Waiting work in the order of arrival. */
	readonly waiting: ReadonlySet<ScheduledWork>;
};
