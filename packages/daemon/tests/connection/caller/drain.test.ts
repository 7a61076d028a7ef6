import {serialize} from 'pg-protocol';
import {describe, expect, it} from 'vitest';
import {Harness} from './harness.js';

describe('drain', () => {
	it('closes idle connections with 57P01 and accepts no new ones', async () => {
		await using harness = await Harness.start();
		const caller = await harness.connectRaw();
		await harness.listener.drain(10_000);
		await caller.waitForClose();
		expect(caller.errorCodes).toEqual(['57P01']);
		await expect(harness.connect()).rejects.toThrow(/ECONNREFUSED/v);
	});

	it.each([
		{grace: 10_000, answered: 2, guards: 'a request that was received but not answered'},
		{grace: 20, answered: 1, guards: 'an interrupted request'},
	])('answers $answered of 2 pipelined requests with a grace period of $grace ms, which guards against $guards', async ({grace, answered}) => {
		await using harness = await Harness.start();
		const caller = await harness.connectRaw();
		const unblock = harness.blockRequests();
		caller.socket.write(Buffer.concat([serialize.query('SELECT 1'), serialize.query('SELECT 2')]));
		await harness.waitUntil(() => harness.executor.requests.length === 1);
		const drained = harness.listener.drain(grace);
		await harness.timerService.sleep(100);
		expect(harness.executor.signals[0]?.aborted).toBe(false);
		unblock();
		await drained;
		await caller.waitForClose();
		expect(caller.receivedTypes).toBe(`${'TDCZ'.repeat(answered)}E`);
		expect(caller.errorCodes).toEqual(['57P01']);
	});

	it('lets an open transaction end within the grace period', async () => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		await client.query('BEGIN');
		const drained = harness.listener.drain(10_000);
		await harness.timerService.sleep(30);
		await client.query('INSERT INTO a VALUES (1)');
		expect(await client.query('COMMIT')).toMatchObject({command: 'COMMIT'});
		await drained;
		expect(harness.listener.connectionCount).toBe(0);
	});

	it('closes a transaction that is idle after the grace period, which guards against a host that never stops', async () => {
		await using harness = await Harness.start();
		const caller = await harness.connectRaw();
		caller.socket.write(serialize.query('BEGIN'));
		await caller.waitFor('Z');
		await harness.listener.drain(50);
		await caller.waitForClose();
		expect(caller.errorCodes).toEqual(['57P01']);
		expect(harness.executor.abandonedCount).toBe(1);
	});

	it('closes connections that are logging in and those that the caller keeps half open', async () => {
		await using harness = await Harness.start();
		const {connect} = await import('node:net');
		const socket = connect({port: harness.port, host: '127.0.0.1', allowHalfOpen: true});
		socket.on('error', () => {});
		socket.resume();
		await harness.waitUntil(() => harness.listener.connectionCount === 1);
		await harness.listener.drain(50);
		expect(harness.listener.connectionCount).toBe(0);
		socket.destroy();
	});
});
