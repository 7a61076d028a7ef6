import {SystemTimerService} from '@tarragonstack/core';
import pg from 'pg';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {callJson, type Fleet} from '../../src/fleet/index.js';
import {Operator} from './control-process.js';
import {startTestFleet, TemporaryDirectory, waitUntil} from './test-fleet.js';

const timerService = new SystemTimerService();

/** Time after which a leaving instance receives no new statements (invariant I7). */
const drainLimitMilliseconds = 3000;

describe('tarragonctl against a running fleet of 7 hosts', () => {
	let fleet: Fleet;
	let directory: TemporaryDirectory;
	let operator: Operator;

	beforeAll(async () => {
		directory = await TemporaryDirectory.create();
		fleet = await startTestFleet();
		operator = new Operator(fleet, directory.path);
	});

	afterAll(async () => {
		await fleet?.[Symbol.asyncDispose]();
		await directory?.[Symbol.asyncDispose]();
	});

	function createContract(weight: number): Record<string, unknown> {
		return {...fleet.configuration.contracts[0], weight};
	}

	async function controlKeyValue(settings: Readonly<Record<string, unknown>>): Promise<void> {
		await callJson('POST', `${fleet.keyValueUrl}/control`, settings);
	}

	async function getCalls(): Promise<Readonly<Record<string, number>>> {
		return (await callJson('GET', `${fleet.keyValueUrl}/status`)).calls as Record<string, number>;
	}

	/** Waits until all hosts have a version. The limit covers the back-off of hosts after an outage, which is at most 15 s. */
	async function waitForVersion(version: number): Promise<number> {
		return waitUntil(20_000, async () => {
			const versions = await Promise.all(fleet.hosts.map(async ({address}) => {
				const status = await callJson('GET', `http://${address}:8080/status`);
				return (status.configuration as {version: number}).version;
			}));
			return versions.every(present => present >= version);
		});
	}

	it('checks and compares a file without writing, which guards against a check with side effects', async () => {
		const version = await operator.getVersion();
		const file = await operator.write(createContract(2));
		expect(await operator.run('contracts', 'check', file)).toMatchObject({exitCode: 0, output: expect.stringContaining('is valid')});
		const difference = await operator.run('contracts', 'diff', file);
		expect(difference).toMatchObject({exitCode: 0, errors: ''});
		expect(difference.output).toContain('~ contracts.ronquido-cero.weight: 1 -> 2');
		expect(difference.output).toContain(`1 differences from version ${version}`);
		expect(await operator.getVersion()).toBe(version);
	});

	it('accepts a put and brings it into force on every host, which guards against an accepted change without effect', async () => {
		const version = await operator.getVersion();
		expect(await operator.put(createContract(2), version)).toMatchObject({exitCode: 0, output: expect.stringContaining(`accepted, version ${version + 1}`)});
		await waitForVersion(version + 1);
	});

	it.each([
		{
			change: {ranks: {urgent: {targetLatencyMilliseconds: -1}}},
			path: 'contracts.0.ranks.urgent.targetLatencyMilliseconds', guards: 'a negative target',
		},
		{change: {groups: ['subs-core-9']}, path: 'contracts.0.groups.0', guards: 'a group that does not exist'},
		{change: {colour: 'green'}, path: 'contracts.0: ', guards: 'a misspelt field'},
		{change: {rules: [{rank: 'urgent', statementPattern: '('}]}, path: 'contracts.0.rules.0.statementPattern', guards: 'a pattern that matches nothing because it cannot be compiled'},
	])('refuses an invalid contract before writing, which guards against $guards', async ({change, path}) => {
		const version = await operator.getVersion();
		const contract = createContract(3) as {ranks: Record<string, Record<string, unknown>>};
		const ranks = 'ranks' in change ? {...contract.ranks, urgent: {...contract.ranks.urgent, ...change.ranks!.urgent}} : contract.ranks;
		const calls = await getCalls();
		const result = await operator.put({...contract, ...change, ranks}, version);
		expect(result).toMatchObject({exitCode: 2, output: ''});
		expect(result.errors).toContain(path);
		expect(result.errors).toContain('Nothing was written');
		expect((await getCalls())['/v3/kv/txn']).toBe(calls['/v3/kv/txn']);
		expect(await operator.getVersion()).toBe(version);
	});

	it('rejects a stale --based-on with exit code 3 and the difference, which guards against an overwritten change', async () => {
		const version = await operator.getVersion();
		const result = await operator.put(createContract(4), version - 1);
		expect(result.exitCode).toBe(3);
		expect(result.errors).toContain(`conflict: version ${version} by ana`);
		expect(result.errors).toContain('~ contracts.ronquido-cero.weight: 2 -> 4');
		expect(result.errors).toContain(`--based-on ${version}`);
		expect(await operator.getVersion()).toBe(version);
	});

	it('accepts one of two concurrent puts, which guards against two accepted changes of one version', async () => {
		const version = await operator.getVersion();
		// The delay makes both processes read the record before either of them writes.
		await controlKeyValue({delayMilliseconds: 700});
		const results = await Promise.all(['ana', 'berta'].map(async (author, index) => operator.put(createContract(5 + index), version, author)));
		await controlKeyValue({delayMilliseconds: 0});
		expect(results.map(({exitCode}) => exitCode).toSorted((left, right) => left - right)).toEqual([0, 3]);
		expect(results.find(({exitCode}) => exitCode === 3)!.errors).toContain('~ contracts.ronquido-cero.weight');
		expect(await operator.getVersion()).toBe(version + 1);
	});

	it('detects that a change took effect although its response was lost, which guards against a duplicate or missing history entry', async () => {
		const version = await operator.getVersion();
		await controlKeyValue({loseWriteReplies: 1});
		const result = await operator.put(createContract(8), version, 'carla');
		expect(result).toMatchObject({exitCode: 0, output: expect.stringContaining(`accepted, version ${version + 1}`)});
		const history = JSON.parse((await operator.run('contracts', 'history', '--json')).output) as {changes: Array<{version: number; author: string}>};
		expect(history.changes.filter(({author}) => author === 'carla')).toMatchObject([{version: version + 1}]);
		await waitForVersion(version + 1);
	});

	it.each([
		{outage: 'refuse', exitCodes: [1], guards: 'a failure without advice'},
		{outage: 'hang', exitCodes: [1, 4], guards: 'a command that never ends'},
	])('ends with a clear exit code while the service is down ($outage), which guards against $guards', async ({outage, exitCodes}) => {
		const version = await operator.getVersion();
		await controlKeyValue({outage});
		const result = await operator.put(createContract(9), version);
		await controlKeyValue({outage: 'none'});
		expect(exitCodes).toContain(result.exitCode);
		expect(result.errors).toMatch(/Nothing was written\. Check the key-value service|Run "diff"/v);
		expect(await operator.getVersion()).toBe(version);
	});

	it('reports an unknown outcome with exit code 4, which guards against a change that is reported as refused but takes effect', async () => {
		const version = await operator.getVersion();
		await controlKeyValue({delayMilliseconds: 1500});
		const putting = operator.put(createContract(10), version);
		const before = (await getCalls())['/v3/kv/txn'] ?? 0;
		// The service executes the write after its delay, and then does not respond to the following read.
		await waitUntil(20_000, async () => ((await getCalls())['/v3/kv/txn'] ?? 0) > before);
		await controlKeyValue({loseWriteReplies: 1, outage: 'hang'});
		const result = await putting;
		await controlKeyValue({outage: 'none', delayMilliseconds: 0, loseWriteReplies: 0});
		expect(result.exitCode).toBe(4);
		expect(result.errors).toContain('outcome unknown');
		expect(result.errors).toContain('Run "diff"');
		expect(await operator.getVersion()).toBe(version + 1);
	});

	it('shows the configuration version and its age for each host, which guards against an outdated host that goes unnoticed', async () => {
		const version = await operator.getVersion();
		await waitForVersion(version);
		const text = await operator.runAtHosts('status');
		expect(text).toMatchObject({exitCode: 0, errors: ''});
		for (const {name, address} of fleet.hosts) {
			expect(text.output).toMatch(new RegExp(String.raw`${name} ${address}:8080: accepts work, version ${version} by \S+ in force for [\d.]+ s`, 'v'));
		}

		for (const group of fleet.deployment.groups) {
			expect(text.output).toMatch(new RegExp(String.raw`group ${group}: primary ${group}-[abc], term \d+`, 'v'));
		}

		const json = JSON.parse((await operator.runAtHosts('status', '--json')).output) as {hosts: Array<{body: {configuration: unknown}}>};
		expect(json.hosts).toHaveLength(7);
		for (const {body} of json.hosts) {
			expect(body.configuration).toMatchObject({version, inForceForMilliseconds: expect.any(Number)});
		}
	});

	it('drains and undrains an instance, which guards against new statements at a leaving instance', async () => {
		const group = fleet.deployment.groups[0]!;
		const instance = fleet.instances.find(candidate => candidate.group === group && candidate.name.endsWith('-b'))!;
		const callers = await Promise.all(fleet.hosts.map(async ({name}) => {
			const client = new pg.Client(`${fleet.getConnectionString(name, group)}?application_name=order-history`);
			client.on('error', () => {});
			await client.connect();
			return client;
		}));
		await callers[0]!.query('INSERT INTO pages (id) VALUES (\'a\')');
		const loadAbort = new AbortController();
		let served = 0;
		const load = callers.map(async client => {
			while (!loadAbort.signal.aborted) {
				await client.query('SELECT id FROM pages WHERE id = \'a\'');
				served++;
			}
		});
		const countReads = async () => {
			const {primaryReads, replicaReads, writes} = (await fleet.getStatementCounts()).get(instance.name)!;
			return primaryReads + replicaReads + writes;
		};

		const initial = await countReads();
		await waitUntil(10_000, async () => await countReads() > initial + 20);
		expect(await operator.run('drain', instance.name, '--author', 'ana')).toMatchObject({exitCode: 0});
		await timerService.sleep(drainLimitMilliseconds);
		const drained = await countReads();
		const servedBefore = served;
		await timerService.sleep(1500);
		expect(await countReads()).toBe(drained);
		expect(served).toBeGreaterThan(servedBefore);
		expect(await operator.run('undrain', instance.name, '--author', 'ana')).toMatchObject({exitCode: 0});
		await waitUntil(10_000, async () => await countReads() > drained);
		loadAbort.abort();
		await Promise.all(load);
		await Promise.all(callers.map(async client => client.end()));
	});

	it('promotes the named instance, which guards against a promotion of another one', async () => {
		const group = fleet.deployment.groups[1]!;
		const former = await fleet.getPrimary(group);
		const target = fleet.instances.find(({group: own, name}) => own === group && name !== former!.name)!;
		const result = await operator.runAtHosts('promote', group, '--instance', target.name);
		expect(result, result.errors).toMatchObject({exitCode: 0, output: expect.stringContaining(target.name)});
		expect((await fleet.getPrimary(group))!.name).toBe(target.name);
		expect((await operator.runAtHosts('promote', 'no-such-group')).exitCode).toBeGreaterThan(0);
	});
});
