import {describe, expect, it} from 'vitest';
import {getMaximumServedTime, getRefundLowerBound, type Job} from '../../src/experiment/refund-lower-bound.js';

function createJob(overrides: Partial<Job> = {}): Job {
	return {
		releaseTime: 0, deadline: 100, processingTime: 30, refund: 1, requiresPrimary: false, ...overrides,
	};
}

const slots = {perInstance: 1, instances: 3};

describe('getMaximumServedTime', () => {
	it.each([
		{guardsAgainst: 'served time without jobs', jobs: [], slotCount: 1, servedTime: 0},
		{guardsAgainst: 'a slot count that is ignored', jobs: [createJob({processingTime: 300})], slotCount: 2, servedTime: 200},
		{guardsAgainst: 'capacity that is used after the deadline', jobs: [createJob({processingTime: 300})], slotCount: 1, servedTime: 100},
		{guardsAgainst: 'capacity that is used before the release', jobs: [createJob({releaseTime: 90, processingTime: 30})], slotCount: 1, servedTime: 10},
		{
			guardsAgainst: 'idle time that is carried over',
			jobs: [createJob({deadline: 10, processingTime: 10}), createJob({releaseTime: 50, deadline: 60, processingTime: 30})], slotCount: 1, servedTime: 20,
		},
		{
			guardsAgainst: 'service in the order of arrival, which misses the second deadline',
			jobs: [createJob({deadline: 100, processingTime: 50}), createJob({releaseTime: 10, deadline: 40, processingTime: 30})], slotCount: 1, servedTime: 80,
		},
		{guardsAgainst: 'served time of a job with a deadline before its release', jobs: [createJob({releaseTime: 100, deadline: 90})], slotCount: 1, servedTime: 0},
		{guardsAgainst: 'jobs that the caller must sort', jobs: [createJob({releaseTime: 50, deadline: 60}), createJob({deadline: 10})], slotCount: 1, servedTime: 20},
	])('guards against $guardsAgainst', ({jobs, slotCount, servedTime}) => {
		expect(getMaximumServedTime(jobs, slotCount)).toBeCloseTo(servedTime);
	});
});

describe('getRefundLowerBound', () => {
	const urgent = createJob({refund: 10});
	it.each([
		{guardsAgainst: 'refunds although all jobs can be on time', jobs: [urgent, urgent, urgent], bound: 0},
		{guardsAgainst: 'a bound of zero under overload', jobs: Array.from({length: 20}, () => urgent), bound: 200 - 100},
		{
			guardsAgainst: 'a bound that serves jobs with a lower refund first',
			jobs: [...Array.from({length: 10}, () => urgent), ...Array.from({length: 10}, () => createJob({refund: 0.3}))], bound: 10 * 0.3,
		},
		{
			guardsAgainst: 'writes that use replicas',
			jobs: Array.from({length: 5}, () => createJob({refund: 3, requiresPrimary: true})), bound: 15 - 10,
		},
		{
			guardsAgainst: 'reads that are confined to the primary',
			jobs: [...Array.from({length: 3}, () => createJob({requiresPrimary: true})), ...Array.from({length: 6}, () => createJob())], bound: 0,
		},
		{guardsAgainst: 'refunds that are compared per job instead of per slot time', jobs: [createJob({processingTime: 300, refund: 3}), createJob({processingTime: 100, refund: 3})], bound: 1},
	])('guards against $guardsAgainst', ({jobs, bound}) => {
		expect(getRefundLowerBound(jobs, slots)).toBeCloseTo(bound);
	});
});
