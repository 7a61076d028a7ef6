import {
	type LogPosition, type RankTerms, type Rank, type RequestKind, type ResponseSink, type UpstreamResult,
} from '@tarragonstack/core';

/** One statement unit as the caller connection hands it to the router. */
export type CallerRequest = {
	readonly requestIdentifier: string;
	readonly customer: string;
	readonly customerWeight: number;
	readonly group: string;
	readonly rank: Rank;
	/** Terms of the contract for the rank, under the configuration version with which the request began. */
	readonly terms: RankTerms;
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
	/** Permitted staleness of a read in milliseconds, after request options were applied; 0 means current. */
	readonly maximumStalenessMilliseconds: number;
	readonly idempotencyKey?: string;
	/** Whether the request may be repeated after an unknown outcome. */
	readonly repeatable: boolean;
};

/** State of a caller's session that the router reads and updates. Lives as long as the connection. */
export type CallerSession = {
	/** Identifier that the caller uses at every host; without it the connection is the session. */
	identifier?: string;
	/** Position token that the caller set; proves that the host knows all writes of the session up to it. */
	positionToken?: LogPosition;
	/** Greatest position that this connection wrote or read, for each group. */
	readonly observedPositions: Map<string, LogPosition>;
	/** Transaction that is open on this connection. */
	transaction?: OpenTransaction;
};

/** Open explicit transaction of a caller connection. */
export type OpenTransaction = {
	readonly transactionIdentifier: string;
	readonly upstream: string;
	/** Host that holds the upstream connection. The transaction stays there when the ownership changes. */
	readonly ownerHost: string;
};

/** Runs the requests of callers. */
export type RequestExecutor = {
	/**
	 * Runs one statement unit. Never rejects; every failure is a refusal in the result.
	 *
	 * @param request - Unit to run.
	 * @param session - Session of the caller; updated with positions and with the transaction.
	 * @param sink - Receives the back-end messages without ReadyForQuery.
	 * @param signal - Aborted when the caller's connection is lost.
	 */
	execute(request: CallerRequest, session: CallerSession, sink: ResponseSink, signal: AbortSignal): Promise<UpstreamResult>;

	/**
	 * Cancels the statement of a request that is in progress. Does nothing when the request has ended.
	 *
	 * @param requestIdentifier - Request to cancel.
	 */
	cancel(requestIdentifier: string): void;

	/**
	 * Rolls back the transaction of a session whose connection ended.
	 *
	 * @param session - Session that ended.
	 */
	abandonTransaction(session: CallerSession): void;
};
