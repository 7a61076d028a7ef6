import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {configurationKey, configurationSchema, type Configuration} from '@tarragonstack/core';
import {
	afterAll, beforeAll, describe, expect, it, vi,
} from 'vitest';
import {ExitCode, runProgram} from '../src/index.js';
import {EtcdFake, EtcdFakeMode} from '../../core/tests/adapters/etcd-fake.js';
import {HttpFake} from '../../core/tests/adapters/http-fake.js';

type RunResult = {readonly exitCode: ExitCode; readonly output: string; readonly errors: string};

async function runTarragonctl(argv: readonly string[], signal = new AbortController().signal, output: string[] = []): Promise<RunResult> {
	const errors: string[] = [];
	const exitCode = await runProgram(argv, {
		print(line) {
			output.push(line);
		},
		printError(line) {
			errors.push(line);
		},
		signal,
		userName: 'operator',
	});
	return {exitCode, output: output.join('\n'), errors: errors.join('\n')};
}

function createGroup(name: string, instance = `${name}-1`): Record<string, unknown> {
	return {name, instances: [{name: instance, address: '127.0.0.1:5432', availabilityZone: 'oviedo', slots: 2, connectionLimit: 30}]};
}

function createContract(customer: string, overrides: Record<string, unknown> = {}): Record<string, unknown> {
	const rankTerms = {
		targetLatencyMilliseconds: 50, timeoutMilliseconds: 1000, maximumStalenessMilliseconds: 0, lateRefund: 1, floorShare: 0.1,
	};
	return {
		customer,
		users: [{name: `${customer}-user`, passwordSha256: '0'.repeat(64)}],
		groups: ['lavado-db'],
		defaultRank: 'middle',
		ranks: {urgent: rankTerms, middle: rankTerms, least: rankTerms},
		...overrides,
	};
}

describe('tarragonctl', () => {
	let directory = '';
	beforeAll(async () => {
		directory = await mkdtemp(path.join(tmpdir(), 'tarragonctl-'));
	});

	afterAll(async () => {
		await rm(directory, {recursive: true});
	});

	async function writeInput(name: string, value: unknown): Promise<string> {
		const file = path.join(directory, name);
		await writeFile(file, typeof value === 'string' ? value : JSON.stringify(value));
		return file;
	}

	async function put(fake: EtcdFake, section: string, value: unknown, basedOn: number, ...extraArguments: string[]): Promise<RunResult> {
		const file = await writeInput(`${section}-${basedOn}-${Math.trunc(performance.now() * 1000)}.json`, value);
		return runTarragonctl([section, 'put', file, '--based-on', String(basedOn), '--author', 'ana', '--key-value-service', fake.url, ...extraArguments]);
	}

	function readRecord(fake: EtcdFake): Configuration {
		return configurationSchema.parse(JSON.parse(fake.get(configurationKey)!));
	}

	async function startWithConfiguration(): Promise<EtcdFake> {
		const fake = await EtcdFake.start();
		expect(await put(fake, 'groups', [createGroup('lavado-db')], 0)).toMatchObject({exitCode: ExitCode.Accepted});
		expect(await put(fake, 'contracts', [createContract('edredon')], 1)).toMatchObject({exitCode: ExitCode.Accepted});
		return fake;
	}

	it('accepts a change with the next version and records it', async () => {
		await using fake = await startWithConfiguration();
		const result = await put(fake, 'contracts', createContract('edredon', {weight: 2}), 2);
		expect(result.exitCode).toBe(ExitCode.Accepted);
		expect(result.output).toBe('~ contracts.edredon.weight: 1 -> 2\naccepted, version 3');
		expect(readRecord(fake)).toMatchObject({version: 3, author: 'ana'});
		const history = await runTarragonctl(['contracts', 'history', '--key-value-service', fake.url]);
		expect(history.output).toMatch(/^version 3 by ana.*\n {2}~ contracts\.edredon\.weight: 1 -> 2\nversion 2 by ana/v);
	});

	it('reports acceptance after the reply to the write is lost, and writes only once', async () => {
		await using fake = await startWithConfiguration();
		fake.mode = EtcdFakeMode.LoseReplyAfterEffect;
		const result = await put(fake, 'contracts', createContract('edredon', {weight: 2}), 2, '--json');
		expect(result.exitCode).toBe(ExitCode.Accepted);
		expect(JSON.parse(result.output)).toMatchObject({outcome: 'Accepted', version: 3});
		expect(readRecord(fake).version).toBe(3);
	});

	it('reports an unknown outcome when a sent write does not appear in the record, and does not write again', async () => {
		await using fake = await startWithConfiguration();
		const {writes} = fake;
		fake.loseWrites = true;
		const result = await put(fake, 'contracts', createContract('edredon', {weight: 2}), 2);
		expect(result.exitCode).toBe(ExitCode.OutcomeUnknown);
		expect(result.errors).toContain('before you put it again');
		expect(fake.writes).toBe(writes);
		expect(fake.lostWrites).toBe(1);
	});

	it('reports a conflict when the write is lost and another operator has written the same version', async () => {
		await using fake = await startWithConfiguration();
		fake.loseWrites = true;
		const pending = put(fake, 'contracts', createContract('edredon', {weight: 2}), 2);
		await vi.waitFor(() => {
			expect(fake.lostWrites).toBe(1);
		});
		fake.set(configurationKey, JSON.stringify({...readRecord(fake), version: 3, changeIdentifier: 'other', author: 'ben'}));
		const result = await pending;
		expect(result.exitCode).toBe(ExitCode.Conflict);
		expect(result.errors).toContain('version 3 by ben');
	});

	it('accepts exactly one of two concurrent changes and prints the difference for the other', async () => {
		await using fake = await startWithConfiguration();
		const results = await Promise.all([
			put(fake, 'contracts', createContract('edredon', {weight: 2}), 2),
			put(fake, 'contracts', createContract('edredon', {weight: 3}), 2),
		]);
		expect(results.map(result => result.exitCode).toSorted((left, right) => left - right)).toEqual([ExitCode.Accepted, ExitCode.Conflict]);
		const conflict = results.find(result => result.exitCode === ExitCode.Conflict)!;
		expect(conflict.errors).toMatch(/~ contracts\.edredon\.weight: \d -> \d/v);
		expect(conflict.errors).toContain('--based-on 3');
	});

	it('reports a conflict for a change that is based on an older version', async () => {
		await using fake = await startWithConfiguration();
		const result = await put(fake, 'groups', [createGroup('lavado-db')], 1);
		expect(result.exitCode).toBe(ExitCode.Conflict);
		expect(result.errors).toContain('version 2 by ana');
		expect(readRecord(fake).version).toBe(2);
	});

	it.each([
		{value: createContract('edredon', {weight: -1}), path: 'contracts.0.weight', input: 'a negative weight'},
		{value: createContract('edredon', {unknownField: 1}), path: 'contracts.0', input: 'an unknown field'},
		{value: createContract('edredon', {groups: ['unknown']}), path: 'contracts.0.groups.0', input: 'an undefined group'},
		{value: [createContract('edredon'), createContract('edredon')], path: 'contracts.*.customer', input: 'a customer that occurs twice'},
		{value: 'not JSON', path: '.json', input: 'a file that is not JSON'},
		{value: [null], path: 'contracts.0', input: 'an element that is not an object'},
	])('rejects $input before writing and prints the path of the field', async ({value, path: fieldPath}) => {
		await using fake = await startWithConfiguration();
		const {writes} = fake;
		const result = await put(fake, 'contracts', value, 2);
		expect(result.exitCode).toBe(ExitCode.InvalidInput);
		expect(result.errors).toContain(fieldPath);
		expect(result.errors).toContain('Nothing was written');
		const file = await writeInput('check.json', value);
		const checked = await runTarragonctl(['contracts', 'check', file, '--key-value-service', fake.url]);
		expect(checked.exitCode).toBe(ExitCode.InvalidInput);
		expect(fake.writes).toBe(writes);
	});

	it.each([
		{argv: ['contracts', 'put', 'file', '--key-value-service', 'http://127.0.0.1:1', '--author', 'a'], input: 'a put without --based-on'},
		{argv: ['contracts', 'put', 'file', '--key-value-service', 'http://127.0.0.1:1', '--author', 'a', '--based-on', '-1'], input: 'a negative version'},
		{argv: ['contracts', 'list', '--key-value-service', 'localhost'], input: 'an address that is not a URL'},
		{argv: ['status'], input: 'a status without hosts'},
		{argv: ['status', '--host', 'nowhere'], input: 'a host without address'},
		{argv: ['unknown'], input: 'an unknown command'},
	])('exits with 2 on $input', async ({argv}) => {
		expect(await runTarragonctl(argv)).toMatchObject({exitCode: ExitCode.InvalidInput});
	});

	it.each([
		{mode: EtcdFakeMode.Unavailable, fault: 'a service without a leader'},
		{mode: EtcdFakeMode.Malformed, fault: 'a malformed reply'},
	])('exits with 1 and a hint on $fault', async ({mode}) => {
		await using fake = await startWithConfiguration();
		fake.mode = mode;
		const result = await put(fake, 'contracts', createContract('edredon'), 2);
		expect(result.exitCode).toBe(ExitCode.Failure);
		expect(result.errors).toContain('Nothing was written');
	});

	it('writes nothing when the input equals the current section', async () => {
		await using fake = await startWithConfiguration();
		const {writes} = fake;
		expect(await put(fake, 'contracts', [createContract('edredon')], 2)).toMatchObject({exitCode: ExitCode.Accepted});
		expect(fake.writes).toBe(writes);
	});

	it('prints elements, names and differences', async () => {
		await using fake = await startWithConfiguration();
		const service = ['--key-value-service', fake.url];
		const got = await runTarragonctl(['contracts', 'get', 'edredon', ...service]);
		expect(JSON.parse(got.output)).toMatchObject({customer: 'edredon', weight: 1});
		expect(await runTarragonctl(['contracts', 'get', 'unknown', ...service])).toMatchObject({exitCode: ExitCode.InvalidInput});
		const listed = await runTarragonctl(['groups', 'list', ...service]);
		expect(listed.output).toMatch(/^version 2 by ana at .*\nlavado-db$/v);
		const file = await writeInput('diff.json', [createGroup('lavado-db'), createGroup('subs-core')]);
		const difference = await runTarragonctl(['groups', 'diff', file, ...service]);
		expect(difference.output).toMatch(/^\+ groups\.subs-core: /mv);
	});

	it('drains an instance while another change is written, and undrains it', async () => {
		await using fake = await startWithConfiguration();
		const service = ['--key-value-service', fake.url];
		const [drained, other] = await Promise.all([
			runTarragonctl(['drain', 'lavado-db-1', ...service]),
			put(fake, 'contracts', createContract('edredon', {weight: 2}), 2),
		]);
		expect(drained.exitCode).toBe(ExitCode.Accepted);
		expect([ExitCode.Accepted, ExitCode.Conflict]).toContain(other.exitCode);
		expect(readRecord(fake).groups[0]!.instances[0]!.leaving).toBe(true);
		expect(await runTarragonctl(['undrain', 'lavado-db-1', ...service])).toMatchObject({exitCode: ExitCode.Accepted});
		expect(readRecord(fake)).toMatchObject({author: 'operator', groups: [{instances: [{leaving: false}]}]});
		expect(await runTarragonctl(['drain', 'unknown', ...service])).toMatchObject({exitCode: ExitCode.InvalidInput});
	});

	it('keeps the last 50 changes in the history and empties older entries', async () => {
		await using fake = await startWithConfiguration();
		for (let version = 2; version < 55; version++) {
			expect(await put(fake, 'contracts', createContract('edredon', {weight: version}), version)).toMatchObject({exitCode: ExitCode.Accepted});
		}

		const history = await runTarragonctl(['contracts', 'history', '--json', '--key-value-service', fake.url]);
		const {changes} = JSON.parse(history.output);
		expect(changes).toHaveLength(50);
		expect(changes[0].version).toBe(55);
		expect(fake.get('tarragon/history/5')).toBe('');
	});

	it('prints versions as they are accepted, also after the service closes the watch', async () => {
		await using fake = await startWithConfiguration();
		const abortController = new AbortController();
		const lines: string[] = [];
		const getVersions = () => lines.map(line => JSON.parse(line).version).filter(Boolean);
		const watchRun = runTarragonctl(['watch', '--json', '--key-value-service', fake.url], abortController.signal, lines);
		await vi.waitFor(() => {
			expect(getVersions()).toEqual([2]);
		});
		fake.endWatches();
		await put(fake, 'contracts', createContract('edredon', {weight: 2}), 2);
		await put(fake, 'contracts', createContract('edredon', {weight: 3}), 3);
		await vi.waitFor(() => {
			expect(getVersions().at(-1)).toBe(4);
		}, {timeout: 5000});
		abortController.abort();
		expect(await watchRun).toMatchObject({exitCode: ExitCode.Accepted});
		// A version that is replaced while the watch is interrupted may be skipped.
		expect(getVersions()).toEqual(getVersions().toSorted((left, right) => left - right));
	});

	it('prints health, version and age of hosts and the groups with the highest term, and fails when a host does not answer or accepts no work', async () => {
		const instances = [{name: 'lavado-db-1', role: 'primary', position: {term: 2, index: 7}, lagEntries: 0}, {name: 'lavado-db-2', leaving: true}];
		const bodies = [
			{health: {accepting: true}, groups: [{name: 'lavado-db', primary: 'lavado-db-2', term: 1, instances: []}]},
			{health: {accepting: true}, groups: [{name: 'lavado-db', primary: 'lavado-db-1', term: 2, instances}]},
			{health: {accepting: false, reason: 'the host is stopping'}},
		];
		const startHost = async (index: number) => HttpFake.start((requestPath, _body, response) => {
			expect(requestPath).toBe('/status');
			response.end(JSON.stringify({host: {name: `host-${index}`}, configuration: {version: 3, author: 'ana', inForceForMilliseconds: 4200}, ...bodies[index]}));
		});
		await using first = await startHost(0);
		await using second = await startHost(1);
		await using third = await startHost(2);
		const addresses = [first, second, third].map(({url}) => url.slice('http://'.length));
		const healthy = await runTarragonctl(['status', '--host', addresses[0]!, '--host', addresses[1]!]);
		expect(healthy).toMatchObject({exitCode: ExitCode.Accepted});
		expect(healthy.output).toContain(`host-0 ${addresses[0]}: accepts work, version 3 by ana in force for 4.2 s`);
		expect(healthy.output).toContain('group lavado-db: primary lavado-db-1, term 2');
		expect(healthy.output).toContain('lavado-db-1: primary, position 2:7, lag 0');
		expect(healthy.output).toContain('lavado-db-2: not reached, position unknown, leaving');
		const stopping = await runTarragonctl(['status', '--host', addresses[0]!, '--host', addresses[2]!]);
		expect(stopping.exitCode).toBe(ExitCode.Failure);
		expect(stopping.errors).toContain('accepts no work (the host is stopping)');
		const partial = await runTarragonctl(['status', '--host', addresses[0]!, '--host', '127.0.0.1:1']);
		expect(partial.exitCode).toBe(ExitCode.Failure);
		expect(partial.errors).toContain('127.0.0.1:1: no answer');
	});

	it.each([
		{status: 200, exitCode: ExitCode.Accepted, outcome: 'an accepted promotion'},
		{status: 404, exitCode: ExitCode.InvalidInput, outcome: 'an unknown group'},
		{status: 409, exitCode: ExitCode.Conflict, outcome: 'a concurrent promotion'},
		{status: 503, exitCode: ExitCode.Failure, outcome: 'a group without a majority'},
		{status: 0, exitCode: ExitCode.OutcomeUnknown, outcome: 'a host that fails after it received the request'},
	])('exits with $exitCode on $outcome', async ({status, exitCode}) => {
		const bodies: unknown[] = [];
		await using host = await HttpFake.start((_path, body, response) => {
			bodies.push(JSON.parse(body));
			if (status === 0) {
				response.destroy();
			} else {
				response.writeHead(status).end('{}');
			}
		});
		const result = await runTarragonctl(['promote', 'lavado-db', '--instance', 'lavado-db-1', '--host', '127.0.0.1:1', '--host', host.url.slice('http://'.length)]);
		expect(result.exitCode).toBe(exitCode);
		expect(bodies).toEqual([{group: 'lavado-db', instance: 'lavado-db-1'}]);
	});
});
