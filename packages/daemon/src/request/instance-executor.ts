import {type ResponseSink, type UpstreamRequest, type UpstreamResult} from '@tarragonstack/core';

/** Executes requests on the instances that this host owns. */
export type InstanceExecutor = {
	/**
	 * Admits, queues and executes one request. Never rejects.
	 *
	 * @param request - Request for an instance.
	 * @param sink - Receives the backend messages except ReadyForQuery.
	 * @param signal - Aborted when the entry host is lost or the caller has disconnected. A queued request is then dropped.
	 */
	submit(request: UpstreamRequest, sink: ResponseSink, signal: AbortSignal): Promise<UpstreamResult>;

	/**
	 * Cancels the statement of a request. Has no effect on a finished request.
	 *
	 * @param requestIdentifier - Request to cancel.
	 */
	cancel(requestIdentifier: string): void;

	/**
	 * Rolls back an open transaction and closes or resets its upstream connection.
	 *
	 * @param transactionIdentifier - Transaction to roll back.
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
	 * @param sink - Receives the backend messages except ReadyForQuery.
	 * @param signal - Aborted when the caller has disconnected.
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
	 * @param transactionIdentifier - Transaction to roll back.
	 */
	abandonTransaction(ownerHost: string, transactionIdentifier: string): void;
};
