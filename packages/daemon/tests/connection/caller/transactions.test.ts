import {RefusalReason, RequestKind, TransactionStatus} from '@tarragonstack/core';
import {serialize} from 'pg-protocol';
import {describe, expect, it} from 'vitest';
import {createRefusal} from './fake-executor.js';
import {Harness} from './harness.js';

describe('transactions', () => {
	it('sends all units from BEGIN to COMMIT as transaction requests, which guards against statements on other connections', async () => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		await client.query('BEGIN');
		await client.query('SELECT 1');
		await client.query('INSERT INTO a VALUES ($1)', [1]);
		await client.query('COMMIT');
		await client.query('SELECT 1');
		expect(harness.executor.requests.map(request => [request.kind, request.beginsTransaction])).toEqual([
			[RequestKind.Transaction, true],
			[RequestKind.Transaction, false],
			[RequestKind.Transaction, false],
			[RequestKind.Transaction, false],
			[RequestKind.Read, false],
		]);
	});

	it('keeps the group of the transaction when the option changes, which guards against a transaction that is split between groups', async () => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		await client.query('BEGIN');
		await client.query('SET tarragon.group = \'subs-other\'');
		await client.query('SELECT 1 /*group=\'subs-other\'*/');
		await client.query('COMMIT');
		await client.query('SELECT 1');
		expect(harness.executor.requests.map(request => request.group)).toEqual(['subs-core', 'subs-core', 'subs-core', 'subs-other']);
	});

	it('keeps portals within a transaction, which guards against cursors that are closed by Sync', async () => {
		await using harness = await Harness.start();
		const caller = await harness.connectRaw();
		caller.socket.write(Buffer.concat([
			serialize.query('BEGIN'),
			serialize.parse({text: 'SELECT 1'}),
			serialize.bind({portal: 'p'}),
			serialize.flush(),
			serialize.execute({portal: 'p', rows: 1}),
			serialize.sync(),
			serialize.execute({portal: 'p', rows: 1}),
			serialize.sync(),
			serialize.query('COMMIT'),
		]));
		await caller.waitFor('Z', 4);
		expect(caller.errorCodes).toEqual([]);
		expect(harness.executor.requests).toHaveLength(5);
	});

	const refusalCases = [
		{transactionStatus: TransactionStatus.Idle, state: 'lost'},
		{transactionStatus: TransactionStatus.InTransaction, state: 'still open'},
	];
	it.each(refusalCases)('runs nothing after a refused statement if the transaction is $state, which guards against a partial transaction', async ({transactionStatus}) => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		await client.query('BEGIN');
		harness.executor.override = async () => createRefusal(RefusalReason.NoUpstream, transactionStatus);
		await expect(client.query('INSERT INTO a VALUES (1)')).rejects.toMatchObject({code: 'TS002'});
		harness.executor.override = undefined;
		await expect(client.query('INSERT INTO a VALUES (2)')).rejects.toMatchObject({code: '25P02'});
		await expect(client.query('SELECT $1', [3])).rejects.toMatchObject({code: '25P02'});
		await expect(client.query('ROLLBACK TO SAVEPOINT unknown; SELECT 1')).rejects.toMatchObject({code: '25P02'});
		expect(await client.query('COMMIT')).toMatchObject({command: 'ROLLBACK'});
		await client.query('INSERT INTO a VALUES (4)');
		const texts = harness.executor.requests.slice(2).map(request => harness.executor.getSqlText(request));
		expect(texts).toEqual(transactionStatus === TransactionStatus.Idle ? ['INSERT INTO a VALUES (4)'] : ['ROLLBACK', 'INSERT INTO a VALUES (4)']);
	});

	it.each([
		['COPY a FROM STDIN', 'a COPY'],
		['SET work_mem = 1', 'a setting'],
		['SELECT 1 /*rank=\'first\'*/', 'an invalid option'],
	])('rolls the transaction back after the refusal of %j, which guards against a COMMIT without %s', async text => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		await client.query('BEGIN');
		await expect(client.query(text)).rejects.toThrow();
		expect(await client.query({text: 'COMMIT', values: [], name: 'end'})).toMatchObject({command: 'ROLLBACK'});
	});

	it('continues the transaction after ROLLBACK TO SAVEPOINT, which guards against a caller that must repeat all of it', async () => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		await client.query('BEGIN');
		await client.query('SAVEPOINT s');
		await expect(client.query('COPY a FROM STDIN')).rejects.toMatchObject({code: '0A000'});
		await client.query('ROLLBACK TO SAVEPOINT s');
		await client.query('SELECT 1');
		expect(await client.query('COMMIT')).toMatchObject({command: 'COMMIT'});
	});

	it('runs no statement of a transaction that was pipelined after a refused BEGIN, but runs later statements', async () => {
		await using harness = await Harness.start();
		const caller = await harness.connectRaw();
		harness.executor.override = async text => text === 'BEGIN' ? createRefusal(RefusalReason.Overloaded) : undefined;
		const insert = serialize.query('INSERT INTO a VALUES (1)');
		caller.socket.write(Buffer.concat([serialize.query('BEGIN'), insert, insert, serialize.query('COMMIT'), insert]));
		await caller.waitFor('Z', 5);
		expect(caller.errorCodes).toEqual(['TS001', '25P02', '25P02']);
		expect(caller.receivedMessages.filter(({type}) => type === 'C').map(({body}) => body.toString())).toEqual(['ROLLBACK\0', 'SELECT 1\0']);
		caller.socket.write(serialize.query('BEGIN'));
		await caller.waitFor('Z', 6);
		caller.socket.write(insert);
		await caller.waitFor('Z', 7);
		expect(caller.errorCodes).toHaveLength(4);
	});

	it('reports idle after a COMMIT with unknown outcome, which guards against a session that remains in a failed transaction', async () => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		await client.query('BEGIN');
		harness.executor.override = async () => createRefusal(RefusalReason.OutcomeUnknown);
		await expect(client.query('COMMIT')).rejects.toMatchObject({code: '08007'});
		harness.executor.override = undefined;
		expect(await client.query('SELECT 1')).toMatchObject({rowCount: 1});
	});

	it('answers COMMIT and ROLLBACK without a transaction locally, which guards against unnecessary requests to the primary', async () => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		expect(await client.query('ROLLBACK')).toMatchObject({command: 'ROLLBACK'});
		expect(await client.query({name: 'c', text: 'COMMIT'})).toMatchObject({command: 'COMMIT'});
		expect(harness.executor.requests).toEqual([]);
	});

	it('aborts the signal and abandons the transaction when the socket ends during a request', async () => {
		await using harness = await Harness.start();
		const caller = await harness.connectRaw();
		caller.socket.write(serialize.query('BEGIN'));
		await caller.waitFor('Z');
		const unblock = harness.blockRequests();
		caller.socket.write(serialize.query('SELECT 1'));
		await harness.waitUntil(() => harness.executor.requests.length === 2);
		caller.socket.destroy();
		await harness.waitUntil(() => Boolean(harness.executor.signals[1]?.aborted));
		unblock();
		await harness.waitUntil(() => harness.executor.abandonedCount === 1);
		await harness.waitUntil(() => harness.listener.connectionCount === 0);
	});
});

describe('cancel requests', () => {
	/** Sends a cancel request with the key of a client. */
	async function sendCancelRequest(harness: Harness, processIdentifier: number, secret: number): Promise<void> {
		const {connect} = await import('node:net');
		const socket = connect(harness.port, '127.0.0.1');
		socket.end(serialize.cancel(processIdentifier, secret));
		await new Promise(resolve => {
			socket.once('close', resolve);
			socket.resume();
		});
	}

	type BackendKey = {processID: number; secretKey: number};

	it('cancels only the running request of the connection with the key', async () => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		const other = await harness.connect();
		const {processID, secretKey} = client as unknown as BackendKey;
		await client.query('SELECT 0');
		await sendCancelRequest(harness, processID, secretKey);
		expect(harness.executor.cancelledRequests, 'an idle connection has no request to cancel').toEqual([]);
		const unblock = harness.blockRequests();
		const queries = [client.query('SELECT 1'), other.query('SELECT 2')];
		await harness.waitUntil(() => harness.executor.requests.length === 3);
		await sendCancelRequest(harness, processID, secretKey + 1);
		await sendCancelRequest(harness, (other as unknown as BackendKey).processID, secretKey);
		expect(harness.executor.cancelledRequests, 'a wrong secret must not cancel a request').toEqual([]);
		await sendCancelRequest(harness, processID, secretKey);
		await harness.waitUntil(() => harness.executor.cancelledRequests.length > 0);
		const expected = harness.executor.requests.find(request => harness.executor.getSqlText(request) === 'SELECT 1');
		expect(harness.executor.cancelledRequests).toEqual([expected?.requestIdentifier]);
		unblock();
		await Promise.all(queries);
	});

	it('issues keys with random process identifiers and secrets, which guards against predictable keys', async () => {
		await using harness = await Harness.start();
		const keys: BackendKey[] = [];
		for (let index = 0; index < 20; index++) {
			keys.push(await harness.connect() as unknown as BackendKey);
		}

		expect(new Set(keys.map(key => key.secretKey)).size).toBe(20);
		const differences = keys.slice(1).map((key, index) => key.processID - (keys[index]?.processID ?? 0));
		expect(new Set(differences).size).toBeGreaterThan(10);
	});
});
