import {describe, expect, it} from 'vitest';
import {getMaximumServedTime, getRefundLowerBound, type Job} from '../../src/experiment/refund-lower-bound.js';

function createJob(overrides: Partial<Job> = {}): Job {
	return {
		releaseTime: 0, deadline: 100, processingTime: 30, refund: 1, requiresPrimary: false, ...overrides,
	};
}

const slots = {perInstance: 1, instances: 3};

describe('getGreatestServedWork', () => {
	it.each([
		{guardsAgainst: 'work that is never released', works: [], rate: 1, served: 0},
		{guardsAgainst: 'a rate that is ignored', works: [createJob({processingTime: 300})], rate: 2, served: 200},
		{guardsAgainst: 'capacity that is used after the due time', works: [createJob({processingTime: 300})], rate: 1, served: 100},
		{guardsAgainst: 'capacity that is used before the release', works: [createJob({releaseTime: 90, processingTime: 30})], rate: 1, served: 10},
		{guardsAgainst: 'idle time that is saved up', works: [createJob({deadline: 10, processingTime: 10}), createJob({releaseTime: 50, deadline: 60, processingTime: 30})], rate: 1, served: 20},
		{
			guardsAgainst: 'service in the order of arrival, which misses the second due time',
			works: [createJob({deadline: 100, processingTime: 50}), createJob({releaseTime: 10, deadline: 40, processingTime: 30})], rate: 1, served: 80,
		},
		{guardsAgainst: 'work with an empty window', works: [createJob({releaseTime: 100, deadline: 90})], rate: 1, served: 0},
		{guardsAgainst: 'arrivals that must be sorted', works: [createJob({releaseTime: 50, deadline: 60}), createJob({deadline: 10})], rate: 1, served: 20},
	])('guards against $guardsAgainst', ({works, rate, served}) => {
		expect(getMaximumServedTime(works, rate)).toBeCloseTo(served);
	});
});

describe('getRefundLowerBound', () => {
	const urgent = createJob({refund: 10});
	it.each([
		{guardsAgainst: 'refunds although everything fits', works: [urgent, urgent, urgent], bound: 0},
		{guardsAgainst: 'a bound of zero under overload', works: Array.from({length: 20}, () => urgent), bound: 200 - 100},
		{
			guardsAgainst: 'a bound that serves cheap work first',
			works: [...Array.from({length: 10}, () => urgent), ...Array.from({length: 10}, () => createJob({refund: 0.3}))], bound: 10 * 0.3,
		},
		{
			guardsAgainst: 'writes that use replicas',
			works: Array.from({length: 5}, () => createJob({refund: 3, requiresPrimary: true})), bound: 15 - 10,
		},
		{
			guardsAgainst: 'reads that are confined to the primary',
			works: [...Array.from({length: 3}, () => createJob({requiresPrimary: true})), ...Array.from({length: 6}, () => createJob())], bound: 0,
		},
		{guardsAgainst: 'different service times with the same refund', works: [createJob({processingTime: 300, refund: 3}), createJob({processingTime: 100, refund: 3})], bound: 1},
	])('guards against $guardsAgainst', ({works, bound}) => {
		expect(getRefundLowerBound(works, slots)).toBeCloseTo(bound);
	});
});
