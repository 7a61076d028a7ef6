import {describe, expect, it} from 'vitest';
import {getGreatestServedWork, getRefundLowerBound, type OfferedWork} from '../../src/experiment/refund-lower-bound.js';

function createWork(change: Partial<OfferedWork> = {}): OfferedWork {
	return {
		release: 0, due: 100, work: 30, refund: 1, needsPrimary: false, ...change,
	};
}

const slots = {perInstance: 1, instances: 3};

describe('getGreatestServedWork', () => {
	it.each([
		{guardsAgainst: 'work that is never released', works: [], rate: 1, served: 0},
		{guardsAgainst: 'a rate that is ignored', works: [createWork({work: 300})], rate: 2, served: 200},
		{guardsAgainst: 'capacity that is used after the due time', works: [createWork({work: 300})], rate: 1, served: 100},
		{guardsAgainst: 'capacity that is used before the release', works: [createWork({release: 90, work: 30})], rate: 1, served: 10},
		{guardsAgainst: 'idle time that is saved up', works: [createWork({due: 10, work: 10}), createWork({release: 50, due: 60, work: 30})], rate: 1, served: 20},
		{
			guardsAgainst: 'service in the order of arrival, which misses the second due time',
			works: [createWork({due: 100, work: 50}), createWork({release: 10, due: 40, work: 30})], rate: 1, served: 80,
		},
		{guardsAgainst: 'work with an empty window', works: [createWork({release: 100, due: 90})], rate: 1, served: 0},
		{guardsAgainst: 'arrivals that must be sorted', works: [createWork({release: 50, due: 60}), createWork({due: 10})], rate: 1, served: 20},
	])('guards against $guardsAgainst', ({works, rate, served}) => {
		expect(getGreatestServedWork(works, rate)).toBeCloseTo(served);
	});
});

describe('getRefundLowerBound', () => {
	const urgent = createWork({refund: 10});
	it.each([
		{guardsAgainst: 'refunds although everything fits', works: [urgent, urgent, urgent], bound: 0},
		{guardsAgainst: 'a bound of zero under overload', works: Array.from({length: 20}, () => urgent), bound: 200 - 100},
		{
			guardsAgainst: 'a bound that serves cheap work first',
			works: [...Array.from({length: 10}, () => urgent), ...Array.from({length: 10}, () => createWork({refund: 0.3}))], bound: 10 * 0.3,
		},
		{
			guardsAgainst: 'writes that use replicas',
			works: Array.from({length: 5}, () => createWork({refund: 3, needsPrimary: true})), bound: 15 - 10,
		},
		{
			guardsAgainst: 'reads that are confined to the primary',
			works: [...Array.from({length: 3}, () => createWork({needsPrimary: true})), ...Array.from({length: 6}, () => createWork())], bound: 0,
		},
		{guardsAgainst: 'different service times with the same refund', works: [createWork({work: 300, refund: 3}), createWork({work: 100, refund: 3})], bound: 1},
	])('guards against $guardsAgainst', ({works, bound}) => {
		expect(getRefundLowerBound(works, slots)).toBeCloseTo(bound);
	});
});
