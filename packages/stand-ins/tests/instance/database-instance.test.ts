import {afterEach, describe, expect, it} from 'vitest';
import pg from 'pg';
import {SystemTimerService} from '@tarragonstack/core';
import {DatabaseInstance, type InstanceOptions} from '../../src/index.js';

const timerService = new SystemTimerService();
const resources: AsyncDisposable[] = [];

afterEach(async () => {
	for (const resource of resources.splice(0).toReversed()) {
		await resource[Symbol.asyncDispose]();
	}
});

type RunningInstance = {readonly database: string; readonly control: string};

async function startInstance(options: Partial<InstanceOptions> = {}): Promise<RunningInstance> {
	const instance = new DatabaseInstance({
		name: 'instance',
		address: '127.0.0.1',
		port: 0,
		controlPort: 0,
		slots: 3,
		connectionLimit: 20,
		connectMilliseconds: 0,
		serviceMilliseconds: 0,
		exponentialService: false,
		seed: 1,
		lagMilliseconds: 0,
		lockWaitMilliseconds: 300,
		...options,
	});
	resources.push(instance);
	return instance.listen();
}

async function connect(address: string, options: pg.ClientConfig = {}): Promise<pg.Client> {
	const [host, port] = address.split(':');
	const client = new pg.Client({
		host: host!, port: Number(port), user: 'test', password: 'secret', database: 'test', ...options,
	});
	client.on('error', () => {});
	await client.connect();
	resources.push({
		async [Symbol.asyncDispose]() {
			await client.end().catch(() => {});
		},
	});
	return client;
}

async function startPrimary(options: Partial<InstanceOptions> = {}): Promise<RunningInstance & {client: pg.Client}> {
	const instance = await startInstance(options);
	const client = await connect(instance.database);
	await client.query('SELECT * FROM tarragon_raise(1, \'test\')');
	await client.query('SELECT * FROM tarragon_promote(1, \'test\')');
	return {...instance, client};
}

async function control(instance: RunningInstance, body: Record<string, unknown>): Promise<void> {
	const response = await fetch(`http://${instance.control}/control`, {method: 'POST', body: JSON.stringify(body)});
	expect(response.status).toBe(200);
}

async function getStatus(client: pg.Client): Promise<Record<string, string>> {
	const {rows} = await client.query<Record<string, string>>('SELECT * FROM tarragon_status()');
	return rows[0]!;
}

async function waitFor(condition: () => Promise<boolean>): Promise<void> {
	const limit = timerService.now() + 5000;
	while (!await condition()) {
		expect(timerService.now()).toBeLessThan(limit);
		await timerService.sleep(5);
	}
}

async function getCode(query: Promise<unknown>): Promise<string | undefined> {
	try {
		await query;
		return undefined;
	} catch (error: unknown) {
		return (error as {code?: string}).code;
	}
}

describe('statements', () => {
	it.each([
		{
			guards: 'an insert that is not visible', run: ['INSERT INTO t (id, a) VALUES (1, \'x\')'], read: 'SELECT id, a FROM t WHERE id = 1', rows: [{id: '1', a: 'x'}],
		},
		{
			guards: 'an update that loses the old value', run: ['INSERT INTO t (id, n) VALUES (1, 5)', 'UPDATE t SET n = n + 3 WHERE id = 1'], read: 'SELECT n FROM t WHERE id = 1', rows: [{n: '8'}],
		},
		{
			guards: 'quotes and semicolons in literals', run: ['INSERT INTO t (id, a) VALUES (1, \'a;\'\'b\')'], read: 'SELECT a FROM t', rows: [{a: 'a;\'b'}],
		},
		{
			guards: 'a deleted row that is still read', run: ['INSERT INTO t (id) VALUES (1), (2)', 'DELETE FROM t WHERE id = 1'], read: 'SELECT count(*) FROM t', rows: [{count: '1'}],
		},
		{
			guards: 'a rolled back change that is visible', run: ['INSERT INTO t (id, a) VALUES (1, 1)', 'BEGIN; UPDATE t SET a = 2 WHERE id = 1; ROLLBACK'], read: 'SELECT a FROM t', rows: [{a: '1'}],
		},
		{
			guards: 'a list that returns too many rows', run: ['INSERT INTO t (id) VALUES (1), (2), (3)'], read: 'SELECT id FROM t WHERE id IN (1, 3) LIMIT 5', rows: [{id: '1'}, {id: '3'}],
		},
		{
			guards: 'several statements in one query that do not commit', run: ['BEGIN; INSERT INTO t (id) VALUES (7); COMMIT'], read: 'SELECT * FROM t', rows: [{id: '7'}],
		},
	])('guards against $guards', async ({run, read, rows}) => {
		const {client} = await startPrimary();
		for (const statement of run) {
			await client.query(statement);
		}

		const result = await client.query(read);
		expect(result.rows).toEqual(rows);
	});

	it.each([
		{guards: 'a duplicate row', run: ['INSERT INTO t (id) VALUES (1)'], fails: 'INSERT INTO t (id) VALUES (1)', code: '23505'},
		{guards: 'a missing primary key', run: [], fails: 'INSERT INTO t (id) VALUES (null)', code: '23502'},
		{guards: 'an unknown statement that is taken for a success', run: [], fails: 'VACUUM', code: '42601'},
		{guards: 'work in a failed transaction', run: ['BEGIN'], fails: 'SELECT FROM FROM; SELECT 1', code: '42601'},
	])('reports $guards', async ({run, fails, code}) => {
		const {client} = await startPrimary();
		for (const statement of run) {
			await client.query(statement);
		}

		expect(await getCode(client.query(fails))).toBe(code);
	});

	it('takes parameters and named prepared statements, so that a driver\'s extended protocol works', async () => {
		const {client} = await startPrimary();
		await client.query('INSERT INTO t (id, a) VALUES ($1, $2)', [1, null]);
		for (const value of ['x', 'y']) {
			const text = 'UPDATE t SET a = $2 WHERE id = $1 RETURNING a';
			const result = await client.query({name: 'update', text, values: [1, value]});
			expect(result.rows).toEqual([{a: value}]);
			expect(result.rowCount).toBe(1);
		}
	});

	it('rejects further statements of a failed transaction until it ends', async () => {
		const {client} = await startPrimary();
		await client.query('INSERT INTO t (id) VALUES (1)');
		await client.query('BEGIN');
		expect(await getCode(client.query('INSERT INTO t (id) VALUES (1)'))).toBe('23505');
		expect(await getCode(client.query('SELECT 1'))).toBe('25P02');
		const result = await client.query('COMMIT');
		expect(result.command).toBe('ROLLBACK');
	});
});

describe('row locks', () => {
	it('lets a writer wait for the lock and see the committed value, so that no update is lost', async () => {
		const primary = await startPrimary();
		const other = await connect(primary.database);
		await primary.client.query('INSERT INTO t (id, n) VALUES (1, 0)');
		await primary.client.query('BEGIN');
		await primary.client.query('UPDATE t SET n = n + 1 WHERE id = 1');
		const update = other.query('UPDATE t SET n = n + 1 WHERE id = 1');
		await primary.client.query('COMMIT');
		await update;
		const {rows} = await primary.client.query('SELECT n FROM t');
		expect(rows).toEqual([{n: '2'}]);
	}, 3000);

	it('ends a wait beyond the limit with 55P03, so that a lost transaction blocks nobody forever', async () => {
		const primary = await startPrimary();
		const other = await connect(primary.database);
		await primary.client.query('INSERT INTO t (id, n) VALUES (1, 0)');
		await primary.client.query('BEGIN; UPDATE t SET n = 1 WHERE id = 1');
		expect(await getCode(other.query('UPDATE t SET n = 2 WHERE id = 1'))).toBe('55P03');
	});

	it('ends a deadlock with 40001', async () => {
		const primary = await startPrimary({lockWaitMilliseconds: 10_000});
		const other = await connect(primary.database);
		await primary.client.query('INSERT INTO t (id, n) VALUES (1, 0), (2, 0)');
		await primary.client.query('BEGIN; UPDATE t SET n = 1 WHERE id = 1');
		await other.query('BEGIN; UPDATE t SET n = 1 WHERE id = 2');
		const codes = await Promise.all([
			getCode(primary.client.query('UPDATE t SET n = 2 WHERE id = 2')),
			getCode(other.query('UPDATE t SET n = 2 WHERE id = 1')),
		]);
		expect(codes.filter(code => code === '40001')).toHaveLength(1);
	});
});
