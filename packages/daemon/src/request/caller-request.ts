import {
	type LogPosition, type RankTerms, type Rank, type RequestKind, type ResponseSink, type UpstreamResult,
} from '@tarragonstack/core';

/** One unit of statements that a caller connection passes to the router. */
export type CallerRequest = {
	readonly requestIdentifier: string;
	readonly customer: string;
	readonly customerWeight: number;
	readonly group: string;
	readonly rank: Rank;
	/** Contract terms of the rank, from the configuration version in force when the request arrived. */
	readonly contractTerms: RankTerms;
	readonly configurationVersion: number;
	readonly kind: RequestKind;
	/** Front-end messages for the upstream, ending in Query or Sync. */
	readonly messages: Uint8Array;
	/** Ordinals, from 0, among the ParseComplete messages of the response that the caller must not receive. */
	readonly hiddenParseCompletes: readonly number[];
	/** True for the unit that begins an explicit transaction. */
	readonly beginsTransaction: boolean;
	/** Monotonic time at which the first byte of the unit was read, in milliseconds. */
	readonly arrivedAt: number;
	/** Permitted staleness of a read after applying the request options, in milliseconds; 0 requires the current state. */
	readonly maximumStalenessMilliseconds: number;
	readonly idempotencyKey?: string;
	/** Whether the request may be retried after an unknown outcome. */
	readonly repeatable: boolean;
};

/** Session state of a caller connection, read and updated by the router. Its lifetime is that of the connection. */
export type CallerSession = {
	/** Identifier that the caller uses on every host; without it, the session is limited to the connection. */
	identifier?: string;
	/** Position token set by the caller; covers the writes that the session made on other hosts. */
	positionToken?: LogPosition;
	/** Greatest position that this connection has written or read, by group. */
	readonly observedPositions: Map<string, LogPosition>;
	/** Transaction open on this connection. */
	transaction?: OpenTransaction;
};

/** Explicit transaction that a caller connection has open. */
export type OpenTransaction = {
	readonly transactionIdentifier: string;
	readonly upstream: string;
	/** Host that holds the upstream connection. The transaction stays on it when the ownership of the instance changes. */
	readonly ownerHost: string;
};

/** Executes the requests of callers. */
export type RequestExecutor = {
	/**
	 * Executes one unit of statements. Never rejects; every failure is reported as a refusal in the result.
	 *
	 * @param request - Unit to execute.
	 * @param session - Session of the caller; its positions and its transaction are updated.
	 * @param sink - Receives the backend messages except ReadyForQuery.
	 * @param signal - Aborted when the connection of the caller is lost.
	 */
	execute(request: CallerRequest, session: CallerSession, sink: ResponseSink, signal: AbortSignal): Promise<UpstreamResult>;

	/**
	 * Cancels the statement of a request in progress. Has no effect on a finished request.
	 *
	 * @param requestIdentifier - Request to cancel.
	 */
	cancel(requestIdentifier: string): void;

	/**
	 * Rolls back the open transaction of a session whose connection was closed.
	 *
	 * @param session - Session of the closed connection.
	 */
	abandonTransaction(session: CallerSession): void;
};
