import {type LogRecord, type TermMark} from './replicated-log.js';

/** Start-up parameter by which a replica asks for replication on the port of the database. */
export const replicationParameter = 'tarragon_replication';

/** Message from a replica to the primary. */
export type HelloMessage = {
	readonly kind: 'hello';
	readonly name: string;
	readonly term: number;
	readonly marks: readonly TermMark[];
	readonly lastIndex: number;
};

/** Message from the primary to a replica. */
export type PrimaryMessage
	/** Asks for the hello message. Before it, the start-up reader may still hold bytes of the connection. */
	= | {readonly kind: 'welcome'; readonly term: number}
	/** Tells the replica up to where both logs are equal. */
		| {readonly kind: 'start'; readonly term: number; readonly index: number; readonly markCount: number}
		| {readonly kind: 'records'; readonly term: number; readonly records: readonly LogRecord[]}
		| {readonly kind: 'keep-alive'; readonly term: number}
	/** The sender is not the primary, or its term is older. */
		| {readonly kind: 'refused'; readonly term: number};
