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
		{title: 'returns 0 without jobs', jobs: [], slotCount: 1, servedTime: 0},
		{title: 'multiplies the time by the slot count', jobs: [createJob({processingTime: 300})], slotCount: 2, servedTime: 200},
		{title: 'uses no capacity after the deadline', jobs: [createJob({processingTime: 300})], slotCount: 1, servedTime: 100},
		{title: 'uses no capacity before the release', jobs: [createJob({releaseTime: 90, processingTime: 30})], slotCount: 1, servedTime: 10},
		{title: 'does not carry over idle time', jobs: [createJob({deadline: 10, processingTime: 10}), createJob({releaseTime: 50, deadline: 60, processingTime: 30})], slotCount: 1, servedTime: 20},
		{
			// In order of arrival, the second job would miss its deadline.
			title: 'serves the earliest deadline first',
			jobs: [createJob({deadline: 100, processingTime: 50}), createJob({releaseTime: 10, deadline: 40, processingTime: 30})], slotCount: 1, servedTime: 80,
		},
		{title: 'ignores a deadline before the release', jobs: [createJob({releaseTime: 100, deadline: 90})], slotCount: 1, servedTime: 0},
		{title: 'accepts jobs in any order', jobs: [createJob({releaseTime: 50, deadline: 60}), createJob({deadline: 10})], slotCount: 1, servedTime: 20},
	])('$title', ({jobs, slotCount, servedTime}) => {
		expect(getMaximumServedTime(jobs, slotCount)).toBeCloseTo(servedTime);
	});
});

describe('getRefundLowerBound', () => {
	const urgent = createJob({refund: 10});
	it.each([
		{title: 'returns 0 if all jobs can be on time', jobs: [urgent, urgent, urgent], bound: 0},
		{title: 'returns the excess under overload', jobs: Array.from({length: 20}, () => urgent), bound: 200 - 100},
		{
			title: 'prefers jobs with a higher refund',
			jobs: [...Array.from({length: 10}, () => urgent), ...Array.from({length: 10}, () => createJob({refund: 0.3}))], bound: 10 * 0.3,
		},
		{
			title: 'restricts writes to the primary',
			jobs: Array.from({length: 5}, () => createJob({refund: 3, requiresPrimary: true})), bound: 15 - 10,
		},
		{
			title: 'lets reads use all instances',
			jobs: [...Array.from({length: 3}, () => createJob({requiresPrimary: true})), ...Array.from({length: 6}, () => createJob())], bound: 0,
		},
		{title: 'compares refunds per slot time', jobs: [createJob({processingTime: 300, refund: 3}), createJob({processingTime: 100, refund: 3})], bound: 1},
	])('$title', ({jobs, bound}) => {
		expect(getRefundLowerBound(jobs, slots)).toBeCloseTo(bound);
	});
});
