import {
	AcknowledgementMode, Rank, RefusalReason, RequestKind, SystemTimerService, TransactionStatus, Verdict,
	type LogPosition, type ResponseSink, type UpstreamRequest,
} from '@tarragonstack/core';
import {err, ok} from 'neverthrow';
import {serialize} from 'pg-protocol';
import {describe, expect, it, vi} from 'vitest';
import {UpstreamConnection} from '../../src/connection/upstream/upstream-connection.js';
import {UpstreamPool} from '../../src/connection/upstream/upstream-pool.js';
import {InstanceScheduler} from '../../src/process/instance-scheduler.js';
import {InstanceRole, type GroupView, type PrimaryView} from '../../src/request/group-view.js';
import {SchedulingPolicy} from '../../src/request/scheduling/scheduling-policy.js';
import {ConfirmationError, type ConfirmationOptions} from '../../src/request/term-confirmation.js';
import {commandComplete, errorResponse, FakePostgresServer} from '../connection/upstream/fake-postgres-server.js';

type Harness = AsyncDisposable & {
	readonly server: FakePostgresServer;
	readonly scheduler: InstanceScheduler;
	readonly pool: UpstreamPool;
	readonly confirmations: ConfirmationOptions[];
	confirmationError: ConfirmationError | undefined;
	primary: PrimaryView | undefined;
	position: LogPosition;
};

async function createHarness({slots = 2, connectionLimit = 16, extraStatements = 0}: {slots?: number; connectionLimit?: number; extraStatements?: number} = {}): Promise<Harness> {
	const server = await FakePostgresServer.start();
	const timerService = new SystemTimerService();
	const pool = new UpstreamPool({
		timerService, slots, connectionLimit, open: () => UpstreamConnection.open({
			host: '127.0.0.1', port: server.port, localAddress: '127.0.0.1', user: 'u', password: 'p', database: 'd', timeoutMilliseconds: 2000,
		}),
	});
	const confirmations: ConfirmationOptions[] = [];
	const groupView: GroupView = {
		getPrimary: () => harness.primary,
		getStatus: instance => ({
			instance,
			role: InstanceRole.Primary,
			term: 3,
			promoter: '',
			position: harness.position,
			termStartIndex: 0,
			primarySilenceMilliseconds: 0,
			primaryAddress: '',
			slots,
			connectionLimit,
			observedAt: 0,
		}),
		learnPrimary() {},
		subscribe: () => ({[Symbol.dispose]() {}}),
	};
	const scheduler = new InstanceScheduler({
		instance: 'db-1',
		group: 'db',
		slots,
		connectionLimit,
		policy: SchedulingPolicy.RefundPerSlotTime,
		timerService,
		groupView,
		termConfirmation: {
			async confirm(_group, _primary, options) {
				confirmations.push(options);
				return harness.confirmationError === undefined ? ok({term: 3, index: 42}) : err(harness.confirmationError);
			},
		},
		pool,
		extraStatements,
	});
	const harness: Harness = {
		server,
		scheduler,
		pool,
		confirmations,
		confirmationError: undefined,
		primary: {instance: 'db-1', term: 3},
		position: {term: 3, index: 10},
		async [Symbol.asyncDispose]() {
			await scheduler[Symbol.asyncDispose]();
			await server[Symbol.asyncDispose]();
		},
	};
	return harness;
}

let nextIdentifier = 1;

function createRequest(text: string, overrides: Partial<UpstreamRequest> = {}): UpstreamRequest {
	return {
		requestIdentifier: `request-${nextIdentifier++}`,
		customer: 'ronquido',
		rank: Rank.Urgent,
		group: 'db',
		upstream: 'db-1',
		kind: RequestKind.Read,
		messages: serialize.query(text),
		hiddenParseCompletes: [],
		beginsTransaction: false,
		targetMilliseconds: 1000,
		timeoutMilliseconds: 5000,
		lateRefund: 1,
		refusedRefund: 1,
		customerWeight: 1,
		floorShare: 0.2,
		catchUpMilliseconds: 500,
		acknowledgement: AcknowledgementMode.Replicated,
		configurationVersion: 1,
		...overrides,
	};
}

function createSink(): {sink: ResponseSink; received: () => Buffer} {
	const chunks: Uint8Array[] = [];
	return {
		sink: {
			async write(bytes) {
				chunks.push(bytes);
			},
		},
		received: () => Buffer.concat(chunks),
	};
}

const neverAborted = new AbortController().signal;

describe('InstanceScheduler', () => {
	it('runs a read and reports the load', async () => {
		await using harness = await createHarness();
		const {sink, received} = createSink();
		const result = await harness.scheduler.submit(createRequest('rows 2 10'), sink, neverAborted);
		expect(result).toMatchObject({verdict: Verdict.Ran, transactionStatus: TransactionStatus.Idle});
		expect(result.load?.position).toEqual({term: 3, index: 10});
		expect(Object.keys(result.load!.expectedWaitMilliseconds)).toHaveLength(3);
		expect(received().subarray(-commandComplete('SELECT 2').length)).toEqual(commandComplete('SELECT 2'));
		expect(harness.confirmations).toEqual([]);
	});

	it('forwards the completion of a write with its position after the term was confirmed', async () => {
		await using harness = await createHarness();
		const {sink, received} = createSink();
		const result = await harness.scheduler.submit(createRequest('INSERT', {kind: RequestKind.Write}), sink, neverAborted);
		expect(result).toMatchObject({verdict: Verdict.Ran, position: {term: 3, index: 42}});
		expect(received()).toEqual(commandComplete('INSERT'));
		expect(harness.confirmations).toMatchObject([{expectedTerm: 3, replicated: true}]);
	});

	it('does not acknowledge a write of a replaced primary', async () => {
		await using harness = await createHarness();
		harness.confirmationError = ConfirmationError.Replaced;
		const {sink, received} = createSink();
		const result = await harness.scheduler.submit(createRequest('INSERT', {kind: RequestKind.Write}), sink, neverAborted);
		expect(result).toMatchObject({verdict: Verdict.MayHaveRun, refusal: {reason: RefusalReason.OutcomeUnknown}});
		expect(received().length).toBe(0);
	});

	it.each([
		{
			text: 'INSERT', kind: RequestKind.Write, primary: 'db-2', reason: RefusalReason.NotPrimary, verdict: Verdict.NotRun,
			guards: 'a write that is sent to a replica',
		},
		{
			text: 'fail 25006', kind: RequestKind.Write, primary: 'db-1', reason: RefusalReason.NotPrimary, verdict: Verdict.NotRun,
			guards: 'a write that is not retried at the new primary',
		},
		{
			text: 'drop', kind: RequestKind.Write, primary: 'db-1', reason: RefusalReason.OutcomeUnknown, verdict: Verdict.MayHaveRun,
			guards: 'a write that is run twice',
		},
		{
			text: 'drop', kind: RequestKind.Read, primary: 'db-1', reason: RefusalReason.NoUpstream, verdict: Verdict.NotRun,
			guards: 'a read that is not retried',
		},
		{
			text: 'drop after rows', kind: RequestKind.Read, primary: 'db-1', reason: RefusalReason.OutcomeUnknown, verdict: Verdict.MayHaveRun,
			guards: 'a read whose rows are sent twice',
		},
	])('answers "$text" ($kind) with $reason, against $guards', async ({text, kind, primary, reason, verdict}) => {
		await using harness = await createHarness();
		harness.primary = {instance: primary, term: 3};
		const result = await harness.scheduler.submit(createRequest(text, {kind}), createSink().sink, neverAborted);
		expect(result).toMatchObject({verdict, refusal: {reason}});
	});

	it('forwards the error of a failed write without confirming the term', async () => {
		await using harness = await createHarness();
		const {sink, received} = createSink();
		const result = await harness.scheduler.submit(createRequest('fail 23514', {kind: RequestKind.Write}), sink, neverAborted);
		expect(result.verdict).toBe(Verdict.Ran);
		expect(result.refusal).toBeUndefined();
		expect(received()).toEqual(errorResponse('23514'));
		expect(harness.confirmations).toEqual([]);
	});

	it.each([
		{
			minimum: {term: 3, index: 10}, verdict: Verdict.Ran, guards: 'an unnecessary wait',
		},
		{
			minimum: {term: 2, index: 99}, verdict: Verdict.Ran, guards: 'a position of an older term that counts as not reached',
		},
		{
			minimum: {term: 3, index: 11}, verdict: Verdict.NotRun, guards: 'a stale read',
		},
		{
			minimum: {term: 4, index: 1}, verdict: Verdict.NotRun, guards: 'a read that misses a newer term',
		},
	])('answers a read at $minimum with $verdict, against $guards', async ({minimum, verdict}) => {
		await using harness = await createHarness();
		harness.primary = {instance: 'db-2', term: 3};
		const request = createRequest('rows 1 1', {minimumPosition: minimum, targetMilliseconds: 60});
		const result = await harness.scheduler.submit(request, createSink().sink, neverAborted);
		expect(result.verdict).toBe(verdict);
		expect(result.refusal?.reason).toBe(verdict === Verdict.Ran ? undefined : RefusalReason.ReplicaBehind);
	});

	it('delays a read until the replica has caught up', async () => {
		await using harness = await createHarness();
		harness.primary = {instance: 'db-2', term: 3};
		const running = harness.scheduler.submit(createRequest('rows 1 1', {minimumPosition: {term: 3, index: 12}}), createSink().sink, neverAborted);
		harness.position = {term: 3, index: 12};
		expect(await running).toMatchObject({verdict: Verdict.Ran});
	});

	it.each([
		{extraStatements: 0, limit: 2, guards: 'statements that queue inside the instance, where ranks have no effect'},
		{extraStatements: 1, limit: 3, guards: 'more than one extra statement, which hides the round trip'},
	])('dispatches at most $limit statements to 2 slots, against $guards', async ({extraStatements, limit}) => {
		await using harness = await createHarness({slots: 2, extraStatements});
		const requests = Array.from({length: 5}, () => harness.scheduler.submit(createRequest('wait'), createSink().sink, neverAborted));
		await vi.waitFor(() => {
			expect(harness.server.waitingCount).toBe(limit);
		});
		const answered = Promise.all(requests);
		for (let round = 0; round < Math.ceil(requests.length / limit); round++) {
			await vi.waitFor(() => {
				expect(harness.server.waitingCount).toBeGreaterThan(0);
			});
			expect(harness.server.waitingCount).toBeLessThanOrEqual(limit);
			harness.server.releaseWaiting();
		}

		const results = await answered;
		expect(results.every(result => result.verdict === Verdict.Ran)).toBe(true);
	});

	it('drops a queued request when its signal is aborted', async () => {
		await using harness = await createHarness({slots: 1});
		const first = harness.scheduler.submit(createRequest('wait'), createSink().sink, neverAborted);
		const controller = new AbortController();
		const second = harness.scheduler.submit(createRequest('INSERT'), createSink().sink, controller.signal);
		controller.abort();
		expect(await second).toMatchObject({verdict: Verdict.NotRun, refusal: {reason: RefusalReason.DeadlineExceeded}});
		await vi.waitFor(() => {
			expect(harness.server.waitingCount).toBe(1);
		});
		harness.server.releaseWaiting();
		await first;
		expect(harness.server.log.map(({text}) => text)).toEqual(['wait']);
	});

	it('cancels a statement on request and when its time limit passes, so that it releases its slot', async () => {
		await using harness = await createHarness({slots: 1});
		const request = createRequest('hang');
		const {sink, received} = createSink();
		const running = harness.scheduler.submit(request, sink, neverAborted);
		await vi.waitFor(() => {
			expect(harness.server.log).toHaveLength(1);
		});
		harness.scheduler.cancel(request.requestIdentifier);
		expect(await running).toMatchObject({verdict: Verdict.Ran});
		expect(received()).toEqual(errorResponse('57014'));
		const limited = await harness.scheduler.submit(createRequest('hang', {timeoutMilliseconds: 50, targetMilliseconds: 40}), createSink().sink, neverAborted);
		expect(limited.verdict).toBe(Verdict.Ran);
		expect(harness.server.cancelledProcesses).toHaveLength(2);
	});
});

describe('InstanceScheduler with a receiver that does not accept the response', () => {
	it.each([
		{text: 'rows 1 10', guards: 'a slot that is never released after a complete response'},
		{text: 'rows 5000 1000', guards: 'a slot that is never released during a response'},
	])('ends "$text" after its time limit, against $guards', async ({text}) => {
		await using harness = await createHarness({slots: 1});
		const stalledSink = {write: () => new Promise<void>(() => {})};
		// The limit contains the login. A request whose limit passes before the login is refused as not run.
		const limit = {targetMilliseconds: 1000, timeoutMilliseconds: 1000};
		const result = await harness.scheduler.submit(createRequest(text, limit), stalledSink, neverAborted);
		expect(result).toMatchObject({verdict: Verdict.MayHaveRun, refusal: {reason: RefusalReason.OutcomeUnknown}});
		const next = await harness.scheduler.submit(createRequest('rows 1 1'), createSink().sink, neverAborted);
		expect(next.verdict).toBe(Verdict.Ran);
	});
});

describe('InstanceScheduler with transactions', () => {
	const transaction = {kind: RequestKind.Transaction, transactionIdentifier: 'transaction-1'};

	it('runs all units on one connection, confirms the commit and reuses the connection', async () => {
		await using harness = await createHarness();
		const {sink, received} = createSink();
		const begun = await harness.scheduler.submit(createRequest('BEGIN', {...transaction, beginsTransaction: true}), sink, neverAborted);
		expect(begun).toMatchObject({verdict: Verdict.Ran, transactionStatus: TransactionStatus.InTransaction});
		await harness.scheduler.submit(createRequest('rows 1 1'), createSink().sink, neverAborted);
		await harness.scheduler.submit(createRequest('INSERT', transaction), sink, neverAborted);
		expect(harness.confirmations).toEqual([]);
		const committed = await harness.scheduler.submit(createRequest('COMMIT', transaction), sink, neverAborted);
		expect(committed).toMatchObject({verdict: Verdict.Ran, transactionStatus: TransactionStatus.Idle, position: {term: 3, index: 42}});
		expect(received()).toEqual(Buffer.concat(['BEGIN', 'INSERT', 'COMMIT'].map(tag => commandComplete(tag))));
		const processes = new Map(harness.server.log.map(({text, process}) => [text, process]));
		expect(processes.get('INSERT')).toBe(processes.get('BEGIN'));
		expect(processes.get('COMMIT')).toBe(processes.get('BEGIN'));
		expect(processes.get('rows 1 1')).not.toBe(processes.get('BEGIN'));
		expect(harness.scheduler.transactionCount).toBe(0);
	});

	it('rolls back an abandoned transaction and refuses its later units as not run', async () => {
		await using harness = await createHarness();
		await harness.scheduler.submit(createRequest('BEGIN', {...transaction, beginsTransaction: true}), createSink().sink, neverAborted);
		harness.scheduler.abandonTransaction('transaction-1');
		await vi.waitFor(() => {
			expect(harness.server.log.at(-1)?.text).toBe('ROLLBACK');
		});
		const late = await harness.scheduler.submit(createRequest('COMMIT', transaction), createSink().sink, neverAborted);
		expect(late).toMatchObject({verdict: Verdict.NotRun, transactionStatus: TransactionStatus.Idle});
	});

	it('limits the connections of open transactions, so that other requests have one per slot', async () => {
		await using harness = await createHarness({slots: 2, connectionLimit: 16});
		expect(harness.pool.capacity).toBe(5);
		const begin = (index: number) => harness.scheduler.submit(
			createRequest('BEGIN', {
				kind: RequestKind.Transaction, transactionIdentifier: `t${index}`, beginsTransaction: true, timeoutMilliseconds: 100, targetMilliseconds: 100,
			}),
			createSink().sink,
			neverAborted,
		);
		const results = await Promise.all([1, 2, 3, 4].map(index => begin(index)));
		expect(results.filter(({verdict}) => verdict === Verdict.Ran)).toHaveLength(3);
		expect(results.find(({verdict}) => verdict === Verdict.NotRun)?.refusal?.reason).toBe(RefusalReason.Overloaded);
		const reads = await Promise.all([1, 2].map(() => harness.scheduler.submit(createRequest('rows 1 1'), createSink().sink, neverAborted)));
		expect(reads.every(({verdict}) => verdict === Verdict.Ran)).toBe(true);
	});

	it('reports a lost connection and ends the transaction', async () => {
		await using harness = await createHarness();
		await harness.scheduler.submit(createRequest('BEGIN', {...transaction, beginsTransaction: true}), createSink().sink, neverAborted);
		const lost = await harness.scheduler.submit(createRequest('drop', transaction), createSink().sink, neverAborted);
		expect(lost).toMatchObject({verdict: Verdict.MayHaveRun, transactionStatus: TransactionStatus.Idle});
		expect(harness.scheduler.transactionCount).toBe(0);
	});
});

describe('InstanceScheduler with idempotency keys', () => {
	const keyed = {kind: RequestKind.Write, idempotencyKey: 'key-1'};

	it('answers a repeated request with the stored first response and does not run it again', async () => {
		await using harness = await createHarness();
		const first = createSink();
		const second = createSink();
		expect(await harness.scheduler.submit(createRequest('INSERT', keyed), first.sink, neverAborted)).toMatchObject({verdict: Verdict.Ran});
		expect(await harness.scheduler.submit(createRequest('INSERT', keyed), second.sink, neverAborted)).toMatchObject({verdict: Verdict.Ran});
		expect(first.received()).toEqual(commandComplete('INSERT'));
		expect(second.received()).toEqual(first.received());
		expect(harness.server.log.filter(({text}) => text === 'INSERT')).toHaveLength(1);
		expect(harness.confirmations).toHaveLength(2);
	});

	it('does not run a repeated request concurrently with the first one', async () => {
		await using harness = await createHarness();
		const both = [createSink(), createSink()];
		const running = both.map(({sink}) => harness.scheduler.submit(createRequest('wait', keyed), sink, neverAborted));
		await vi.waitFor(() => {
			expect(harness.server.waitingCount).toBe(1);
		});
		harness.server.releaseWaiting();
		const results = await Promise.all(running);
		expect(results.map(({verdict}) => verdict)).toEqual([Verdict.Ran, Verdict.Ran]);
		expect(harness.server.log.filter(({text}) => text === 'wait')).toHaveLength(1);
		expect(both[1]!.received()).toEqual(both[0]!.received());
	});

	it('distinguishes equal keys of two customers', async () => {
		await using harness = await createHarness();
		await harness.scheduler.submit(createRequest('INSERT', keyed), createSink().sink, neverAborted);
		await harness.scheduler.submit(createRequest('INSERT', {...keyed, customer: 'edredon'}), createSink().sink, neverAborted);
		expect(harness.server.log.filter(({text}) => text === 'INSERT')).toHaveLength(2);
	});

	it('commits a request whose response is too large to store, and refuses its repetition', async () => {
		await using harness = await createHarness();
		const {sink, received} = createSink();
		expect(await harness.scheduler.submit(createRequest('rows 100 1000', keyed), sink, neverAborted)).toMatchObject({verdict: Verdict.Ran});
		expect(received().length).toBeGreaterThan(100_000);
		const resent = await harness.scheduler.submit(createRequest('rows 100 1000', keyed), createSink().sink, neverAborted);
		expect(resent).toMatchObject({verdict: Verdict.NotRun, refusal: {reason: RefusalReason.DuplicateKey}});
	});

	it('rolls back a failed request, so that it can be repeated', async () => {
		await using harness = await createHarness();
		const {sink, received} = createSink();
		const failed = await harness.scheduler.submit(createRequest('fail 23514', keyed), sink, neverAborted);
		expect(failed).toMatchObject({verdict: Verdict.Ran, transactionStatus: TransactionStatus.Idle});
		expect(received()).toEqual(errorResponse('23514'));
		expect(harness.server.storedResponses.size).toBe(0);
		expect(await harness.scheduler.submit(createRequest('INSERT', keyed), createSink().sink, neverAborted)).toMatchObject({verdict: Verdict.Ran});
	});

	it('reserves the key of an explicit transaction after BEGIN, and refuses a repeated transaction', async () => {
		await using harness = await createHarness();
		const begin = (identifier: string) => createRequest('BEGIN', {
			...keyed, kind: RequestKind.Transaction, transactionIdentifier: identifier, beginsTransaction: true,
		});
		await harness.scheduler.submit(begin('t1'), createSink().sink, neverAborted);
		await harness.scheduler.submit(createRequest('COMMIT', {kind: RequestKind.Transaction, transactionIdentifier: 't1'}), createSink().sink, neverAborted);
		const {sink, received} = createSink();
		const resent = await harness.scheduler.submit(begin('t2'), sink, neverAborted);
		expect(resent).toMatchObject({
			verdict: Verdict.NotRun, transactionStatus: TransactionStatus.Idle, refusal: {reason: RefusalReason.DuplicateKey},
		});
		expect(received().length).toBe(0);
		expect(harness.scheduler.transactionCount).toBe(0);
	});
});
