import {type ResponseSink, type TransactionStatus, type Verdict} from '@tarragonstack/core';
import {type Result} from 'neverthrow';

/** Part of a response that a connection withholds until the outcome of the unit is known. */
export enum HoldMode {
	/** Withholds from the first ErrorResponse on. */
	Error = 'error',
	/** Withholds from the first completion on, and before it up to `heldPrefixBytes`. */
	Completion = 'completion',
	/** Withholds from the completion of a COMMIT on. */
	Commit = 'commit',
}

/** Options of one run of a statement unit. */
export type StatementOptions = {
	readonly sink: ResponseSink;
	/** Ordinals, from 0, of the ParseComplete messages that are removed. */
	readonly hiddenParseCompletes: readonly number[];
	readonly holdMode: HoldMode;
	/** Number of ReadyForQuery messages that end the response; 1 unless several queries are sent at once. */
	readonly readyCount?: number;
};

/** Outcome of one run of a statement unit. */
export type StatementOutcome = {
	/** `NotRun` if no byte was handed to the socket, `Ran` if ReadyForQuery arrived. */
	readonly verdict: Verdict;
	/** Status of the last ReadyForQuery; `Idle` when the connection is lost. */
	readonly transactionStatus: TransactionStatus;
	/** Whole messages that were withheld from the sink. */
	readonly held: Buffer;
	/** Bytes that the sink received. */
	readonly writtenBytes: number;
	/** SQLSTATE of the first ErrorResponse. */
	readonly sqlState?: string;
	/** Whether a COMMIT completed. */
	readonly committed: boolean;
	/** Reason why the response is not complete. */
	readonly failure?: string;
};

/** Connection to an instance on which one statement unit runs at a time. */
export type StatementConnection = {
	/** False once the connection is lost or closed. */
	readonly isOpen: boolean;

	/**
	 * Runs one statement unit. Never rejects.
	 *
	 * @param messages - Front-end messages, ending in Query or Sync.
	 * @param options - Sink and what to withhold.
	 */
	run(messages: Uint8Array, options: StatementOptions): Promise<StatementOutcome>;

	/** Cancels the statement in progress; the connection is not clean until the cancel connection has closed. */
	cancel(): Promise<void>;

	/** Closes the connection. A unit in progress ends with the verdict `MayHaveRun`. */
	close(): void;
};

/** Reason why no connection is available. */
export enum ConnectionError {
	/** The instance does not accept connections at present. */
	Unavailable = 'unavailable',
	/** All connections stayed in use for the time limit. */
	TimedOut = 'timed-out',
	Closed = 'closed',
}

/** Connections to one instance. */
export type ConnectionPool = AsyncDisposable & {
	/** Greatest number of connections. */
	readonly capacity: number;

	/**
	 * Takes a clean connection.
	 *
	 * @param timeoutMilliseconds - Time after which the call fails.
	 */
	acquire(timeoutMilliseconds: number): Promise<Result<StatementConnection, ConnectionError>>;

	/**
	 * Gives a connection back. It is closed unless it is clean.
	 *
	 * @param connection - Connection from `acquire`.
	 */
	release(connection: StatementConnection): void;

	/**
	 * Sets the sizes of the pool.
	 *
	 * @param slots - Statements that run at the same time.
	 * @param connectionLimit - Limit of the instance.
	 */
	resize(slots: number, connectionLimit: number): void;
};
