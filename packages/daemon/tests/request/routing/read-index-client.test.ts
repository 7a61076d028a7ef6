import {ManualTimerService} from '@tarragonstack/core';
import {err, ok, type Result} from 'neverthrow';
import {describe, expect, it} from 'vitest';
import {ReadIndexClient, type ReadIndex} from '../../../src/index.js';

/** Responds to each request after 2 ms; the index of the position is the number of the request. */
class FakeReadIndexSource {
	requestCount = 0;
	failures = 0;

	constructor(readonly timerService: ManualTimerService) {}

	async request(): Promise<Result<ReadIndex, string>> {
		const index = ++this.requestCount;
		await this.timerService.sleep(2);
		return index <= this.failures ? err('no majority') : ok({primary: {instance: 'a', term: 1}, position: {term: 1, index}});
	}
}

function createClient(failures = 0) {
	const timerService = new ManualTimerService();
	const source = new FakeReadIndexSource(timerService);
	source.failures = failures;
	return {timerService, source, client: new ReadIndexClient(source, timerService)};
}

const {signal} = new AbortController();

describe('ReadIndexClient', () => {
	it('serves concurrent reads with one request, which guards against one request per read', async () => {
		const {client, source, timerService} = createClient();
		const reads = Array.from({length: 100}, async () => client.get('g', 0, 1000, signal));
		await timerService.advance(10);
		await Promise.all(reads);
		expect(source.requestCount).toBe(1);
	});

	it('sends a new request for a read that arrives while one is in flight, which guards against a stale read index', async () => {
		const {client, timerService} = createClient();
		const first = client.get('g', 0, 1000, signal);
		await timerService.advance(1);
		const second = client.get('g', 0, 1000, signal);
		await timerService.advance(10);
		const results = await Promise.all([first, second]);
		expect(results.map(result => result?.position.index)).toEqual([1, 2]);
	});

	it.each([
		{ageMilliseconds: 40, permitted: 100, expectedRequests: 1, guards: 'unnecessary requests for a fresh value'},
		{ageMilliseconds: 80, permitted: 100, expectedRequests: 2, guards: 'a value that expires without a refresh'},
		{ageMilliseconds: 200, permitted: 100, expectedRequests: 2, guards: 'a value that exceeds the maximum age'},
	])('guards against $guards', async ({ageMilliseconds, permitted, expectedRequests}) => {
		const {client, source, timerService} = createClient();
		const first = client.get('g', permitted, 1000, signal);
		await timerService.advance(10);
		await first;
		await timerService.advance(ageMilliseconds - 10);
		const second = client.get('g', permitted, 1000, signal);
		await timerService.advance(10);
		await second;
		expect(source.requestCount).toBe(expectedRequests);
	});

	it('retries failed requests until one succeeds', async () => {
		const {client, timerService} = createClient(3);
		const read = client.get('g', 0, 1000, signal);
		await timerService.advance(100);
		const result = await read;
		expect(result?.position.index).toBe(4);
	});

	it('returns no read index after the time limit', async () => {
		const {client, timerService} = createClient(1000);
		const read = client.get('g', 0, 100, signal);
		await timerService.advance(200);
		expect(await read).toBeUndefined();
	});
});
