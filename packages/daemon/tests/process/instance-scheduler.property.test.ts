import {
	AcknowledgementMode, ManualTimerService, Rank, ranks, RequestKind, TransactionStatus, Verdict, type UpstreamRequest, type UpstreamResult,
} from '@tarragonstack/core';
import fc from 'fast-check';
import {ok} from 'neverthrow';
import {serialize} from 'pg-protocol';
import {describe, expect, it} from 'vitest';
import {UpstreamPool} from '../../src/connection/upstream/upstream-pool.js';
import {InstanceScheduler} from '../../src/process/instance-scheduler.js';
import {SchedulingPolicy} from '../../src/request/scheduling/scheduling-policy.js';
import {FakeInstance, type FakeStatement} from './fake-instance.js';

const outcomes = fc.constantFrom<FakeStatement['outcome']>('succeed', 'succeed', 'succeed', 'fail', 'lose-before-effect', 'lose-after-effect');

const unitArbitrary = fc.record({
	submittedAt: fc.integer({min: 0, max: 300}),
	rank: fc.constantFrom(...ranks),
	customer: fc.constantFrom('a', 'b'),
	kind: fc.constantFrom(RequestKind.Read, RequestKind.Write, RequestKind.Transaction),
	milliseconds: fc.integer({min: 0, max: 40}),
	outcome: outcomes,
	targetMilliseconds: fc.integer({min: -5, max: 200}),
	extraTimeoutMilliseconds: fc.integer({min: 0, max: 200}),
	refusedRefund: fc.constantFrom(0, 1, 10),
	/** Number of units in the transaction before its commit. */
	unitCount: fc.integer({min: 0, max: 3}),
	/** Whether the units of a transaction are submitted without waiting for the results of earlier ones. */
	isConcurrent: fc.boolean(),
	isAbandoned: fc.boolean(),
	abortAfter: fc.option(fc.integer({min: 0, max: 100}), {nil: undefined}),
});

type Unit = typeof unitArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

const policies = fc.constantFrom(...Object.values(SchedulingPolicy));

class SchedulerRun {
	readonly timerService = new ManualTimerService();
	readonly instance = new FakeInstance(this.timerService);
	readonly results = new Map<string, {readonly kind: RequestKind; readonly result: UpstreamResult}>();
	readonly pool: UpstreamPool;
	readonly scheduler: InstanceScheduler;

	constructor(policy: SchedulingPolicy, slots: number, connectionLimit: number, extraStatements: number) {
		this.pool = new UpstreamPool({
			timerService: this.timerService, slots, connectionLimit, open: async () => ok(await this.instance.open()),
		});
		this.scheduler = new InstanceScheduler({
			instance: 'db-1',
			group: 'db',
			slots,
			connectionLimit,
			policy,
			timerService: this.timerService,
			groupView: {
				getPrimary: () => ({instance: 'db-1', term: 1}),
				getStatus: () => undefined,
				learnPrimary() {},
				subscribe: () => ({[Symbol.dispose]() {}}),
			},
			termConfirmation: {
				confirm: async () => {
					await this.timerService.sleep(2);
					return ok({term: 1, index: 1});
				},
			},
			pool: this.pool,
			maximumQueueEntries: 20,
			extraStatements,
		});
	}

	async runUnit(unit: Unit, index: number): Promise<void> {
		await this.timerService.sleep(unit.submittedAt);
		if (unit.kind !== RequestKind.Transaction) {
			await this.#submit(unit, {identifier: `${index}`, action: 'work', milliseconds: unit.milliseconds, outcome: unit.outcome});
			return;
		}

		const transaction = `transaction-${index}`;
		let status = await this.#submit(unit, {
			identifier: `${index}-begin`, transaction, action: 'begin', milliseconds: 1, outcome: 'succeed',
		});
		const works = Array.from({length: unit.unitCount}, (_, count): FakeStatement => ({
			identifier: `${index}-${count}`, transaction, action: 'work', milliseconds: unit.milliseconds, outcome: unit.outcome,
		}));
		if (unit.isConcurrent && status !== TransactionStatus.Idle) {
			const statuses = await Promise.all(works.map(work => this.#submit(unit, work)));
			status = statuses.includes(TransactionStatus.Idle) ? TransactionStatus.Idle : status;
		} else {
			for (const work of works) {
				status = status === TransactionStatus.Idle ? status : await this.#submit(unit, work);
			}
		}

		if (status !== TransactionStatus.Idle && unit.isAbandoned) {
			this.scheduler.abandonTransaction(transaction);
		} else if (status !== TransactionStatus.Idle) {
			status = await this.#submit(unit, {
				identifier: `${index}-commit`, transaction, action: 'commit', milliseconds: 1, outcome: unit.outcome,
			});
			if (status !== TransactionStatus.Idle) {
				this.scheduler.abandonTransaction(transaction);
			}
		}
	}

	async #submit(unit: Unit, statement: FakeStatement): Promise<TransactionStatus> {
		const request: UpstreamRequest = {
			requestIdentifier: statement.identifier,
			customer: unit.customer,
			rank: unit.rank,
			group: 'db',
			upstream: 'db-1',
			kind: unit.kind,
			messages: serialize.query(JSON.stringify(statement)),
			hiddenParseCompletes: [],
			...(statement.transaction !== undefined && {transactionIdentifier: statement.transaction}),
			beginsTransaction: statement.action === 'begin',
			targetMilliseconds: unit.targetMilliseconds,
			timeoutMilliseconds: unit.targetMilliseconds + unit.extraTimeoutMilliseconds,
			lateRefund: 1,
			refusedRefund: unit.refusedRefund,
			customerWeight: 1,
			floorShare: unit.rank === Rank.Urgent ? 0.4 : 0.1,
			catchUpMilliseconds: 500,
			acknowledgement: AcknowledgementMode.Fenced,
			configurationVersion: 1,
		};
		const controller = new AbortController();
		if (unit.abortAfter !== undefined) {
			this.timerService.schedule(unit.abortAfter, () => {
				controller.abort();
			});
		}

		const result = await this.scheduler.submit(request, {async write() {}}, controller.signal);
		this.results.set(statement.identifier, {kind: unit.kind, result});
		return result.transactionStatus;
	}
}

describe('InstanceScheduler with random requests', () => {
	// Guards against requests that run although they were refused.
	it('keeps the limits of slots and connections, ends all transactions, and reports no request as not run that may have run', async () => {
		const verdictCounts = new Map<Verdict, number>();
		await fc.assert(fc.asyncProperty(
			fc.array(unitArbitrary, {minLength: 1, maxLength: 60}),
			policies,
			fc.integer({min: 1, max: 4}),
			fc.integer({min: 8, max: 24}),
			fc.integer({min: 0, max: 1}),
			async (units, policy, slots, connectionLimit, extraStatements) => {
				const run = new SchedulerRun(policy, slots, connectionLimit, extraStatements);
				const finished = Promise.all(units.map((unit, index) => run.runUnit(unit, index)));
				await run.timerService.advance(20_000);
				await finished;
				const {instance} = run;
				expect(instance.violations).toEqual([]);
				expect(instance.maximumRunning).toBeLessThanOrEqual(slots + extraStatements);
				expect(instance.maximumConnections).toBeLessThanOrEqual(Math.max(1, Math.floor((connectionLimit - 6) / 2)));
				expect(run.scheduler.transactionCount).toBe(0);
				for (const [identifier, {kind, result}] of run.results) {
					verdictCounts.set(result.verdict, (verdictCounts.get(result.verdict) ?? 0) + 1);
					expect(instance.effects.get(identifier) ?? 0).toBeLessThanOrEqual(1);
					// A read whose connection was lost may be reported as not run, because it had no effect.
					const mayHaveStarted = result.verdict !== Verdict.NotRun || kind === RequestKind.Read;
					expect(mayHaveStarted || !instance.started.has(identifier)).toBe(true);
				}

				await run.scheduler[Symbol.asyncDispose]();
			},
		), {numRuns: 300});
		// Each verdict must occur often. Otherwise the property could hold because the cases were not generated.
		for (const verdict of Object.values(Verdict)) {
			expect(verdictCounts.get(verdict) ?? 0).toBeGreaterThan(100);
		}
	});
});
