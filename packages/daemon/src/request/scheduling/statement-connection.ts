import {type ResponseSink, type TransactionStatus, type Verdict} from '@tarragonstack/core';
import {type Result} from 'neverthrow';

/** Part of a response that a connection holds back until the outcome of the unit is known. */
export enum HoldMode {
	/** Holds back the response from the first ErrorResponse on. */
	Error = 'error',
	/** Holds back the response from the first completion message on, and up to `heldPrefixBytes` of the part before it. */
	Completion = 'completion',
	/** Holds back the response from the CommandComplete of a COMMIT on. */
	Commit = 'commit',
}

/** Options of one run of a statement unit. */
export type StatementOptions = {
	readonly sink: ResponseSink;
	/** Zero-based ordinals of the ParseComplete messages to remove from the response. */
	readonly hiddenParseCompletes: readonly number[];
	readonly holdMode: HoldMode;
	/** Number of ReadyForQuery messages that end the response: one per query that is sent at once. Defaults to 1. */
	readonly readyCount?: number;
};

/** Outcome of one run of a statement unit. */
export type StatementOutcome = {
	/** `NotRun` if no byte was passed to the socket, `Ran` if ReadyForQuery was received. */
	readonly verdict: Verdict;
	/** Transaction status of the last ReadyForQuery, or `Idle` if the connection was lost. */
	readonly transactionStatus: TransactionStatus;
	/** Complete messages that were held back from the sink. */
	readonly held: Buffer;
	/** Number of bytes that were written to the sink. */
	readonly writtenBytes: number;
	/** SQLSTATE of the first ErrorResponse. */
	readonly sqlState?: string;
	/** Whether a COMMIT completed. */
	readonly committed: boolean;
	/** Reason why the response is incomplete. */
	readonly failure?: string;
};

/** Connection to an instance. It runs one statement unit at a time. */
export type StatementConnection = {
	/** Whether the connection is neither lost nor closed. */
	readonly isOpen: boolean;

	/**
	 * Runs one statement unit. Never rejects.
	 *
	 * @param messages - Front-end messages that end with Query or Sync.
	 * @param options - Response sink and hold mode.
	 */
	run(messages: Uint8Array, options: StatementOptions): Promise<StatementOutcome>;

	/** Cancels the running statement. The connection is not clean until the connection of the cancel request has closed. */
	cancel(): Promise<void>;

	/** Closes the connection. A running unit ends with the verdict `MayHaveRun`. */
	close(): void;
};

/** Reason why no connection is available. */
export enum ConnectionError {
	/** The instance does not accept connections. */
	Unavailable = 'unavailable',
	/** No connection became available within the timeout. */
	TimedOut = 'timed-out',
	Closed = 'closed',
}

/** Pool of connections to one instance. */
export type ConnectionPool = AsyncDisposable & {
	/** Maximum number of connections. */
	readonly capacity: number;

	/**
	 * Acquires a clean connection.
	 *
	 * @param timeoutMilliseconds - Maximum time to wait for a connection.
	 */
	acquire(timeoutMilliseconds: number): Promise<Result<StatementConnection, ConnectionError>>;

	/**
	 * Releases a connection. It is closed unless it is clean.
	 *
	 * @param connection - Connection from `acquire`.
	 */
	release(connection: StatementConnection): void;

	/**
	 * Adjusts the size of the pool.
	 *
	 * @param slots - Maximum number of concurrent statements.
	 * @param connectionLimit - Maximum number of connections that the instance allows.
	 */
	resize(slots: number, connectionLimit: number): void;
};
