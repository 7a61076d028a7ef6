import {SystemTimerService, type InstanceDefinition} from '@tarragonstack/core';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {DeploymentName, type Fleet} from '../../src/fleet/index.js';
import {checkGroup, Effect, FleetObserver, SessionCaller, Workload} from '../../src/fuzz/index.js';
import {startFaultFleet} from './fault-fleet.js';

const timerService = new SystemTimerService();

/** Time after which a leaving upstream receives no new statements (invariant I7). */
const leavingTimeoutMilliseconds = 3000;

describe('planned stops under load', () => {
	let fleet: Fleet;
	let observer: FleetObserver;
	let group: string;

	beforeAll(async () => {
		fleet = await startFaultFleet(DeploymentName.Edredon);
		observer = new FleetObserver(fleet);
		group = fleet.deployment.groups[0]!;
	});

	afterAll(async () => {
		await fleet?.[Symbol.asyncDispose]();
	});

	/** Returns the writes with an unknown outcome or a lost connection. */
	function getInterrupted(workload: Workload): string[] {
		return workload.history.records
			// A connection that a stopping host refused, or reset before it was established, carried no request.
			.filter(({effect, responses: answers}) => effect === Effect.Unknown
				|| answers.some(answer => !answer.startsWith('not connected') && /terminated|ECONNRESET|timeout/v.test(answer)))
			.map(({kind, token, responses: answers}) => `${kind} ${token}: ${answers.join(' | ')}`);
	}

	async function getStatementCount(instance: string): Promise<number> {
		const state = await observer.getInstanceState(instance);
		const {primaryReads, replicaReads, writes} = state!.statements;
		return primaryReads + replicaReads + writes;
	}

	it('I8: completes running requests when their host stops, which guards against interrupted requests', async () => {
		const primary = (await observer.getPrimary(group))!;
		const owner = (await observer.getOwner(primary.name))!;
		const entry = fleet.hosts.find(({name}) => name !== owner)!.name;
		const callers = [owner, owner, entry, entry].map(host => new SessionCaller(fleet, host, group));
		await Promise.all(callers.map(async caller => caller.query('SELECT 1')));
		const results = Promise.all(callers.map(async (caller, index) =>
			caller.query(`INSERT INTO items (id, owner) VALUES ('slow-${index}', 'slow') RETURNING id /*service_ms=400*/`)));
		await timerService.sleep(100);
		const stopped = fleet.stop(owner);
		const answers = await results;
		await stopped;
		expect(answers.map(({rows}) => rows)).toEqual(callers.map((_, index) => [{id: `slow-${index}`}]));
		for (const caller of callers) {
			caller.close();
		}

		await fleet.restart(owner);
	});

	it('I8: lets an open transaction commit after its host began to stop', async () => {
		const primary = (await observer.getPrimary(group))!;
		const owner = (await observer.getOwner(primary.name))!;
		const entry = fleet.hosts.find(({name}) => name !== owner)!.name;
		for (const host of [owner, entry]) {
			const caller = new SessionCaller(fleet, host, group);
			await caller.query('BEGIN');
			await caller.query(`INSERT INTO items (id, owner) VALUES ('open-${host}', 'open')`);
			const stopped = fleet.stop(host);
			await timerService.sleep(300);
			const {command} = await caller.query('COMMIT');
			caller.close();
			await stopped;
			await fleet.restart(host);
			expect(command).toBe('COMMIT');
		}
	});

	it('I8: interrupts no request during a rolling restart of all hosts', async () => {
		await using workload = new Workload({fleet, group, prefix: 'r', seed: 301});
		workload.start();
		for (const {name} of fleet.hosts) {
			await fleet.stop(name);
			await fleet.restart(name);
		}

		await workload.stop();
		const violations = await checkGroup(observer, group, workload);
		console.log(`rolling restart: ${workload.history.count(Effect.Acknowledged)} acknowledged, ${workload.history.count(Effect.None)} refused`);
		expect(violations).toEqual([]);
		expect(getInterrupted(workload)).toEqual([]);
		expect(workload.history.count(Effect.Acknowledged)).toBeGreaterThan(100);
	});

	async function configureLeaving(name: string, leaving: boolean): Promise<number | undefined> {
		const setLeavingFlag = (instance: InstanceDefinition) => instance.name === name ? {...instance, leaving} : instance;
		return observer.changeConfiguration(`leaving-${leaving}`, ({groups}) => ({
			groups: groups.map(entry => ({...entry, instances: entry.instances.map(instance => setLeavingFlag(instance))})),
		}));
	}

	it.each([
		{role: 'primary', source: 'list'},
		{role: 'replica', source: 'list'},
		{role: 'primary', source: 'configuration'},
	])('I7: a $role that the $source marks as leaving receives no new statements after 3 s, as counted by the instance', async ({role, source}) => {
		await observer.waitUntilReplicated(group, 10_000);
		const primary = (await observer.getPrimary(group))!;
		const candidates = observer.getInstances(group).filter(({name}) => (name === primary.name) === (role === 'primary'));
		const countAll = async () => Promise.all(candidates.map(async ({name}) => getStatementCount(name)));
		const first = await countAll();
		await using workload = new Workload({fleet, group, prefix: `l-${role}-${source}`, seed: 302});
		workload.start();
		await timerService.sleep(700);
		// The router may prefer one replica, so the instance that received the most statements is marked as leaving.
		const second = await countAll();
		const increases = second.map((count, index) => count - first[index]!);
		const greatest = Math.max(...increases);
		const leaving = candidates[increases.indexOf(greatest)]!;
		expect(greatest).toBeGreaterThan(0);
		const setLeaving = async (value: boolean) => {
			if (source === 'list') {
				await fleet.register(leaving.name, value ? 'leaving' : 'live');
				return;
			}

			expect(await configureLeaving(leaving.name, value)).toBeDefined();
		};

		await setLeaving(true);
		await timerService.sleep(leavingTimeoutMilliseconds);
		const atLimit = await getStatementCount(leaving.name);
		await timerService.sleep(1200);
		const after = await getStatementCount(leaving.name);
		const newPrimary = await observer.getPrimary(group);
		await workload.stop();
		await setLeaving(false);
		const violations = await checkGroup(observer, group, workload);
		expect(after - atLimit).toBe(0);
		expect(newPrimary!.name).not.toBe(leaving.name);
		expect(violations).toEqual([]);
	});
});
