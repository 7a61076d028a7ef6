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
		{guardsAgainst: 'a rate that is too low or too high', changes: {requestsPerSecond: 500}, expectedRate: 500},
		{guardsAgainst: 'a rate that does not depend on the settings', changes: {requestsPerSecond: 50}, expectedRate: 50},
	])('generates arrivals at the configured mean rate: guards against $guardsAgainst', ({changes, expectedRate}) => {
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
		{guardsAgainst: 'writes in a load of reads', readShare: 1, expectedShare: 1},
		{guardsAgainst: 'reads in a load of writes', readShare: 0, expectedShare: 0},
		{guardsAgainst: 'a share of reads other than the configured one', readShare: 0.25, expectedShare: 0.25},
	])('generates the configured share of reads: guards against $guardsAgainst', ({readShare, expectedShare}) => {
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
		{guardsAgainst: 'an on-time response with a refund', latencies: [99], errors: [], late: 0, refund: 0},
		{guardsAgainst: 'a late response without a refund', latencies: [101, 50], errors: [], late: 1, refund: 10},
		{guardsAgainst: 'a refusal that is refunded like a late response', latencies: [], errors: ['TS001'], late: 0, refund: 4},
		{guardsAgainst: 'an unknown outcome or a lost connection with a lower refund than a late response', latencies: [], errors: ['08007', 'ECONNRESET'], late: 0, refund: 20},
	])('computes refunds: guards against $guardsAgainst', ({latencies, errors, late, refund}) => {
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
		{guardsAgainst: 'a refusal that counts as a failure', error: {code: 'TS004'}, outcome: RequestOutcome.Refused, code: 'TS004'},
		{guardsAgainst: 'an unknown outcome that counts as a refusal', error: {code: '08007'}, outcome: RequestOutcome.Unknown, code: '08007'},
		{guardsAgainst: 'a lost connection that counts as a refusal', error: {code: 'ECONNRESET'}, outcome: RequestOutcome.Failed, code: 'ECONNRESET'},
		{guardsAgainst: 'an error without a code that is recorded without its message', error: new Error('timeout'), outcome: RequestOutcome.Failed, code: 'timeout'},
	])('guards against $guardsAgainst', ({error, outcome, code}) => {
		expect(classifyError(error)).toBe(outcome);
		expect(getErrorCode(error)).toBe(code);
	});
});

describe('WriteGapTracker', () => {
	it.each([
		{guardsAgainst: 'a missed gap between two writes', times: [10, 20, 520, 530], endTime: 540, afterTime: 0, gap: 500},
		{guardsAgainst: 'a missed gap at the end', times: [10, 20], endTime: 400, afterTime: 0, gap: 380},
		{guardsAgainst: 'a missed gap at the beginning', times: [300], endTime: 310, afterTime: 0, gap: 300},
		{guardsAgainst: 'a gap before the fault that counts', times: [300, 310], endTime: 320, afterTime: 305, gap: 10},
		{guardsAgainst: 'a missed gap in a group without writes', times: [], endTime: 700, afterTime: 0, gap: 700},
	])('guards against $guardsAgainst', ({times, endTime, afterTime, gap}) => {
		const tracker = new WriteGapTracker(0);
		for (const time of times) {
			tracker.recordWrite('g', time);
		}

		expect(tracker.getLongestGap('g', endTime, afterTime)).toBe(gap);
	});
});
