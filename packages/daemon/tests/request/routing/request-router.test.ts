import {
	AcknowledgementMode, createLogger, createMetrics, ManualTimerService, Rank, RefusalReason, RequestKind, TransactionStatus, Verdict,
	type InstanceDefinition, type LogPosition, type UpstreamRequest, type UpstreamResult,
} from '@tarragonstack/core';
import {ok} from 'neverthrow';
import {describe, expect, it} from 'vitest';
import {
	ReadIndexClient, RequestRouter, UpstreamLoadTable,
	type CallerRequest, type CallerSession, type ConfigurationSnapshot, type GroupView, type PrimaryView, type UpstreamGateway,
} from '../../../src/index.js';

const instances: InstanceDefinition[] = ['a', 'b', 'c'].map(name => ({
	name, address: '127.0.0.1:1', availabilityZone: 'zone', slots: 3, connectionLimit: 20, leaving: false,
}));

const terms = {
	targetLatencyMilliseconds: 100, timeoutMilliseconds: 1000, maximumStalenessMilliseconds: 0,
	lateRefund: 1, floorShare: 0.1, acknowledgement: AcknowledgementMode.Fenced, repeatable: false,
};

type ScriptedResult = Partial<UpstreamResult> & {readonly writes?: boolean};

/** Executes requests against scripted instances. */
class RouterHarness {
	readonly timerService = new ManualTimerService();
	readonly sent: UpstreamRequest[] = [];
	readonly abandoned: string[] = [];
	readonly leaving = new Set<string>();
	readonly session: CallerSession = {observedPositions: new Map()};
	primary: PrimaryView = {instance: 'a', term: 1};
	confirmed: LogPosition = {term: 1, index: 10};
	confirmedPrimary: PrimaryView | undefined;
	readonly router = this.#createRouter();
	answer: (request: UpstreamRequest) => ScriptedResult = () => ({});

	get targets(): string[] {
		return this.sent.map(request => request.upstream);
	}

	async run(change: Partial<CallerRequest>): Promise<UpstreamResult> {
		const request: CallerRequest = {
			requestIdentifier: `r${this.sent.length}`, customer: 'customer', customerWeight: 1, group: 'g', rank: Rank.Urgent, contractTerms: terms,
			configurationVersion: 1, kind: RequestKind.Read, messages: Buffer.from('Q'), hiddenParseCompletes: [], beginsTransaction: false,
			arrivedAt: this.timerService.now(), maximumStalenessMilliseconds: 0, repeatable: false, ...change,
		};
		const result = this.router.execute(request, this.session, {async write() {}}, new AbortController().signal);
		await this.timerService.advance(3000);
		return result;
	}

	#createRouter(): RequestRouter {
		const {timerService} = this;
		const gateway: UpstreamGateway = {
			submit: async (_owner, request, sink) => {
				this.sent.push(request);
				await timerService.sleep(1);
				const {writes, ...answer} = this.answer(request);
				if (writes) {
					await sink.write(Buffer.from('row'));
				}

				return {verdict: Verdict.Ran, transactionStatus: TransactionStatus.Idle, ...answer};
			},
			cancel() {},
			abandonTransaction: (_owner, identifier) => {
				this.abandoned.push(identifier);
			},
		};
		const groupView: GroupView = {
			getPrimary: () => this.primary,
			getStatus: () => undefined,
			learnPrimary: (_group, primary) => {
				this.primary = primary.term > this.primary.term ? primary : this.primary;
			},
			subscribe: () => ({[Symbol.dispose]() {}}),
		};
		const snapshot = {getGroup: () => ({name: 'g', instances})} as unknown as ConfigurationSnapshot;
		return new RequestRouter({
			configurationStore: {getCurrent: () => snapshot, subscribe: () => ({[Symbol.dispose]() {}})},
			groupView,
			gateway,
			readIndexClient: new ReadIndexClient({request: async () => ok({primary: this.confirmedPrimary ?? this.primary, position: this.confirmed})}, timerService),
			loadTable: new UpstreamLoadTable(timerService),
			getOwner: instance => `host-of-${instance}`,
			isLeaving: instance => this.leaving.has(instance),
			timerService,
			logger: createLogger({}),
			metrics: createMetrics(),
			random: () => 0,
		});
	}
}

const notRun = (reason: RefusalReason): ScriptedResult => ({verdict: Verdict.NotRun, refusal: {reason, message: 'refused'}});
const unknown: ScriptedResult = {verdict: Verdict.MayHaveRun, refusal: {reason: RefusalReason.OutcomeUnknown, message: 'lost'}};

describe('RequestRouter', () => {
	it.each([
		{guards: 'reads that add load to the primary', change: {}, answer: (): ScriptedResult => ({}), targets: ['b']},
		{
			guards: 'a stale read from a lagging replica',
			change: {},
			answer: ({upstream}: UpstreamRequest) => upstream === 'a' ? {} : notRun(RefusalReason.ReplicaBehind),
			targets: ['b', 'c', 'a'],
		},
		{
			guards: 'a read that fails because one host is down',
			change: {},
			answer: ({upstream}: UpstreamRequest) => upstream === 'b' ? notRun(RefusalReason.NoUpstream) : {},
			targets: ['b', 'c'],
		},
		{guards: 'rows that are sent twice', change: {}, answer: (): ScriptedResult => ({...unknown, writes: true}), targets: ['b']},
		{guards: 'a write on a replica', change: {kind: RequestKind.Write}, answer: (): ScriptedResult => ({}), targets: ['a']},
		{guards: 'a write that runs twice', change: {kind: RequestKind.Write}, answer: (): ScriptedResult => unknown, targets: ['a']},
		{
			guards: 'a repeatable write that runs twice after an unknown outcome',
			change: {kind: RequestKind.Write, repeatable: true},
			answer: (): ScriptedResult => unknown,
			targets: ['a'],
		},
		{
			guards: 'retries of an overloaded primary',
			change: {kind: RequestKind.Write},
			answer: () => notRun(RefusalReason.Overloaded),
			targets: ['a'],
		},
	])('guards against $guards', async ({change, answer, targets}) => {
		const harness = new RouterHarness();
		harness.answer = answer;
		await harness.run(change);
		expect(harness.targets).toEqual(targets);
	});

	it('sends a write to the new primary after the old one refused it, which guards against errors during a failover', async () => {
		const harness = new RouterHarness();
		harness.answer = ({upstream}) => {
			harness.primary = {instance: 'b', term: 2};
			return upstream === 'a' ? notRun(RefusalReason.NotPrimary) : {};
		};

		const result = await harness.run({kind: RequestKind.Write});
		expect(harness.targets).toEqual(['a', 'b']);
		expect(result.verdict).toBe(Verdict.Ran);
	});

	it('uses the confirmed primary although a peer announced a false one, which guards against writes that fail permanently', async () => {
		const harness = new RouterHarness();
		const confirmed = harness.primary;
		harness.confirmedPrimary = confirmed;
		harness.primary = {instance: 'b', term: 999};
		harness.answer = ({upstream}) => upstream === 'b' ? notRun(RefusalReason.NotPrimary) : {};
		const result = await harness.run({kind: RequestKind.Write});
		expect(harness.targets).toEqual(['b', 'a']);
		expect(result.verdict).toBe(Verdict.Ran);
	});

	it('refuses a write as not run when no primary is found in time', async () => {
		const harness = new RouterHarness();
		harness.answer = () => notRun(RefusalReason.NotPrimary);
		const result = await harness.run({kind: RequestKind.Write});
		expect(result).toMatchObject({verdict: Verdict.NotRun});
	});

	it('gives no new read to a leaving instance', async () => {
		const harness = new RouterHarness();
		harness.leaving.add('b');
		await harness.run({});
		expect(harness.targets).toEqual(['c']);
	});

	it.each([
		{guards: 'a read that misses an earlier write of the session', observed: {term: 1, index: 12}, identifier: undefined, expected: {term: 1, index: 12}},
		{guards: 'an observed position of an older term that no instance reaches', observed: {term: 0, index: 99}, identifier: undefined, expected: {term: 1, index: 11}},
		{guards: 'a cached position in a session that writes through other hosts', observed: undefined, identifier: 's1', expected: {term: 1, index: 20}},
		{guards: 'unnecessary requests in a session that stays on its connection', observed: undefined, identifier: undefined, expected: {term: 1, index: 11}},
	])('guards against $guards', async ({observed, identifier, expected}) => {
		const harness = new RouterHarness();
		harness.confirmed = {term: 1, index: 11};
		const stale = {maximumStalenessMilliseconds: 60_000, rank: Rank.Least};
		await harness.run(stale);
		harness.confirmed = {term: 1, index: 20};
		harness.session.identifier = identifier;
		harness.session.observedPositions.clear();
		if (observed) {
			harness.session.observedPositions.set('g', observed);
		}

		await harness.run(stale);
		expect(harness.sent.at(-1)?.minimumPosition).toEqual(expected);
	});

	it('keeps a transaction on its instance and owner, and rolls it back when the caller disconnects', async () => {
		const harness = new RouterHarness();
		harness.answer = () => ({transactionStatus: TransactionStatus.InTransaction});
		await harness.run({kind: RequestKind.Transaction, beginsTransaction: true});
		harness.primary = {instance: 'b', term: 2};
		await harness.run({kind: RequestKind.Transaction});
		expect(harness.sent.map(({upstream, transactionIdentifier}) => [upstream, transactionIdentifier])).toEqual([['a', 'r0'], ['a', 'r0']]);
		harness.router.abandonTransaction(harness.session);
		expect(harness.abandoned).toEqual(['r0']);
		expect(harness.session.transaction).toBeUndefined();
	});
});
