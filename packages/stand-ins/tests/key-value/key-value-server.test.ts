import {afterEach, describe, expect, it} from 'vitest';
import {EtcdKeyValueService, SystemTimerService, Verdict} from '@tarragonstack/core';
import {KeyValueServer, type KeyValueOptions} from '../../src/index.js';

const timerService = new SystemTimerService();
const resources: AsyncDisposable[] = [];

afterEach(async () => {
	for (const resource of resources.splice(0).toReversed()) {
		await resource[Symbol.asyncDispose]();
	}
});

type Json = Record<string, any>;

const encode = (text: string) => Buffer.from(text).toString('base64');
const decode = (text: string) => Buffer.from(text, 'base64').toString();

async function startServer(options: Partial<KeyValueOptions> = {}) {
	const server = new KeyValueServer({
		address: '127.0.0.1', port: 0, readsPerSecond: 2000, writesPerSecond: 300, ...options,
	});
	resources.push(server);
	const url = `http://${await server.listen()}`;
	const post = async (path: string, body: Json): Promise<{status: number; body: Json}> => {
		const response = await fetch(url + path, {method: 'POST', body: JSON.stringify(body), signal: AbortSignal.timeout(500)});
		return {status: response.status, body: await response.json() as Json};
	};

	const swap = async (expectedRevision: string, value: string) => post('/v3/kv/txn', {
		compare: [{key: encode('k'), target: 'MOD', result: 'EQUAL', mod_revision: expectedRevision}],
		success: [{request_put: {key: encode('k'), value: encode(value)}}],
		failure: [{request_range: {key: encode('k')}}],
	});
	const read = async () => {
		const {body} = await post('/v3/kv/range', {key: encode('k')});
		return body.kvs === undefined ? undefined : decode(body.kvs[0].value);
	};

	const getStatus = async (path: string, body: Json) => {
		const {status} = await post(path, body);
		return status;
	};

	return {url, post, swap, read, getStatus};
}

describe('compare-and-swap', () => {
	it.each([
		{guards: 'a first write that is refused', values: [], expected: '0', succeeds: true, value: 'new'},
		{guards: 'a first write over an existing key', values: ['a'], expected: '0', succeeds: false, value: 'a'},
		{guards: 'a refused write that is based on the current revision', values: ['a'], expected: '2', succeeds: true, value: 'new'},
		{guards: 'a write over a change that the writer has not seen', values: ['a', 'b'], expected: '2', succeeds: false, value: 'b'},
	])('guards against $guards', async ({values, expected, succeeds, value}) => {
		const {post, swap, read} = await startServer();
		for (const previous of values) {
			await post('/v3/kv/put', {key: encode('k'), value: encode(previous)});
		}

		const {body} = await swap(expected, 'new');
		expect(body.succeeded ?? false).toBe(succeeds);
		expect(await read()).toBe(value);
	});
});

describe('faults', () => {
	it('drops the response to an applied write, so that the client must read the value back', async () => {
		const {post, swap, read} = await startServer();
		await post('/control', {loseWriteReplies: 1});
		await expect(swap('0', 'lost')).rejects.toThrow();
		expect(await read()).toBe('lost');
		const {body} = await swap('2', 'next');
		expect(body.succeeded).toBe(true);
	});

	it.each([
		{outage: 'refuse', guards: 'a fast failure'},
		{outage: 'hang', guards: 'a call that never returns'},
	])('simulates an outage with $guards', async ({outage}) => {
		const {post, getStatus} = await startServer();
		await post('/control', {outage});
		const call = getStatus('/v3/kv/range', {key: encode('k')});
		if (outage === 'refuse') {
			expect(await call).toBe(503);
		} else {
			await expect(call).rejects.toThrow('timeout');
		}

		await post('/control', {outage: 'none'});
		expect(await getStatus('/v3/kv/range', {key: encode('k')})).toBe(200);
	});

	it('returns an old value, which a client must not take for a newer version', async () => {
		const {post, read} = await startServer();
		for (const value of ['one', 'two']) {
			await post('/v3/kv/put', {key: encode('k'), value: encode(value)});
		}

		await post('/control', {staleChanges: 1});
		expect(await read()).toBe('one');
		await post('/control', {staleChanges: 0});
		expect(await read()).toBe('two');
	});

	it('delays responses', async () => {
		const {post, read} = await startServer();
		await post('/control', {delayMilliseconds: 100});
		const before = timerService.now();
		await read();
		expect(timerService.now() - before).toBeGreaterThanOrEqual(99);
	});

	it('refuses calls above the rate limit, so that a fleet that sends too many is noticed', async () => {
		const {post} = await startServer({writesPerSecond: 10});
		const replies = await Promise.all(Array.from({length: 20}, async () => post('/v3/kv/put', {key: encode('k'), value: ''})));
		expect(replies.filter(({status}) => status === 429).length).toBeGreaterThanOrEqual(15);
	});

	it('counts calls by path', async () => {
		const {url, read} = await startServer();
		await read();
		await read();
		const response = await fetch(`${url}/status`);
		expect(await response.json()).toMatchObject({calls: {'/v3/kv/range': 2}});
	});
});

describe('leases', () => {
	it('keeps the keys of a lease while it is renewed, and deletes them when it expires', async () => {
		const {post, read} = await startServer();
		const {body} = await post('/v3/lease/grant', {TTL: 1});
		await post('/v3/kv/put', {key: encode('k'), value: encode('held'), lease: body.ID});
		for (let renewal = 0; renewal < 4; renewal++) {
			await timerService.sleep(400);
			const renewed = await post('/v3/lease/keepalive', {ID: body.ID});
			expect(renewed.body.result.TTL).toBe('1');
		}

		expect(await read()).toBe('held');
		await timerService.sleep(1300);
		expect(await read()).toBeUndefined();
		const expired = await post('/v3/lease/keepalive', {ID: body.ID});
		expect(expired.body.result.TTL).toBe('0');
	});

	it('deletes the keys of a revoked lease immediately', async () => {
		const {post, read} = await startServer();
		const {body} = await post('/v3/lease/grant', {TTL: 60});
		await post('/v3/kv/put', {key: encode('k'), value: encode('held'), lease: body.ID});
		await post('/v3/lease/revoke', {ID: body.ID});
		expect(await read()).toBeUndefined();
	});
});

describe('watch', () => {
	it('delivers every change after a revision to the etcd adapter, once and in order', async () => {
		const {url, post} = await startServer();
		await using service = new EtcdKeyValueService({url});
		const first = await service.compareAndSwap('k', 0, 'one', 1000);
		const {revision} = (first._unsafeUnwrap().current!);
		const abort = new AbortController();
		const received: string[] = [];
		const watching = (async () => {
			for await (const entry of service.watch('k', revision, abort.signal)) {
				received.push(entry.value);
				if (received.length === 3) {
					return;
				}
			}
		})();
		await post('/v3/kv/put', {key: encode('other'), value: encode('x')});
		for (const value of ['two', 'three']) {
			await post('/v3/kv/put', {key: encode('k'), value: encode(value)});
		}

		// A watch stays open during an outage in which calls hang, and delivers changes after it.
		await post('/control', {outage: 'hang'});
		await post('/control', {outage: 'none'});
		await post('/v3/kv/put', {key: encode('k'), value: encode('four')});
		await watching;
		abort.abort();
		expect(received).toEqual(['two', 'three', 'four']);
	});

	it('closes watches when an outage begins', async () => {
		const {url, post} = await startServer();
		const response = await fetch(`${url}/v3/watch`, {method: 'POST', body: JSON.stringify({create_request: {key: encode('k')}})});
		const ended = expect(response.text()).rejects.toThrow();
		await post('/control', {outage: 'refuse'});
		await ended;
	});

	it('makes the etcd adapter report an unknown outcome for a write whose response is dropped', async () => {
		const {url, post} = await startServer();
		await using service = new EtcdKeyValueService({url});
		await post('/control', {loseWriteReplies: 1});
		const outcome = await service.compareAndSwap('k', 0, 'one', 1000);
		expect(outcome._unsafeUnwrapErr().verdict).toBe(Verdict.MayHaveRun);
	});
});
