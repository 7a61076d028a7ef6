import {
	AcknowledgementMode, createMetrics, Rank, RefusalReason, RequestKind, TransactionStatus, Verdict,
	type UpstreamRequest, type UpstreamResult,
} from '@tarragonstack/core';
import {err, ok, type Result} from 'neverthrow';
import {describe, expect, it} from 'vitest';
import {
	PeerMessageKind, PeerUpstreamGateway, splitIntoChunks,
	type InstanceExecutor, type PeerCallOptions, type PeerError, type PeerHandler, type PeerNetwork,
} from '../../../src/index.js';

const ran: UpstreamResult = {verdict: Verdict.Ran, transactionStatus: TransactionStatus.Idle};

const request: UpstreamRequest = {
	requestIdentifier: 'r1', customer: 'c', rank: Rank.Urgent, group: 'g', upstream: 'i', kind: RequestKind.Write, messages: Buffer.from('Q'),
	hiddenParseCompletes: [], beginsTransaction: false, targetMilliseconds: 100, timeoutMilliseconds: 1000, lateRefund: 1, refusedRefund: 1,
	customerWeight: 1, floorShare: 0, catchUpMilliseconds: 20, acknowledgement: AcknowledgementMode.Fenced, configurationVersion: 1,
};

type Reply = (options: PeerCallOptions) => Promise<Result<unknown, PeerError>>;

function createGateway(reply: Reply, localExecutor: Partial<InstanceExecutor> = {}) {
	const handlers = new Map<PeerMessageKind, PeerHandler>();
	const peerNetwork: PeerNetwork = {
		call: async (_host, _kind, _body, options) => reply(options),
		notify() {},
		handle(kind, handler) {
			handlers.set(kind, handler);
		},
	};
	const lostPeerListeners: Array<(host: string) => void> = [];
	const gateway = new PeerUpstreamGateway({
		ownName: 'self',
		localExecutor: localExecutor as InstanceExecutor,
		peerNetwork,
		metrics: createMetrics(),
		subscribeToLostPeers(listener) {
			lostPeerListeners.push(listener);
			return {[Symbol.dispose]() {}};
		},
	});
	return {gateway, handlers, lostPeerListeners};
}

async function submit(gateway: PeerUpstreamGateway, change: Partial<UpstreamRequest>) {
	const received: Uint8Array[] = [];
	const result = await gateway.submit('peer', {...request, ...change}, {
		async write(messages) {
			received.push(messages);
		},
	}, new AbortController().signal);
	return {result, received: Buffer.concat(received)};
}

describe('PeerUpstreamGateway', () => {
	const lost: Reply = async () => err({verdict: Verdict.MayHaveRun, message: 'link lost'});
	const notSent: Reply = async () => err({verdict: Verdict.NotRun, message: 'link down'});
	const lostAfterRows: Reply = async options => {
		await options.onChunk?.(splitIntoChunks(Buffer.from('row'))[0]!);
		return err({verdict: Verdict.MayHaveRun, message: 'link lost'});
	};

	it.each([
		{guards: 'a second run of a write whose reply was lost', reply: lost, kind: RequestKind.Write, verdict: Verdict.MayHaveRun},
		{guards: 'an unknown outcome for a write that was never sent', reply: notSent, kind: RequestKind.Write, verdict: Verdict.NotRun},
		{guards: 'an unknown outcome for a read that can be retried', reply: lost, kind: RequestKind.Read, verdict: Verdict.NotRun},
		{guards: 'rows of a read that are delivered twice', reply: lostAfterRows, kind: RequestKind.Read, verdict: Verdict.MayHaveRun},
		{guards: 'a malformed result from a peer', reply: async () => ok({verdict: 'maybe'}), kind: RequestKind.Write, verdict: Verdict.MayHaveRun},
	])('guards against $guards', async ({reply, kind, verdict}) => {
		const {gateway} = createGateway(reply);
		const {result} = await submit(gateway, {kind});
		expect(result.verdict).toBe(verdict);
		expect(result.refusal?.reason).toBe(verdict === Verdict.NotRun ? RefusalReason.NoUpstream : RefusalReason.OutcomeUnknown);
	});

	it('forwards a response that is larger than a chunk', async () => {
		const rows = Buffer.alloc(200_000, 'r');
		const {gateway} = createGateway(async options => {
			for (const chunk of splitIntoChunks(rows)) {
				await options.onChunk?.(chunk);
			}

			return ok(ran);
		});
		const {result, received} = await submit(gateway, {});
		expect(result).toEqual(ran);
		expect(received.equals(rows)).toBe(true);
	});

	it('refuses a statement that exceeds a frame, with the verdict not run', async () => {
		const {gateway} = createGateway(lost);
		const {result} = await submit(gateway, {messages: Buffer.alloc(1_000_001)});
		expect(result).toMatchObject({verdict: Verdict.NotRun, refusal: {reason: RefusalReason.TooLong}});
	});

	it.each([
		{guards: 'a transaction that keeps its connection after its entry host was lost', status: TransactionStatus.InTransaction, lost: 'p', abandoned: ['t1']},
		{guards: 'a rollback because another host was lost', status: TransactionStatus.InTransaction, lost: 'q', abandoned: []},
		{guards: 'a rollback of a transaction that has already ended', status: TransactionStatus.Idle, lost: 'p', abandoned: []},
	])('guards against $guards', async ({status, lost, abandoned}) => {
		const seen: string[] = [];
		const {gateway, handlers, lostPeerListeners} = createGateway(notSent, {
			submit: async () => ({verdict: Verdict.Ran, transactionStatus: status}),
			abandonTransaction(identifier) {
				seen.push(identifier);
			},
		});
		gateway.register();
		const context = {peer: 'p', signal: new AbortController().signal, async write() {}};
		const unit = {...request, kind: RequestKind.Transaction, transactionIdentifier: 't1', beginsTransaction: true};
		await handlers.get(PeerMessageKind.SubmitRequest)!(unit, context);
		lostPeerListeners[0]!(lost);
		expect(seen).toEqual(abandoned);
	});

	it('rejects a malformed request from a peer before it reaches the executor', async () => {
		const {gateway, handlers} = createGateway(lost);
		gateway.register();
		const context = {peer: 'p', signal: new AbortController().signal, async write() {}};
		await expect(handlers.get(PeerMessageKind.SubmitRequest)!({...request, rank: 'first'}, context)).rejects.toThrow('rank');
	});
});
