import {type Rank} from '@tarragonstack/core';
import {type RequestOutcome} from '../load/index.js';

/** One request of an experiment with its outcome. Times count from the start of the load, in milliseconds. */
export type RequestRecord = {
	readonly rank: Rank;
	readonly group: string;
	readonly isRead: boolean;
	/** Time at which the request should have started. */
	readonly arrival: number;
	/** Time from the arrival to the complete response or the error. */
	readonly latency: number;
	readonly outcome: RequestOutcome;
	/** SQLSTATE or error code of a request without an answer. */
	readonly errorCode?: string;
};
