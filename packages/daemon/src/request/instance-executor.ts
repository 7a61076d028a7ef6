import {type ResponseSink, type UpstreamRequest, type UpstreamResult} from '@tarragonstack/core';

/** Runs requests on the instances that this host owns. */
export type InstanceExecutor = {
	/**
	 * Admits, queues and runs one request. Never rejects.
	 *
	 * @param request - Request for an instance.
	 * @param sink - Receives the back-end messages without ReadyForQuery.
	 * @param signal - Aborted when the entry host is lost or the caller went away. Queued work is then dropped.
	 */
	submit(request: UpstreamRequest, sink: ResponseSink, signal: AbortSignal): Promise<UpstreamResult>;

	/**
	 * Cancels the statement of a request. Does nothing when the request has ended.
	 *
	 * @param requestIdentifier - Request to cancel.
	 */
	cancel(requestIdentifier: string): void;

	/**
	 * Rolls back an open transaction and closes or cleans its upstream connection.
	 *
	 * @param transactionIdentifier - Transaction to end.
	 */
	abandonTransaction(transactionIdentifier: string): void;
};

/** Sends requests to the owner of an instance, which may be this host or a peer. */
export type UpstreamGateway = {
	/**
	 * Sends one request. Never rejects.
	 *
	 * @param ownerHost - Host that owns the instance.
	 * @param request - Request for an instance.
	 * @param sink - Receives the back-end messages without ReadyForQuery.
	 * @param signal - Aborted when the caller went away.
	 */
	submit(ownerHost: string, request: UpstreamRequest, sink: ResponseSink, signal: AbortSignal): Promise<UpstreamResult>;

	/**
	 * Cancels the statement of a request.
	 *
	 * @param ownerHost - Host to which the request was sent.
	 * @param requestIdentifier - Request to cancel.
	 */
	cancel(ownerHost: string, requestIdentifier: string): void;

	/**
	 * Rolls back an open transaction.
	 *
	 * @param ownerHost - Host that holds the upstream connection.
	 * @param transactionIdentifier - Transaction to end.
	 */
	abandonTransaction(ownerHost: string, transactionIdentifier: string): void;
};
