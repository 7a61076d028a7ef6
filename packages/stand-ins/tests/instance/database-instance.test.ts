import {createConnection} from 'node:net';
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
			guards: 'an update that ignores the old value', run: ['INSERT INTO t (id, n) VALUES (1, 5)', 'UPDATE t SET n = n + 3 WHERE id = 1'], read: 'SELECT n FROM t WHERE id = 1', rows: [{n: '8'}],
		},
		{
			guards: 'quotes and semicolons in literals', run: ['INSERT INTO t (id, a) VALUES (1, \'a;\'\'b\')'], read: 'SELECT a FROM t', rows: [{a: 'a;\'b'}],
		},
		{
			guards: 'a deleted row that is still read', run: ['INSERT INTO t (id) VALUES (1), (2)', 'DELETE FROM t WHERE id = 1'], read: 'SELECT count(*) FROM t', rows: [{count: '1'}],
		},
		{
			guards: 'a rolled-back change that is visible', run: ['INSERT INTO t (id, a) VALUES (1, 1)', 'BEGIN; UPDATE t SET a = 2 WHERE id = 1; ROLLBACK'], read: 'SELECT a FROM t', rows: [{a: '1'}],
		},
		{
			guards: 'a list that returns too many rows', run: ['INSERT INTO t (id) VALUES (1), (2), (3)'], read: 'SELECT id FROM t WHERE id IN (1, 3) LIMIT 5', rows: [{id: '1'}, {id: '3'}],
		},
		{
			guards: 'numbers ordered as text', run: ['INSERT INTO t (id) VALUES (9), (10), (8)'], read: 'SELECT id FROM t ORDER BY id DESC LIMIT 2', rows: [{id: '10'}, {id: '9'}],
		},
		{
			guards: 'a transaction in a single query that does not commit', run: ['BEGIN; INSERT INTO t (id) VALUES (7); COMMIT'], read: 'SELECT * FROM t', rows: [{id: '7'}],
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

	it('accepts parameters and named prepared statements, which drivers use in the extended query protocol', async () => {
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
	it('makes a writer wait for the lock and see the committed value, so that no update is lost', async () => {
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

	it('ends a wait beyond the limit with 55P03, so that an abandoned transaction does not block others forever', async () => {
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

describe('protocol', () => {
	it('reports the transaction status, on which the reuse of a connection depends', async () => {
		const {client} = await startPrimary();
		const statuses: string[] = [];
		(client as any).connection.on('readyForQuery', (message: {status: string}) => {
			statuses.push(message.status);
		});
		for (const statement of ['SELECT 1', 'BEGIN', 'SELECT 1', 'SELECT nothing FROM', 'ROLLBACK']) {
			await getCode(client.query(statement));
		}

		expect(statuses).toEqual(['I', 'T', 'T', 'E', 'I']);
	});

	it('returns one result for each statement of a query', async () => {
		const {client} = await startPrimary();
		const results = await client.query('INSERT INTO t (id) VALUES (1); SELECT id FROM t; SELECT count(*) FROM t') as unknown as pg.QueryResult[];
		expect(results.map(({command, rows}) => ({command, rows}))).toEqual([
			{command: 'INSERT', rows: []}, {command: 'SELECT', rows: [{id: '1'}]}, {command: 'SELECT', rows: [{count: '1'}]},
		]);
	});

	it('rolls back all statements of a query when one fails', async () => {
		const {client} = await startPrimary();
		expect(await getCode(client.query('INSERT INTO t (id) VALUES (1); INSERT INTO t (id) VALUES (1)'))).toBe('23505');
		const {rows} = await client.query('SELECT count(*) FROM t');
		expect(rows).toEqual([{count: '0'}]);
	});

	it.each([
		{guards: 'a wrong password', options: {password: 'other'}, code: '28P01'},
		{guards: 'a missing password', options: {password: ''}, code: '28P01'},
	])('refuses $guards', async ({options, code}) => {
		const instance = await startInstance({password: 'secret'});
		expect(await getCode(connect(instance.database, options))).toBe(code);
		await connect(instance.database);
	});

	it('refuses connections beyond the limit with 53300 and accepts new ones when others have closed', async () => {
		const instance = await startInstance({connectionLimit: 2});
		const first = await connect(instance.database);
		await connect(instance.database);
		expect(await getCode(connect(instance.database))).toBe('53300');
		await first.end();
		await waitFor(async () => await getCode(connect(instance.database)) === undefined);
	});

	it('takes the configured time to open a connection, because experiments include the cost of connections', async () => {
		const instance = await startInstance({connectMilliseconds: 50});
		const before = timerService.now();
		await connect(instance.database);
		expect(timerService.now() - before).toBeGreaterThanOrEqual(49);
	});

	it.each([
		{guards: 'a running statement', slots: 1},
		{guards: 'a statement that waits for a slot', slots: 0},
	])('cancels $guards with 57014 and keeps the connection usable', async ({slots}) => {
		const primary = await startPrimary({slots: 1});
		await control(primary, {slots});
		const sleeping = getCode(primary.client.query('SELECT pg_sleep(30)'));
		await waitFor(async () => {
			const response = await fetch(`http://${primary.control}/status`);
			const status = await response.json() as {slots: {used: number; waiting: number}};
			return status.slots.used + status.slots.waiting === 1;
		});
		const {processID, secretKey} = primary.client as unknown as {processID: number; secretKey: number};
		const request = Buffer.alloc(16);
		for (const [index, field] of [16, 80_877_102, processID, secretKey].entries()) {
			request.writeInt32BE(field, index * 4);
		}

		createConnection({host: '127.0.0.1', port: Number(primary.database.split(':')[1])}).end(request);
		expect(await sleeping).toBe('57014');
		await control(primary, {slots: 1});
		await primary.client.query('SELECT 1');
	});
});

describe('slots', () => {
	it('executes at most as many statements concurrently as there are slots', async () => {
		const primary = await startPrimary({slots: 2});
		const clients = await Promise.all(Array.from({length: 6}, async () => connect(primary.database)));
		const before = timerService.now();
		await Promise.all(clients.map(async client => client.query('/*service_ms=50*/ SELECT 1')));
		// Six statements of 50 ms in two slots execute in three rounds.
		expect(timerService.now() - before).toBeGreaterThanOrEqual(147);
	});

	it('runs control functions while all slots are in use, so that a busy instance is not considered failed', async () => {
		const primary = await startPrimary({slots: 1});
		const other = await connect(primary.database);
		await control(primary, {stall: true});
		const stalled = other.query('SELECT 1');
		expect(await getStatus(primary.client)).toMatchObject({role: 'primary', slots: 1});
		await control(primary, {stall: false});
		await stalled;
	});

	it.each([
		{guards: 'a changed number of slots', settings: {slots: 6}},
		{guards: 'a service time factor', settings: {serviceTimeFactor: 0.1}},
	])('applies $guards', async ({settings}) => {
		const primary = await startPrimary({slots: 1});
		await control(primary, settings);
		const clients = await Promise.all(Array.from({length: 6}, async () => connect(primary.database)));
		const before = timerService.now();
		await Promise.all(clients.map(async client => client.query('/*service_ms=300*/ SELECT 1')));
		// Without the setting, six statements of 300 ms in one slot would take at least 1800 ms.
		expect(timerService.now() - before).toBeLessThan(1750);
	});
});

describe('faults', () => {
	it('closes the next connections right after accepting them', async () => {
		const instance = await startInstance();
		await control(instance, {failConnections: 1});
		expect(await getCode(connect(instance.database).then(() => undefined))).not.toBe('28P01');
		await connect(instance.database);
	});

	it('closes the connection after a commit, so that the client cannot know the outcome', async () => {
		const primary = await startPrimary();
		await control(primary, {dropAfterWrites: 1});
		await primary.client.query('SELECT 1');
		await expect(primary.client.query('INSERT INTO t (id) VALUES (1)')).rejects.toThrow();
		const other = await connect(primary.database);
		const {rows} = await other.query('SELECT id FROM t');
		expect(rows).toEqual([{id: '1'}]);
	});
});
