import {execFile} from 'node:child_process';
import {once} from 'node:events';
import {createServer} from 'node:net';
import {loadavg} from 'node:os';
import process from 'node:process';
import {SystemTimerService} from '@tarragonstack/core';
import pg from 'pg';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {callJson, LoopbackRange, type Fleet} from '../../src/fleet/index.js';
import {createSettings, daemonScript, TestDaemon, startSingleGroupPlatform, TemporaryDirectory, waitUntil} from './test-fleet.js';

/** Maximum back-off of a host for the key-value service, 15 s, plus a margin for a busy machine. */
const recoveryTimeoutMilliseconds = 20_000;

const timerService = new SystemTimerService();
const group = 'subs-core-1';

describe('startup of tarragond', () => {
	let platform: Fleet;
	let directory: TemporaryDirectory;
	let range: LoopbackRange;

	beforeAll(async () => {
		directory = await TemporaryDirectory.create();
		platform = await startSingleGroupPlatform();
		range = await LoopbackRange.acquire();
	});

	afterAll(async () => {
		await platform?.[Symbol.asyncDispose]();
		await range?.[Symbol.asyncDispose]();
		await directory?.[Symbol.asyncDispose]();
	});

	async function runDaemon(settings: unknown, ...parameters: string[]): Promise<{exitCode: number; output: string; errors: string}> {
		const file = await directory.write('start.json', typeof settings === 'string' ? settings : JSON.stringify(settings));
		return new Promise((resolve, reject) => {
			execFile(process.execPath, [daemonScript, '--settings', file, ...parameters], {timeout: 15_000}, (error, output, errors) => {
				if (error && typeof error.code !== 'number') {
					reject(new Error('the process did not exit by itself', {cause: error}));
				} else {
					resolve({exitCode: Number(error?.code ?? 0), output, errors});
				}
			});
		});
	}

	function getValidSettings(): Record<string, unknown> {
		return createSettings(platform, {name: 'host-1', availabilityZone: 'uy-sur-a', address: '127.0.0.1'});
	}

	it.each([
		{change: {callers: {port: 70_000}}, message: /callers\.port: .*65535/v, guards: 'a port out of range'},
		{change: {address: 'localhost'}, message: /address: .*IPv4/v, guards: 'a host name instead of an address'},
		{change: {host: {name: 'host-1', availabilityZone: 'UY', region: 'uy-sur'}}, message: /host\.availabilityZone: .*lower-case/v, guards: 'an upper-case zone'},
		{change: {keyValueService: {url: 'no url'}}, message: /keyValueService\.url: .*URL/v, guards: 'an invalid service URL'},
		{change: {peers: {port: 7000, tls: {keyFile: 'a'}}}, message: /peers\.tls\.certificateFile: .*string/v, guards: 'a missing certificate'},
		{change: {colour: 'green'}, message: /colour/v, guards: 'an unknown field'},
	])('exits with code 2, the path and the expected value, which guards against $guards', async ({change, message}) => {
		const result = await runDaemon({...getValidSettings(), ...change});
		expect(result).toMatchObject({exitCode: 2, output: ''});
		expect(result.errors).toMatch(message);
		expect(result.errors).not.toContain('    at ');
		expect(await runDaemon({...getValidSettings(), ...change}, '--check-settings')).toMatchObject({exitCode: 2});
	});

	it.each([
		{text: '{"host": ', message: 'is not JSON', guards: 'a truncated file'},
		{text: '[]', message: '(top level)', guards: 'a list'},
	])('exits with code 2 for $guards, which guards against a stack trace', async ({text, message}) => {
		const result = await runDaemon(text);
		expect(result.exitCode).toBe(2);
		expect(result.errors).toContain(message);
		expect(result.errors).not.toContain('    at ');
	});

	it('exits with code 2 for unusable key files, which guards against an error without the name of the setting', async () => {
		const garbage = await directory.write('garbage.pem', 'no certificate');
		const tls = {certificateFile: garbage, keyFile: garbage, authorityFile: garbage};
		for (const change of [{peers: {port: 0, tls}}, {peers: {port: 0, tls: {...tls, keyFile: '/no/such/file'}}}, {callers: {port: 0, tls}}]) {
			const result = await runDaemon({...getValidSettings(), ...change});
			expect(result.exitCode).toBe(2);
			expect(result.errors).toMatch(/tarragond: (?:peers|callers)\.tls/v);
			expect(result.errors).not.toContain('    at ');
		}
	});

	it.each(['callers', 'peers', 'admin'])('exits with code 1 when the %s port is in use, which guards against a host that runs without a listener', async listener => {
		const address = range.next();
		const occupyingServer = createServer();
		occupyingServer.listen(0, address);
		await once(occupyingServer, 'listening');
		const {port} = occupyingServer.address() as {port: number};
		const settings = createSettings(platform, {name: 'host-1', availabilityZone: 'uy-sur-a', address});
		const result = await runDaemon({...settings, [listener]: {port}});
		occupyingServer.close();
		expect(result).toMatchObject({exitCode: 1, output: ''});
		expect(result.errors).toMatch(/tarragond: cannot start: .*EADDRINUSE/v);
		expect(result.errors).toContain(`${address}:${port}`);
		expect(result.errors).not.toContain('    at ');
	});

	it.each(['hang', 'refuse'])('starts without the service and peers (%s), refuses work and recovers by itself, which guards against a host that must be restarted', async outage => {
		await callJson('POST', `${platform.keyValueUrl}/control`, {outage});
		await using daemon = await TestDaemon.start(platform, directory, {name: 'host-1', availabilityZone: 'uy-sur-a', address: range.next()});
		const health = await daemon.getHealth();
		expect(health.status).toBe(503);
		expect(health.body).toMatchObject({accepting: false, reason: expect.stringContaining('no configuration')});
		const refused = new pg.Client(daemon.getConnectionString(group));
		await expect(refused.connect()).rejects.toMatchObject({code: 'TS006'});
		// A read from a service that does not respond times out after 2 s.
		await waitUntil(5000, async () => daemon.process.errorLines.some(line => line.includes('could not read the configuration from the key-value service')));
		await callJson('POST', `${platform.keyValueUrl}/control`, {outage: 'none'});
		const startedAt = timerService.now();
		await waitUntil(recoveryTimeoutMilliseconds, async () => (await daemon.getHealth()).status === 200);
		console.log(`accepts work ${Math.round(timerService.now() - startedAt)} ms after the outage (${outage}, load average ${loadavg()[0]!.toFixed(1)})`);
		await waitUntil(9000, async () => {
			const client = new pg.Client(daemon.getConnectionString(group));
			await client.connect();
			try {
				return (await client.query(`INSERT INTO visits (id) VALUES ('${outage}')`)).rowCount === 1;
			} finally {
				await client.end();
			}
		});
	});
});
