import {
	MetricName, RefusalReason, RequestKind, TransactionStatus, Verdict,
	type Metrics, type ResponseSink, type UpstreamRequest, type UpstreamResult,
} from '@tarragonstack/core';
import {type InstanceExecutor, type UpstreamGateway} from '../../request/instance-executor.js';
import {createNotRunResult} from '../../request/routing/refusals.js';
import {PeerMessageKind, type PeerCallContext, type PeerError, type PeerNetwork} from '../peer-network.js';
import {ChunkAssembler, splitIntoChunks} from './chunk-assembler.js';
import {identifierSchema, upstreamRequestSchema, upstreamResultSchema} from './upstream-messages.js';

/** Time added to the time limit of a request when waiting for the reply of the owner, in milliseconds. */
const replyMarginMilliseconds = 100;

/**
 * Maximum length of a request's messages, in bytes. A request between hosts must fit into one frame of at most 1 MiB. The
 * owner applies the same limit to its local requests, so that a statement does not fail on some hosts only.
 */
const maximumRequestBytes = 1_000_000;

/** Dependencies of `PeerUpstreamGateway`. */
export type PeerUpstreamGatewayOptions = {
	/** Name of this host. */
	readonly ownName: string;
	readonly localExecutor: InstanceExecutor;
	readonly peerNetwork: PeerNetwork;
	readonly metrics: Metrics;
	/** Subscribes to the loss of the last link to a peer. The listener receives the name of the peer. */
	readonly subscribeToLostPeers: (listener: (host: string) => void) => Disposable;
};

/** Sends requests to the owner of an instance, either to the local executor or over a peer link. */
export class PeerUpstreamGateway implements UpstreamGateway, Disposable {
	readonly #options: PeerUpstreamGatewayOptions;
	/** Identifiers of open transactions on instances of this host, by the entry host that began them. */
	readonly #transactionsByPeer = new Map<string, Set<string>>();
	#subscription: Disposable | undefined;

	/**
	 * @param options - Dependencies of the gateway.
	 */
	constructor(options: PeerUpstreamGatewayOptions) {
		this.#options = options;
	}

	/** Subscribes to lost peers and registers the handlers for requests from other hosts. */
	register(): void {
		const {localExecutor, peerNetwork, subscribeToLostPeers} = this.#options;
		this.#subscription = subscribeToLostPeers(host => {
			this.#abandonTransactionsOf(host);
		});
		peerNetwork.handle(PeerMessageKind.SubmitRequest, async (body, context) => {
			const request = upstreamRequestSchema.parse(body);
			const sink: ResponseSink = {
				async write(messages) {
					for (const chunk of splitIntoChunks(messages)) {
						await context.write(chunk);
					}
				},
			};
			const result = await localExecutor.submit(request, sink, context.signal);
			this.#recordTransaction(context, request, result);
			return result;
		});
		peerNetwork.handle(PeerMessageKind.CancelRequest, async body => {
			localExecutor.cancel(identifierSchema.parse(body).identifier);
		});
		peerNetwork.handle(PeerMessageKind.AbandonTransaction, async body => {
			localExecutor.abandonTransaction(identifierSchema.parse(body).identifier);
		});
	}

	/** @inheritdoc */
	async submit(ownerHost: string, request: UpstreamRequest, sink: ResponseSink, signal: AbortSignal): Promise<UpstreamResult> {
		const {localExecutor, ownName} = this.#options;
		if (request.messages.length > maximumRequestBytes) {
			return createNotRunResult(RefusalReason.TooLong, `the statement with its parameters is longer than ${maximumRequestBytes} bytes`);
		}

		return ownerHost === ownName
			? localExecutor.submit(request, sink, signal)
			: this.#submitToPeer(ownerHost, request, sink, signal);
	}

	/** @inheritdoc */
	cancel(ownerHost: string, requestIdentifier: string): void {
		if (ownerHost === this.#options.ownName) {
			this.#options.localExecutor.cancel(requestIdentifier);
		} else {
			this.#options.peerNetwork.notify(ownerHost, PeerMessageKind.CancelRequest, {identifier: requestIdentifier});
		}
	}

	/** @inheritdoc */
	abandonTransaction(ownerHost: string, transactionIdentifier: string): void {
		if (ownerHost === this.#options.ownName) {
			this.#options.localExecutor.abandonTransaction(transactionIdentifier);
		} else {
			this.#options.peerNetwork.notify(ownerHost, PeerMessageKind.AbandonTransaction, {identifier: transactionIdentifier});
		}
	}

	/** Unsubscribes from lost peers. */
	[Symbol.dispose](): void {
		this.#subscription?.[Symbol.dispose]();
	}

	/**
	 * Tracks the open transactions of a peer. The signal of a request ends with the request, so it does not report the loss of
	 * a peer between two units of a transaction.
	 */
	#recordTransaction({peer, signal}: PeerCallContext, {transactionIdentifier}: UpstreamRequest, {transactionStatus}: UpstreamResult): void {
		if (transactionIdentifier === undefined) {
			return;
		}

		const transactions = this.#transactionsByPeer.get(peer) ?? new Set();
		if (transactionStatus === TransactionStatus.Idle) {
			transactions.delete(transactionIdentifier);
		} else if (signal.aborted) {
			this.#options.localExecutor.abandonTransaction(transactionIdentifier);
		} else {
			transactions.add(transactionIdentifier);
			this.#transactionsByPeer.set(peer, transactions);
		}
	}

	#abandonTransactionsOf(host: string): void {
		for (const identifier of this.#transactionsByPeer.get(host) ?? []) {
			this.#options.localExecutor.abandonTransaction(identifier);
		}

		this.#transactionsByPeer.delete(host);
	}

	async #submitToPeer(ownerHost: string, request: UpstreamRequest, sink: ResponseSink, signal: AbortSignal): Promise<UpstreamResult> {
		const assembler = new ChunkAssembler();
		let hasWritten = false;
		const reply = await this.#options.peerNetwork.call(ownerHost, PeerMessageKind.SubmitRequest, request, {
			timeoutMilliseconds: request.timeoutMilliseconds + replyMarginMilliseconds,
			signal,
			// A read outside a transaction can be repeated elsewhere.
			survivesSilence: request.kind !== RequestKind.Read || request.transactionIdentifier !== undefined,
			async onChunk(chunk) {
				const messages = assembler.push(chunk);
				if (messages) {
					hasWritten = true;
					await sink.write(messages);
				}
			},
		});
		if (reply.isErr()) {
			return this.#createFailureResult(request, reply.error, hasWritten);
		}

		const result = upstreamResultSchema.safeParse(reply.value);
		if (!result.success) {
			return this.#createFailureResult(request, {verdict: Verdict.MayHaveRun, message: `host "${ownerHost}" sent an invalid result`}, hasWritten);
		}

		return result.data;
	}

	#createFailureResult(request: UpstreamRequest, error: PeerError, hasWritten: boolean): UpstreamResult {
		// A read has no side effects, so it counts as not run unless the caller has already received part of its response.
		const isSafeToRetry = request.kind === RequestKind.Read && !hasWritten;
		const verdict = isSafeToRetry ? Verdict.NotRun : error.verdict;
		if (verdict !== Verdict.NotRun) {
			this.#options.metrics.increment(MetricName.RequestOutcomeUnknown, 1, {customer: request.customer, rank: request.rank});
		}

		return {
			verdict,
			transactionStatus: TransactionStatus.Idle,
			refusal: {
				reason: verdict === Verdict.NotRun ? RefusalReason.NoUpstream : RefusalReason.OutcomeUnknown,
				message: `the request to instance "${request.upstream}" failed: ${error.message}`,
			},
		};
	}
}
