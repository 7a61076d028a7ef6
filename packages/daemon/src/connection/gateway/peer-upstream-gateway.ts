import {
	MetricName, RefusalReason, RequestKind, TransactionStatus, Verdict,
	type Metrics, type ResponseSink, type UpstreamRequest, type UpstreamResult,
} from '@tarragonstack/core';
import {type InstanceExecutor, type UpstreamGateway} from '../../request/instance-executor.js';
import {createNotRunResult} from '../../request/routing/refusals.js';
import {PeerMessageKind, type PeerCallContext, type PeerError, type PeerNetwork} from '../peer-network.js';
import {ChunkAssembler, splitIntoChunks} from './chunk-assembler.js';
import {identifierSchema, upstreamRequestSchema, upstreamResultSchema} from './upstream-messages.js';

/** Time beyond the request's own time limit for which the reply of the owner is awaited, in milliseconds. */
const replyMarginMilliseconds = 100;

/**
 * Greatest length of a request's messages, in bytes. A request travels in one frame between hosts, which holds 1 MiB. The
 * same limit applies on the owner itself, so that a statement does not fail only at some hosts.
 */
const maximumRequestBytes = 1_000_000;

/** What the gateway depends on. */
export type PeerUpstreamGatewayOptions = {
	/** Name of this host. */
	readonly ownName: string;
	readonly localExecutor: InstanceExecutor;
	readonly peerNetwork: PeerNetwork;
	readonly metrics: Metrics;
	/** Subscribes to the loss of the last link to a peer. */
	readonly subscribeToLostPeers: (listener: (host: string) => void) => Disposable;
};

/** Sends requests to the owner of an instance: to the local executor or over a peer link. */
export class PeerUpstreamGateway implements UpstreamGateway, Disposable {
	readonly #options: PeerUpstreamGatewayOptions;
	/** Open transactions on this host's instances, by the entry host that began them. */
	readonly #transactionsByPeer = new Map<string, Set<string>>();
	#subscription: Disposable | undefined;

	/**
	 * @param options - What the gateway depends on.
	 */
	constructor(options: PeerUpstreamGatewayOptions) {
		this.#options = options;
	}

	/** Registers the handlers for the requests of other hosts. */
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

	/** Ends the subscription to lost peers. */
	[Symbol.dispose](): void {
		this.#subscription?.[Symbol.dispose]();
	}

	/** The signal of a request ends with the request, so the loss of a peer between two units has to be noticed here. */
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
		// A read has no effect, so it counts as not run unless the caller already received a part of its response.
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
