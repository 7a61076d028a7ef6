import {
	AcknowledgementMode, configurationSchema, Rank, RefusalReason, RequestKind, SystemTimerService, TransactionStatus, Verdict,
	type UpstreamRequest,
} from '@tarragonstack/core';
import {ok} from 'neverthrow';
import {serialize} from 'pg-protocol';
import {describe, expect, it, vi} from 'vitest';
import {UpstreamConnection} from '../../src/connection/upstream/upstream-connection.js';
import {UpstreamPool} from '../../src/connection/upstream/upstream-pool.js';
import {InstanceExecutors} from '../../src/process/instance-executors.js';
import {SchedulingPolicy} from '../../src/request/scheduling/scheduling-policy.js';
import {type ConfigurationSnapshot} from '../../src/version/configuration-store.js';
import {FakePostgresServer} from '../connection/upstream/fake-postgres-server.js';

function createSnapshot(leaving: readonly string[]): ConfigurationSnapshot {
	const configuration = configurationSchema.parse({
		version: 1,
		changeIdentifier: 'change',
		author: 'test',
		time: '2026-01-01T00:00:00Z',
		contracts: [],
		groups: [{
			name: 'db',
			instances: ['db-1', 'db-2'].map(name => ({
				name, address: '127.0.0.1:5432', availabilityZone: 'a', slots: 2, connectionLimit: 16, leaving: leaving.includes(name),
			})),
		}],
	});
	const [group] = configuration.groups;
	return {
		configuration,
		version: 1,
		getContract: () => undefined,
		getContractOfUser: () => undefined,
		getGroup: () => group,
		getInstance(name) {
			const instance = group!.instances.find(candidate => candidate.name === name);
			return instance && {group: group!, instance};
		},
	};
}

async function createHarness() {
	const server = await FakePostgresServer.start();
	const timerService = new SystemTimerService();
	const listeners = new Set<() => void>();
	const state = {owned: ['db-1'], snapshot: createSnapshot([])};
	const subscribe = (listener: () => void) => {
		listeners.add(listener);
		return {
			[Symbol.dispose]() {
				listeners.delete(listener);
			},
		};
	};

	const executors = new InstanceExecutors({
		ownershipTable: {getOwnedInstances: () => state.owned, subscribe},
		configurationStore: {getCurrent: () => state.snapshot, subscribe: listener => subscribe(() => {
			listener(state.snapshot);
		})},
		groupView: {
			getPrimary: () => ({instance: 'db-1', term: 1}),
			getStatus: () => undefined,
			learnPrimary() {},
			subscribe: () => ({[Symbol.dispose]() {}}),
		},
		termConfirmation: {confirm: async () => ok({term: 1, index: 1})},
		timerService,
		policy: SchedulingPolicy.RefundPerSlotTime,
		extraStatements: 0,
		createPool: ({instance}) => new UpstreamPool({
			timerService,
			slots: instance.slots,
			connectionLimit: instance.connectionLimit,
			open: () => UpstreamConnection.open({
				host: '127.0.0.1', port: server.port, localAddress: '127.0.0.1', user: 'u', password: 'p', database: 'd', timeoutMilliseconds: 2000,
			}),
		}),
	});
	return {
		server,
		executors,
		change(change: Partial<typeof state>) {
			Object.assign(state, change);
			for (const listener of listeners) {
				listener();
			}
		},
		async [Symbol.asyncDispose]() {
			await executors[Symbol.asyncDispose]();
			await server[Symbol.asyncDispose]();
		},
	};
}

let nextIdentifier = 1;

function createRequest(text: string, overrides: Partial<UpstreamRequest> = {}): UpstreamRequest {
	return {
		requestIdentifier: `request-${nextIdentifier++}`,
		customer: 'a',
		rank: Rank.Middle,
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
		floorShare: 0,
		catchUpMilliseconds: 500,
		acknowledgement: AcknowledgementMode.Fenced,
		configurationVersion: 1,
		...overrides,
	};
}

const sink = {async write() {}};
const neverAborted = new AbortController().signal;

describe('InstanceExecutors', () => {
	it('refuses requests for an instance that this host does not own', async () => {
		await using harness = await createHarness();
		const result = await harness.executors.submit(createRequest('rows 1 1', {upstream: 'db-2'}), sink, neverAborted);
		expect(result).toMatchObject({verdict: Verdict.NotRun, refusal: {reason: RefusalReason.NotOwner}});
	});

	it('finishes running and queued requests after the ownership ended, refuses new requests and closes the connections', async () => {
		await using harness = await createHarness();
		const running = ['wait', 'wait', 'wait'].map(text => harness.executors.submit(createRequest(text), sink, neverAborted));
		await vi.waitFor(() => {
			expect(harness.server.waitingCount).toBe(2);
		});
		harness.change({owned: []});
		const refused = await harness.executors.submit(createRequest('rows 1 1'), sink, neverAborted);
		expect(refused.refusal?.reason).toBe(RefusalReason.NotOwner);
		harness.server.releaseWaiting();
		await vi.waitFor(() => {
			expect(harness.server.waitingCount).toBe(1);
		});
		harness.server.releaseWaiting();
		const results = await Promise.all(running);
		expect(results.map(({verdict}) => verdict)).toEqual([Verdict.Ran, Verdict.Ran, Verdict.Ran]);
		await vi.waitFor(() => {
			expect(harness.server.openCount).toBe(0);
		});
	});

	it('keeps an open transaction on this host after the ownership ended', async () => {
		await using harness = await createHarness();
		const transaction = {kind: RequestKind.Transaction, transactionIdentifier: 't'};
		await harness.executors.submit(createRequest('BEGIN', {...transaction, beginsTransaction: true}), sink, neverAborted);
		harness.change({owned: []});
		const result = await harness.executors.submit(createRequest('COMMIT', transaction), sink, neverAborted);
		expect(result).toMatchObject({verdict: Verdict.Ran, transactionStatus: TransactionStatus.Idle});
	});

	it('refuses new requests for a leaving instance unless all instances of its group are leaving', async () => {
		await using harness = await createHarness();
		harness.change({snapshot: createSnapshot(['db-1'])});
		const refused = await harness.executors.submit(createRequest('rows 1 1'), sink, neverAborted);
		expect(refused).toMatchObject({verdict: Verdict.NotRun, refusal: {reason: RefusalReason.NoUpstream}});
		harness.change({snapshot: createSnapshot(['db-1', 'db-2'])});
		const accepted = await harness.executors.submit(createRequest('rows 1 1'), sink, neverAborted);
		expect(accepted.verdict).toBe(Verdict.Ran);
	});

	it('finishes requests in progress while draining and refuses new ones as stopping', async () => {
		await using harness = await createHarness();
		const running = harness.executors.submit(createRequest('wait'), sink, neverAborted);
		await vi.waitFor(() => {
			expect(harness.server.waitingCount).toBe(1);
		});
		const drained = harness.executors.drain();
		const refused = await harness.executors.submit(createRequest('rows 1 1'), sink, neverAborted);
		expect(refused.refusal?.reason).toBe(RefusalReason.Stopping);
		harness.server.releaseWaiting();
		expect(await running).toMatchObject({verdict: Verdict.Ran});
		await drained;
	});

	it('does not exceed the slots when the ownership returns while earlier requests are still running', async () => {
		await using harness = await createHarness();
		const submitAll = () => ['wait', 'wait'].map(text => harness.executors.submit(createRequest(text), sink, neverAborted));
		const running = submitAll();
		await vi.waitFor(() => {
			expect(harness.server.waitingCount).toBe(2);
		});
		harness.change({owned: []});
		harness.change({owned: ['db-1']});
		running.push(...submitAll());
		await harness.executors.submit(createRequest('rows 1 1', {timeoutMilliseconds: 50}), sink, neverAborted);
		expect(harness.server.waitingCount).toBe(2);
		harness.server.releaseWaiting();
		await vi.waitFor(() => {
			expect(harness.server.waitingCount).toBe(2);
		});
		harness.server.releaseWaiting();
		const results = await Promise.all(running);
		expect(results.every(({verdict}) => verdict === Verdict.Ran)).toBe(true);
	});

	it('accepts requests again after the ownership returned', async () => {
		await using harness = await createHarness();
		harness.change({owned: []});
		harness.change({owned: ['db-1', 'db-2']});
		const result = await harness.executors.submit(createRequest('rows 1 1', {upstream: 'db-2'}), sink, neverAborted);
		expect(result.verdict).toBe(Verdict.Ran);
	});
});
