import {type LogPosition} from '@tarragonstack/core';
import {type Result} from 'neverthrow';
import {type PrimaryView} from '../group-view.js';

/** Position of a confirmed primary. */
export type ReadIndex = {
	readonly primary: PrimaryView;
	/** Contains all writes that were acknowledged before the read index was requested. */
	readonly position: LogPosition;
};

/** One question for a read index, without batching. */
export type ReadIndexSource = {
	/**
	 * Asks for a read index of a group, on this host or on an owner of a member of the group.
	 *
	 * @param group - Name of the group.
	 * @param timeoutMilliseconds - Time after which the question fails.
	 * @returns The read index or a description of the failure.
	 */
	request(group: string, timeoutMilliseconds: number): Promise<Result<ReadIndex, string>>;
};
