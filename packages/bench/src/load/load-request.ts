import {type Rank} from '@tarragonstack/core';

/** Request of a load. */
export type LoadRequest = {
	readonly rank: Rank;
	readonly group: string;
	readonly host: string;
	readonly isRead: boolean;
	/** Statement, with the request options in a leading comment. */
	readonly statement: string;
	/** Arrival time at which the request should be sent, in milliseconds of the monotonic clock. */
	readonly intendedTime: number;
	/** Session that issues the request. */
	readonly session: LoadSession;
	/** Key that the request inserts or reads. */
	readonly key: string;
	/** Whether a read must return a row, because a write of its key in the same session has been acknowledged. */
	readonly expectsRow: boolean;
};

/** Session of a load. */
export type LoadSession = {
	readonly name: string;
	readonly group: string;
	/** Key of the last acknowledged write, if any. */
	lastKey: string | undefined;
};
