import {type Rank} from '@tarragonstack/core';
import {type RequestOutcome} from '../load/index.js';

/** Request of an experiment with its outcome. Times are in milliseconds from the start of the load. */
export type RequestRecord = {
	readonly rank: Rank;
	readonly group: string;
	readonly isRead: boolean;
	/** Scheduled arrival time, independent of when the request was actually sent. */
	readonly arrival: number;
	/** Time from the scheduled arrival to the complete response or the error. */
	readonly latency: number;
	readonly outcome: RequestOutcome;
	/** SQLSTATE or error code of a request without a successful response. */
	readonly errorCode?: string;
};
