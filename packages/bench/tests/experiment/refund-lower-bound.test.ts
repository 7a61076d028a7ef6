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
		{title: 'work that is never released', jobs: [], slotCount: 1, servedTime: 0},
		{title: 'a rate that is ignored', jobs: [createJob({processingTime: 300})], slotCount: 2, servedTime: 200},
		{title: 'capacity that is used after the due time', jobs: [createJob({processingTime: 300})], slotCount: 1, servedTime: 100},
		{title: 'capacity that is used before the release', jobs: [createJob({releaseTime: 90, processingTime: 30})], slotCount: 1, servedTime: 10},
		{title: 'idle time that is saved up', jobs: [createJob({deadline: 10, processingTime: 10}), createJob({releaseTime: 50, deadline: 60, processingTime: 30})], slotCount: 1, servedTime: 20},
		{
			title: 'service in the order of arrival, which misses the second due time',
			jobs: [createJob({deadline: 100, processingTime: 50}), createJob({releaseTime: 10, deadline: 40, processingTime: 30})], slotCount: 1, servedTime: 80,
		},
		{title: 'work with an empty window', jobs: [createJob({releaseTime: 100, deadline: 90})], slotCount: 1, servedTime: 0},
		{title: 'arrivals that must be sorted', jobs: [createJob({releaseTime: 50, deadline: 60}), createJob({deadline: 10})], slotCount: 1, servedTime: 20},
	])('guards against $title', ({jobs, slotCount, servedTime}) => {
		expect(getMaximumServedTime(jobs, slotCount)).toBeCloseTo(servedTime);
	});
});

describe('getRefundLowerBound', () => {
	const urgent = createJob({refund: 10});
	it.each([
		{title: 'refunds although everything fits', jobs: [urgent, urgent, urgent], bound: 0},
		{title: 'a bound of zero under overload', jobs: Array.from({length: 20}, () => urgent), bound: 200 - 100},
		{
			title: 'a bound that serves cheap work first',
			jobs: [...Array.from({length: 10}, () => urgent), ...Array.from({length: 10}, () => createJob({refund: 0.3}))], bound: 10 * 0.3,
		},
		{
			title: 'writes that use replicas',
			jobs: Array.from({length: 5}, () => createJob({refund: 3, requiresPrimary: true})), bound: 15 - 10,
		},
		{
			title: 'reads that are confined to the primary',
			jobs: [...Array.from({length: 3}, () => createJob({requiresPrimary: true})), ...Array.from({length: 6}, () => createJob())], bound: 0,
		},
		{title: 'different service times with the same refund', jobs: [createJob({processingTime: 300, refund: 3}), createJob({processingTime: 100, refund: 3})], bound: 1},
	])('guards against $title', ({jobs, bound}) => {
		expect(getRefundLowerBound(jobs, slots)).toBeCloseTo(bound);
	});
});
