import {type LogPosition} from '@tarragonstack/core';
import {type Result} from 'neverthrow';
import {type PrimaryView} from '../group-view.js';

/** Position of a primary whose term has been confirmed. */
export type ReadIndex = {
	readonly primary: PrimaryView;
	/** Covers all writes acknowledged before the read index was requested. */
	readonly position: LogPosition;
};

/** Requests read indexes, without batching. */
export type ReadIndexSource = {
	/**
	 * Requests a read index of a group from this host or from a host that owns a member of the group.
	 *
	 * @param group - Name of the group.
	 * @param timeoutMilliseconds - Time limit of the request.
	 * @returns The read index or a description of the failure.
	 */
	request(group: string, timeoutMilliseconds: number): Promise<Result<ReadIndex, string>>;
};
