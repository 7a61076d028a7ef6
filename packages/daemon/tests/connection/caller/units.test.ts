import {type Socket} from 'node:net';
import {
	RefusalReason, RequestKind, TransactionStatus, Verdict,
} from '@tarragonstack/core';
import {serialize} from 'pg-protocol';
import {describe, expect, it} from 'vitest';
import {encodeCommandComplete, encodeTextRowDescription, encodeTextDataRow} from '../../../src/connection/caller/backend-messages.js';
import {createRefusal, splitFrontendMessages} from './fake-executor.js';
import {Harness} from './harness.js';

const getTypes = (messages: Uint8Array) => splitFrontendMessages(messages).map(message => message.type).join('');

describe('statement units', () => {
	it('sends named statements as the unnamed one with hidden ParseComplete messages in later units', async () => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		const query = {name: 'first', text: 'SELECT $1', values: ['a']};
		await client.query(query);
		await client.query({name: 'second', text: 'SELECT $1, 2', values: ['a']});
		expect(await client.query(query)).toMatchObject({rows: [{text: 'SELECT $1'}]});
		const {requests} = harness.executor;
		expect(requests.map(request => getTypes(request.messages))).toEqual(['PBDES', 'PBDES', 'PBDES']);
		expect(requests.map(request => request.hiddenParseCompletes)).toEqual([[], [], [0]]);
	});

	it.each([
		{
			guards: 'a Parse that is missing when two statements alternate in one unit',
			messages: [
				serialize.parse({name: 'a', text: 'SELECT 1'}),
				serialize.parse({name: 'b', text: 'SELECT 2'}),
				serialize.bind({statement: 'a'}),
				serialize.execute(),
				serialize.bind({statement: 'b'}),
				serialize.execute(),
				serialize.bind({statement: 'b'}),
				serialize.execute(),
				serialize.sync(),
			],
			received: '112DC2DC2DCZ',
			hidden: [[2, 3]],
		},
		{
			guards: 'an unnamed statement that is lost after Sync',
			messages: [
				serialize.parse({text: 'SELECT 1'}),
				serialize.describe({type: 'S', name: ''}),
				serialize.sync(),
				serialize.bind(),
				serialize.execute(),
				serialize.sync(),
			],
			received: '1tTZ2DCZ',
			hidden: [[], [0]],
		},
		{
			guards: 'a Flush without a response, for which drivers wait',
			messages: [
				serialize.parse({text: 'SELECT 1'}),
				serialize.describe({type: 'S', name: ''}),
				serialize.flush(),
				serialize.bind(),
				serialize.execute(),
				serialize.sync(),
			],
			received: '1tT2DCZ',
			hidden: [[], [0]],
		},
		{
			guards: 'a Close that keeps the statement or sends a request upstream',
			messages: [
				serialize.parse({name: 'a', text: 'SELECT 1'}),
				serialize.sync(),
				serialize.close({type: 'S', name: 'a'}),
				serialize.sync(),
				serialize.parse({name: 'a', text: 'SELECT 2'}),
				serialize.sync(),
			],
			received: '1Z3Z1Z',
			hidden: [[], []],
		},
		{
			guards: 'a statement that is stored although its Parse failed',
			messages: [
				serialize.parse({name: 'a', text: 'syntax fail'}), serialize.sync(), serialize.bind({statement: 'a'}), serialize.execute(), serialize.sync(),
			],
			received: 'EZEZ',
			errors: ['42601', '26000'],
			hidden: [[]],
		},
		{
			guards: 'a second statement of the same name that replaces the first',
			messages: [serialize.parse({name: 'a', text: 'SELECT 1'}), serialize.parse({name: 'a', text: 'SELECT 2'}), serialize.sync()],
			received: 'EZ',
			errors: ['42P05'],
			hidden: [],
		},
		{
			guards: 'a portal that is used after Sync outside a transaction',
			messages: [
				serialize.parse({text: 'SELECT 1'}),
				serialize.bind({portal: 'p'}),
				serialize.execute({portal: 'p', rows: 1}),
				serialize.sync(),
				serialize.execute({portal: 'p', rows: 1}),
				serialize.sync(),
			],
			received: '12DCZEZ',
			errors: ['34000'],
			hidden: [[]],
		},
		{
			guards: 'a Flush that splits an implicit transaction',
			messages: [
				serialize.parse({text: 'SELECT 1'}), serialize.bind(), serialize.execute(), serialize.flush(), serialize.execute(), serialize.sync(),
			],
			received: 'EZ',
			errors: ['0A000'],
			hidden: [],
		},
		{
			guards: 'a FunctionCall without a response, which blocks the caller',
			messages: [Buffer.from([0x46, 0, 0, 0, 4])],
			received: 'EZ',
			errors: ['0A000'],
			hidden: [],
		},
		{
			guards: 'COPY through the extended protocol',
			messages: [serialize.parse({text: 'COPY a FROM STDIN'}), serialize.bind(), serialize.execute(), serialize.sync()],
			received: 'EZ',
			errors: ['0A000'],
			hidden: [],
		},
		{
			guards: 'COPY through the simple protocol',
			messages: [serialize.query('COPY a FROM STDIN'), serialize.copyData(Buffer.from('1')), serialize.copyDone(), serialize.query('SELECT 1')],
			received: 'EZTDCZ',
			errors: ['0A000'],
			hidden: [[]],
		},
		{
			guards: 'a Sync without messages that waits for an upstream',
			messages: [serialize.sync(), serialize.query('')],
			received: 'ZIZ',
			hidden: [],
		},
		{
			guards: 'options that are not answered in the extended protocol',
			messages: [
				serialize.parse({name: 'o', text: 'SET tarragon.rank = \'least\''}),
				serialize.bind({statement: 'o'}),
				serialize.describe({type: 'P'}),
				serialize.execute(),
				serialize.sync(),
				serialize.parse({text: 'SHOW tarragon.rank'}),
				serialize.describe({type: 'S'}),
				serialize.bind(),
				serialize.execute(),
				serialize.sync(),
				serialize.bind({statement: 'o'}),
				serialize.execute(),
				serialize.sync(),
			],
			received: '12nCZ1tT2DCZ2CZ',
			hidden: [],
		},
	])('guards against $guards', async ({messages, received, errors, hidden}) => {
		await using harness = await Harness.start();
		const caller = await harness.connectRaw();
		caller.socket.write(Buffer.concat(messages));
		await caller.waitFor('Z', received.split('Z').length - 1);
		expect(caller.receivedTypes).toBe(received);
		expect(caller.errorCodes).toEqual(errors ?? []);
		expect(harness.executor.requests.map(request => request.hiddenParseCompletes)).toEqual(hidden);
	});

	it('runs pipelined units one at a time and answers them in order', async () => {
		await using harness = await Harness.start();
		const caller = await harness.connectRaw();
		let running = 0;
		let maximumRunning = 0;
		harness.executor.override = async () => {
			maximumRunning = Math.max(maximumRunning, ++running);
			await harness.timerService.sleep(1);
			running--;
			return undefined;
		};

		const texts = Array.from({length: 50}, (_, index) => `SELECT ${index}`);
		caller.socket.write(Buffer.concat(texts.map(text => serialize.query(text))));
		await caller.waitFor('Z', 50);
		const rows = caller.receivedMessages.filter(message => message.type === 'D').map(message => message.body.subarray(6).toString());
		expect(rows).toEqual(texts);
		expect(maximumRunning).toBe(1);
	});

	it('answers a unit that arrives byte by byte, which guards against errors with split headers', async () => {
		await using harness = await Harness.start();
		const caller = await harness.connectRaw();
		caller.socket.setNoDelay(true);
		for (const byte of Buffer.concat([serialize.parse({text: 'SELECT 1'}), serialize.bind(), serialize.execute(), serialize.sync()])) {
			caller.socket.write(Buffer.from([byte]));
			await harness.timerService.sleep(1);
		}

		await caller.waitFor('Z');
		expect(caller.receivedTypes).toBe('12DCZ');
	});

	it('stops reading while a unit runs, which guards against unbounded buffering of pipelined units', async () => {
		await using harness = await Harness.start();
		const caller = await harness.connectRaw();
		const unblock = harness.blockRequests();

		const query = serialize.query(`SELECT '${'a'.repeat(100_000)}'`);
		const total = 400;
		for (let index = 0; index < total; index++) {
			caller.socket.write(query);
		}

		await harness.timerService.sleep(300);
		// The kernel's socket buffers hold a few megabytes. The rest must remain in the send buffer of the caller.
		expect(caller.socket.writableLength).toBeGreaterThan(total * query.length / 2);
		unblock();
		await caller.waitFor('Z', total);
		expect(harness.executor.requests).toHaveLength(total);
	});

	it.each([
		{guards: 'one oversized message', messages: [Buffer.from([0x51, 0x7F, 0xFF, 0xFF, 0xFF])], code: '54000'},
		{
			guards: 'many messages without Sync',
			messages: Array.from({length: 90}, () => serialize.parse({text: `SELECT '${'a'.repeat(100_000)}'`})),
			code: '54000',
		},
		{guards: 'an unknown message type', messages: [Buffer.from([0x21, 0, 0, 0, 4])], code: '08P01'},
		{guards: 'a length that is too small', messages: [Buffer.from([0x51, 0, 0, 0, 1])], code: '08P01'},
		{guards: 'random bytes', messages: [Buffer.alloc(1000, 0xEE)], code: '54000'},
	])('closes the connection with $code, which guards against unbounded memory use by $guards', async ({messages, code}) => {
		await using harness = await Harness.start();
		const caller = await harness.connectRaw();
		caller.socket.write(Buffer.concat(messages));
		await caller.waitForClose();
		expect(caller.errorCodes).toEqual([code]);
		expect(harness.executor.requests).toEqual([]);
	});

	it.each([
		{guards: 'a Query without terminator', messages: [Buffer.from([0x51, 0, 0, 0, 5, 65])]},
		{guards: 'a Parse without terminator', messages: [Buffer.from([0x50, 0, 0, 0, 5, 65]), serialize.sync()]},
		{guards: 'a Describe of an unknown kind', messages: [Buffer.from([0x44, 0, 0, 0, 6, 65, 0]), serialize.sync()]},
	])('rejects a malformed message and continues, which guards against a crash by $guards', async ({messages}) => {
		await using harness = await Harness.start();
		const caller = await harness.connectRaw();
		caller.socket.write(Buffer.concat([...messages, serialize.query('SELECT 1')]));
		await caller.waitFor('Z', 2);
		expect(caller.receivedTypes).toBe('EZTDCZ');
		expect(caller.errorCodes).toEqual(['08P01']);
	});

	it('sends a complete large response to a slow reader with bounded memory', async () => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		const row = encodeTextDataRow('a'.repeat(64 * 1024));
		const rowCount = 1000;
		let written = 0;
		harness.executor.override = async (_text, _request, sink) => {
			await sink.write(encodeTextRowDescription('text'));
			for (; written < rowCount; written++) {
				await sink.write(row);
			}

			await sink.write(encodeCommandComplete(`SELECT ${rowCount}`));
			return {verdict: Verdict.Ran, transactionStatus: TransactionStatus.Idle};
		};

		const {stream} = (client as unknown as {connection: {stream: Socket}}).connection;
		const query = client.query('SELECT 1');
		stream.pause();
		await harness.waitUntil(() => written > 5);
		await harness.timerService.sleep(300);
		// The kernel's socket buffers hold some rows. The executor must not write the rest of the 62 MiB yet.
		expect(written).toBeLessThan(300);
		stream.resume();
		const {rows} = await query;
		expect(rows).toHaveLength(rowCount);
		expect(rows.every(({text}) => text.length === 64 * 1024)).toBe(true);
	});

	it('disconnects a caller that does not read, which guards against an upstream slot that is never released', async () => {
		await using harness = await Harness.start({stallTimeoutMilliseconds: 100});
		const caller = await harness.connectRaw();
		const row = encodeTextDataRow('a'.repeat(64 * 1024));
		harness.executor.override = async (_text, _request, sink, signal) => {
			while (!signal.aborted) {
				await sink.write(row);
			}

			return {verdict: Verdict.Ran, transactionStatus: TransactionStatus.Idle};
		};

		caller.socket.write(serialize.query('SELECT 1'));
		caller.socket.pause();
		await harness.waitUntil(() => harness.listener.connectionCount === 0);
		expect(harness.executor.abandonedCount).toBe(1);
	});

	it.each([
		['SELECT 1', RequestKind.Read],
		['INSERT INTO a VALUES (1)', RequestKind.Write],
		['SELECT 1; SELECT 2', RequestKind.Write],
		['BEGIN; SELECT 1; COMMIT', RequestKind.Write],
		['BEGIN; SELECT 1', RequestKind.Transaction],
	])('classifies %j as %s, which guards against writes on a replica', async (text, kind) => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		await client.query(text);
		expect(harness.executor.requests[0]).toMatchObject({kind, beginsTransaction: kind === RequestKind.Transaction});
	});

	it.each([
		[RefusalReason.Overloaded, 'TS001'],
		[RefusalReason.NoUpstream, 'TS002'],
		[RefusalReason.SessionConsistency, 'TS003'],
		[RefusalReason.DeadlineExceeded, 'TS004'],
		[RefusalReason.Stopping, 'TS005'],
		[RefusalReason.NoConfiguration, 'TS006'],
		[RefusalReason.DuplicateKey, 'TS008'],
		[RefusalReason.OutcomeUnknown, '08007'],
	])('reports the refusal %s as %s and continues, which guards against a caller that waits or reconnects', async (reason, code) => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		harness.executor.override = async () => createRefusal(reason);
		for (const query of ['INSERT INTO a VALUES (1)', {text: 'SELECT $1', values: ['a']}, {name: 'n', text: 'SELECT $1', values: ['a']}]) {
			await expect(client.query(query as string)).rejects.toMatchObject({code, severity: 'ERROR', hint: 'retry after 13 ms'});
		}

		harness.executor.override = undefined;
		expect(await client.query('SELECT 1')).toMatchObject({rowCount: 1});
	});

	it('answers 08007 when the executor throws, which guards against a request that is reported as not run', async () => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		harness.executor.override = async () => {
			throw new Error('defect');
		};

		await expect(client.query('INSERT INTO a VALUES (1)')).rejects.toMatchObject({code: '08007'});
	});

	it('forwards errors of the upstream, which guards against an error that closes the connection', async () => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		await expect(client.query('INSERT fail')).rejects.toMatchObject({code: '23505'});
		await expect(client.query('INSERT fail $1', ['a'])).rejects.toMatchObject({code: '23505'});
		expect(await client.query('SELECT $1', ['a'])).toMatchObject({rowCount: 1});
	});
});
