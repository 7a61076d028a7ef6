import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {connect} from 'node:net';
import {fileURLToPath} from 'node:url';
import type pg from 'pg';
import {describe, expect, it} from 'vitest';
import {createConfiguration, Harness, RawCaller} from './harness.js';

const readFixture = (name: string) => readFileSync(fileURLToPath(new URL(`fixtures/${name}`, import.meta.url)));

describe('login', () => {
	it.each<[pg.ClientConfig & {replication?: string}, string, string]>([
		[{password: 'wrong'}, '28P01', 'a wrong password that is accepted'],
		[{password: ''}, '28P01', 'an empty password that is accepted'],
		[{user: 'nobody'}, '28P01', 'an unknown user that is accepted or distinguished from a wrong password'],
		[{database: 'foreign'}, '3D000', 'a group of another customer'],
		[{database: 'missing'}, '3D000', 'a group that does not exist'],
		[{options: '-c tarragon.rank=first'}, '22023', 'an invalid option'],
		[{options: '-c tarragon.speed=1'}, '22023', 'an unknown option'],
		[{options: '-c work_mem=1'}, '0A000', 'a setting that pooled connections cannot preserve'],
		[{options: '-c tarragon.group=foreign'}, '22023', 'a group of another customer by option'],
		[{options: '-c client_encoding=LATIN1'}, '0A000', 'an encoding that changes the results'],
		[{replication: 'database'}, '0A000', 'a replication connection'],
	])('refuses %j with %s (guards against %s)', async (options, code, _guards) => {
		await using harness = await Harness.start();
		await expect(harness.connect(options)).rejects.toMatchObject({code});
		expect(harness.executor.requests).toEqual([]);
	});

	it('refuses with TS006 without a configuration, which guards against a login without a password check', async () => {
		await using harness = await Harness.start({}, undefined);
		harness.configurationStore.configuration = undefined;
		await expect(harness.connect()).rejects.toMatchObject({code: 'TS006'});
	});

	it('refuses connections over the limit with 53300, and does not count closed ones', async () => {
		await using harness = await Harness.start({}, createConfiguration(2));
		const first = await harness.connect();
		await harness.connect();
		await expect(harness.connect()).rejects.toMatchObject({code: '53300'});
		await first.end();
		await harness.waitUntil(() => harness.listener.connectionCount === 1);
		await expect(harness.connect()).resolves.toBeDefined();
	});

	it('answers queries over TLS, which guards against plaintext after the upgrade', async () => {
		await using harness = await Harness.start({tls: {key: readFixture('key.pem'), cert: readFixture('certificate.pem')}});
		const client = await harness.connect({ssl: {rejectUnauthorized: false}});
		expect(await client.query('SELECT 1')).toMatchObject({rows: [{text: 'SELECT 1'}]});
	});

	it('reports a wrong password over TLS, which guards against an error message that is lost when the connection closes', async () => {
		await using harness = await Harness.start({tls: {key: readFixture('key.pem'), cert: readFixture('certificate.pem')}});
		for (let attempt = 0; attempt < 20; attempt++) {
			await expect(harness.connect({ssl: {rejectUnauthorized: false}, password: 'wrong'})).rejects.toMatchObject({code: '28P01'});
		}
	});

	it('declines TLS requests without a certificate, which guards against a caller that waits', async () => {
		await using harness = await Harness.start();
		await expect(harness.connect({ssl: true})).rejects.toThrow(/does not support SSL/v);
	});

	const tlsRequest = Buffer.from([0, 0, 0, 8, 4, 210, 22, 47]);
	it.each([
		['an HTTP request', Buffer.from('GET / HTTP/1.1\r\nHost: a\r\n\r\n')],
		['zeros', Buffer.alloc(64)],
		['bytes of value 255', Buffer.alloc(64, 255)],
		['a startup message without terminators', Buffer.concat([Buffer.from([0, 0, 0, 12, 0, 3, 0, 0]), Buffer.from('user')])],
		['a startup message without the final terminator', Buffer.concat([Buffer.from([0, 0, 0, 13, 0, 3, 0, 0]), Buffer.from('user\0')])],
		['a TLS request followed by plaintext', Buffer.concat([tlsRequest, Buffer.alloc(20, 1)])],
		['a cancel request with a short key', Buffer.from([0, 0, 0, 12, 4, 210, 22, 46, 0, 0, 0, 1])],
	])('closes the connection on %s, which guards against invalid bytes that crash the host', async (_name, bytes) => {
		await using harness = await Harness.start({tls: {key: readFixture('key.pem'), cert: readFixture('certificate.pem')}});
		const caller = new RawCaller(connect(harness.port, '127.0.0.1'));
		await once(caller.socket, 'connect');
		caller.socket.write(bytes);
		await caller.waitForClose();
		const client = await harness.connect();
		expect(await client.query('SELECT 1')).toMatchObject({rowCount: 1});
	});

	it('closes the connection on invalid bytes in the TLS handshake, which guards against an error event without a listener', async () => {
		await using harness = await Harness.start({tls: {key: readFixture('key.pem'), cert: readFixture('certificate.pem')}});
		const caller = new RawCaller(connect(harness.port, '127.0.0.1'));
		await once(caller.socket, 'connect');
		caller.socket.write(tlsRequest);
		await once(caller.socket, 'data');
		caller.socket.write(Buffer.alloc(64, 1));
		await caller.waitForClose();
		await harness.waitUntil(() => harness.listener.connectionCount === 0);
		const client = await harness.connect();
		expect(await client.query('SELECT 1')).toMatchObject({rowCount: 1});
	});
});
