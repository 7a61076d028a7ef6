import {type Rank} from '@tarragonstack/core';

/** One request of a load. */
export type LoadRequest = {
	readonly rank: Rank;
	readonly group: string;
	readonly host: string;
	readonly isRead: boolean;
	/** Statement with the request options in its comment. */
	readonly statement: string;
	/** Time at which the request should start, in milliseconds of the monotonic clock. */
	readonly intendedTime: number;
	/** Session that issues the request. */
	readonly session: LoadSession;
	/** Key that the request inserts or reads. */
	readonly key: string;
	/** Whether a read must return a row, because the session's write of it was acknowledged before. */
	readonly expectsRow: boolean;
};

/** Session of a load. */
export type LoadSession = {
	readonly name: string;
	readonly group: string;
	/** Key of the last write that was acknowledged. */
	lastKey: string | undefined;
};
