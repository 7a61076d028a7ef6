import {ManualTimerService, SystemTimerService, type TimerService} from '@tarragonstack/core';
import {serialize} from 'pg-protocol';
import {describe, expect, it, vi} from 'vitest';
import {UpstreamConnection} from '../../../src/connection/upstream/upstream-connection.js';
import {getPoolCapacity, UpstreamPool} from '../../../src/connection/upstream/upstream-pool.js';
import {ConnectionError, HoldMode, type StatementConnection} from '../../../src/request/scheduling/statement-connection.js';
import {FakePostgresServer} from './fake-postgres-server.js';

function createPool(
	server: FakePostgresServer,
	{slots = 2, connectionLimit = 16, timerService = new SystemTimerService()}: {slots?: number; connectionLimit?: number; timerService?: TimerService} = {},
): UpstreamPool {
	return new UpstreamPool({
		timerService,
		slots,
		connectionLimit,
		open: () => UpstreamConnection.open({
			host: '127.0.0.1', port: server.port, localAddress: '127.0.0.1', user: 'u', password: 'p', database: 'd', timeoutMilliseconds: 2000,
		}),
	});
}

async function acquire(pool: UpstreamPool): Promise<StatementConnection> {
	const result = await pool.acquire(2000);
	return result._unsafeUnwrap();
}

async function run(connection: StatementConnection, text: string): Promise<void> {
	await connection.run(serialize.query(text), {sink: {async write() {}}, hiddenParseCompletes: [], holdMode: HoldMode.Error});
}

describe('UpstreamPool', () => {
	it.each([
		{connectionLimit: 20, capacity: 7},
		{connectionLimit: 30, capacity: 12},
		{connectionLimit: 8, capacity: 1},
	])('reserves connections for a second owner and control connections under a limit of $connectionLimit', ({connectionLimit, capacity}) => {
		expect(getPoolCapacity(connectionLimit)).toBe(capacity);
	});

	it('opens one connection more than there are slots in advance, so that a burst does not wait for logins', async () => {
		await using server = await FakePostgresServer.start();
		await using pool = createPool(server);
		await vi.waitFor(() => {
			expect(server.openCount).toBe(3);
		});
		expect(pool.connectionCount).toBe(3);
	});

	it('never exceeds its capacity, and serves waiters in order as connections are released', async () => {
		await using server = await FakePostgresServer.start();
		await using pool = createPool(server);
		const held: StatementConnection[] = [];
		for (let count = 0; count < pool.capacity; count++) {
			held.push(await acquire(pool));
		}

		expect(pool.capacity).toBe(5);
		const order: string[] = [];
		const first = acquire(pool).then(() => order.push('first'));
		const second = acquire(pool).then(() => order.push('second'));
		pool.release(held.pop()!);
		await first;
		pool.release(held.pop()!);
		await second;
		expect(order).toEqual(['first', 'second']);
		expect(server.maximumOpenCount).toBe(5);
	});

	it('limits the waiting time for a connection', async () => {
		await using server = await FakePostgresServer.start();
		await using pool = createPool(server, {connectionLimit: 8});
		await acquire(pool);
		const result = await pool.acquire(20);
		expect(result._unsafeUnwrapErr()).toBe(ConnectionError.TimedOut);
	});

	it.each([
		{text: 'rows 1 1', isReused: true, guards: 'bursts of logins'},
		{text: 'SET', isReused: false, guards: 'a setting that affects the next customer'},
		{text: 'BEGIN', isReused: false, guards: 'a transaction that the next unit would join'},
		{text: 'drop', isReused: false, guards: 'a closed connection that is handed out'},
	])('reuses a connection after "$text": $isReused, against $guards', async ({text, isReused}) => {
		await using server = await FakePostgresServer.start();
		await using pool = createPool(server, {connectionLimit: 8});
		const connection = await acquire(pool);
		await run(connection, text);
		pool.release(connection);
		const next = await acquire(pool);
		expect(next === connection).toBe(isReused);
		expect(next.isOpen).toBe(true);
	});

	it('does not hand out a connection until the connection of its cancel request is closed', async () => {
		await using server = await FakePostgresServer.start();
		let closeCancel!: () => void;
		server.beforeCancelClose = new Promise<void>(resolve => {
			closeCancel = resolve;
		});
		await using pool = createPool(server, {connectionLimit: 8});
		const connection = await acquire(pool);
		const running = run(connection, 'hang');
		await vi.waitFor(() => {
			expect(server.log).toHaveLength(1);
		});
		void connection.cancel();
		await running;
		pool.release(connection);
		let isHandedOut = false;
		const next = acquire(pool).then(acquired => {
			isHandedOut = true;
			return acquired;
		});
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		expect(isHandedOut).toBe(false);
		closeCancel();
		expect(await next).toBe(connection);
	});

	it('backs off on SQLSTATE 53300 instead of retrying immediately, and recovers', async () => {
		await using server = await FakePostgresServer.start();
		server.loginError = '53300';
		const timerService = new ManualTimerService();
		await using pool = createPool(server, {connectionLimit: 8, timerService});
		const refused = await pool.acquire(1000);
		expect(refused._unsafeUnwrapErr()).toBe(ConnectionError.Unavailable);
		const attempts = server.acceptedCount;
		const immediate = await pool.acquire(1000);
		expect(immediate._unsafeUnwrapErr()).toBe(ConnectionError.Unavailable);
		expect(server.acceptedCount).toBe(attempts);
		server.loginError = undefined;
		await timerService.advance(50);
		const recovered = await pool.acquire(1000);
		expect(recovered.isOk()).toBe(true);
	});
});
