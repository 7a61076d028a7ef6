import {type LogRecord, type TermMark} from './replicated-log.js';

/** Startup parameter with which a replica requests a replication connection on the database port. */
export const replicationParameter = 'tarragon_replication';

/** Message from a replica to the primary that describes the replica's log. */
export type HelloMessage = {
	readonly kind: 'hello';
	readonly name: string;
	readonly term: number;
	readonly marks: readonly TermMark[];
	readonly lastIndex: number;
};

/** Message from the primary to a replica. */
export type PrimaryMessage
	/** Requests the hello message. Bytes sent earlier might be consumed by the startup message reader. */
	= | {readonly kind: 'welcome'; readonly term: number}
	/** End of the common prefix of both logs, at which replication starts. */
		| {readonly kind: 'start'; readonly term: number; readonly index: number; readonly markCount: number}
		| {readonly kind: 'records'; readonly term: number; readonly records: readonly LogRecord[]}
		| {readonly kind: 'keep-alive'; readonly term: number}
	/** The sender is not the primary, or its term is older than the replica's. */
		| {readonly kind: 'refused'; readonly term: number};
