import {describe, expect, it} from 'vitest';
import {AcknowledgementMode, Rank, type RankTerms} from '@tarragonstack/core';
import {
	classifyError, getErrorCode, RankResult, RequestOutcome, RequestSource, SeededRandom, WriteGapTracker, type RankLoad,
} from '../../src/index.js';

const terms: RankTerms = {
	targetLatencyMilliseconds: 100,
	timeoutMilliseconds: 1000,
	maximumStalenessMilliseconds: 0,
	lateRefund: 10,
	refusedRefund: 4,
	floorShare: 0.1,
	acknowledgement: AcknowledgementMode.Fenced,
	repeatable: false,
};

const load: RankLoad = {
	rank: Rank.Urgent, requestsPerSecond: 100, readShare: 0.5, serviceMilliseconds: 5, sessionCount: 10,
};

function createSource(seed: number, changes: Partial<RankLoad> = {}): RequestSource {
	return new RequestSource({
		load: {...load, ...changes}, random: new SeededRandom(seed), groups: ['g1', 'g2'], hosts: ['h1', 'h2', 'h3'], prefix: 'p',
	}, 1000);
}

describe('RequestSource', () => {
	it('generates the same requests for the same seed, so that a failure can be reproduced', () => {
		const [first, second, differentSeed] = [createSource(1), createSource(1), createSource(2)];
		const takeRequests = (source: RequestSource) => Array.from({length: 50}, () => {
			const {statement, intendedTime, host} = source.next();
			return {statement, intendedTime, host};
		});
		const requests = takeRequests(first);
		expect(takeRequests(second)).toEqual(requests);
		expect(takeRequests(differentSeed)).not.toEqual(requests);
	});

	it.each([
		{title: 'high rate', changes: {requestsPerSecond: 500}, expectedRate: 500},
		{title: 'low rate', changes: {requestsPerSecond: 50}, expectedRate: 50},
	])('generates arrivals at the configured mean rate: $title', ({changes, expectedRate}) => {
		const source = createSource(3, changes);
		const count = 20_000;
		for (let index = 0; index < count; index++) {
			source.next();
		}

		const rate = count / ((source.nextArrivalTime - 1000) / 1000);
		expect(rate).toBeGreaterThan(expectedRate * 0.97);
		expect(rate).toBeLessThan(expectedRate * 1.03);
	});

	it.each([
		{title: 'reads only', readShare: 1, expectedShare: 1},
		{title: 'writes only', readShare: 0, expectedShare: 0},
		{title: 'one read for three writes', readShare: 0.25, expectedShare: 0.25},
	])('generates the configured share of reads: $title', ({readShare, expectedShare}) => {
		const source = createSource(4, {readShare});
		const requests = Array.from({length: 10_000}, () => source.next());
		expect(Math.abs((requests.filter(({isRead}) => isRead).length / requests.length) - expectedShare)).toBeLessThan(0.02);
	});

	it('never writes a key twice and reads the last acknowledged key of the session', () => {
		const source = createSource(5);
		const written = new Set<string>();
		for (let index = 0; index < 2000; index++) {
			const request = source.next();
			if (request.isRead) {
				expect(request.expectsRow).toBe(request.session.lastKey !== undefined);
				expect(request.statement).toContain(`'${request.session.lastKey ?? 'p-none'}'`);
			} else {
				expect(written.has(request.key)).toBe(false);
				written.add(request.key);
				request.session.lastKey = request.key;
			}
		}
	});
});

describe('RankResult', () => {
	it.each([
		{title: 'no refund for an on-time response', latencies: [99], errors: [], late: 0, refund: 0},
		{title: 'the late refund for a late response', latencies: [101, 50], errors: [], late: 1, refund: 10},
		{title: 'the lower refund of a refusal', latencies: [], errors: ['TS001'], late: 0, refund: 4},
		{title: 'the late refund for other errors', latencies: [], errors: ['08007', 'ECONNRESET'], late: 0, refund: 20},
	])('computes $title', ({latencies, errors, late, refund}) => {
		const result = new RankResult(terms);
		for (const latency of latencies) {
			result.recordResponse(latency);
		}

		for (const code of errors) {
			result.recordError(classifyError({code}), code);
		}

		expect(result.late).toBe(late);
		expect(result.refund).toBe(refund);
		expect(result.onTime).toBe(latencies.length - late);
	});

	it('returns latency percentiles within the precision of the histogram', () => {
		const result = new RankResult(terms);
		for (let latency = 1; latency <= 1000; latency++) {
			result.recordResponse(latency);
		}

		expect(Math.abs(result.getLatency(50) - 500)).toBeLessThan(2);
		expect(Math.abs(result.getLatency(99) - 990)).toBeLessThan(3);
	});
});

describe('classifyError', () => {
	it.each([
		{title: 'classifies class TS as a refusal', error: {code: 'TS004'}, outcome: RequestOutcome.Refused, code: 'TS004'},
		{title: 'classifies 08007 as unknown outcome', error: {code: '08007'}, outcome: RequestOutcome.Unknown, code: '08007'},
		{title: 'classifies a lost connection as failed', error: {code: 'ECONNRESET'}, outcome: RequestOutcome.Failed, code: 'ECONNRESET'},
		{title: 'uses the message if there is no code', error: new Error('timeout'), outcome: RequestOutcome.Failed, code: 'timeout'},
	])('$title', ({error, outcome, code}) => {
		expect(classifyError(error)).toBe(outcome);
		expect(getErrorCode(error)).toBe(code);
	});
});

describe('WriteGapTracker', () => {
	it.each([
		{title: 'returns a gap between two writes', times: [10, 20, 520, 530], endTime: 540, afterTime: 0, gap: 500},
		{title: 'returns a gap up to the end', times: [10, 20], endTime: 400, afterTime: 0, gap: 380},
		{title: 'returns a gap from the start', times: [300], endTime: 310, afterTime: 0, gap: 300},
		{title: 'ignores gaps that ended before a fault', times: [300, 310], endTime: 320, afterTime: 305, gap: 10},
		{title: 'returns the whole time without writes', times: [], endTime: 700, afterTime: 0, gap: 700},
	])('$title', ({times, endTime, afterTime, gap}) => {
		const tracker = new WriteGapTracker(0);
		for (const time of times) {
			tracker.recordWrite('g', time);
		}

		expect(tracker.getLongestGap('g', endTime, afterTime)).toBe(gap);
	});
});
