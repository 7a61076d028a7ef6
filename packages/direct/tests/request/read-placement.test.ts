import {describe, expect, it} from 'vitest';
import {chooseReadCandidate, type ReadCandidate} from '../../src/index.js';

const calm: ReadCandidate = {load: 0, serviceTime: 20, isLocalZone: false, isRelayed: false, failureShare: 0, isBehind: false, isReachable: true, isTried: false};

describe('chooseReadCandidate', () => {
	// Guards against reads that go where they wait, fail or cost more than elsewhere.
	it.each([
		{name: 'the replica of the own zone when both are idle', candidates: [calm, {...calm, isLocalZone: true}], expected: 1},
		{name: 'the idle one of another zone when the local one is busy', candidates: [calm, {...calm, isLocalZone: true, load: 1}], expected: 0},
		{name: 'the one that needs no gateway when both are idle', candidates: [{...calm, isRelayed: true}, calm], expected: 1},
		{name: 'the faster one', candidates: [{...calm, serviceTime: 100}, calm], expected: 1},
		{name: 'the one that fails less', candidates: [{...calm, failureShare: 0.4}, {...calm, load: 2}], expected: 1},
		{name: 'one that fails when the others are much busier', candidates: [{...calm, failureShare: 0.4}, {...calm, load: 9}], expected: 0},
		{name: 'the least busy one when all fail alike', candidates: [{...calm, failureShare: 0.4, load: 2}, {...calm, failureShare: 0.4}], expected: 1},
		{name: 'the one that is not behind', candidates: [{...calm, isBehind: true}, {...calm, load: 9}], expected: 1},
		{name: 'the one that answers', candidates: [{...calm, isReachable: false}, {...calm, load: 9}], expected: 1},
		{name: 'the one that was not tried', candidates: [{...calm, isTried: true}, {...calm, load: 9}], expected: 1},
		{name: 'none when all are unsuitable', candidates: [{...calm, isTried: true}, {...calm, isBehind: true}, {...calm, isReachable: false}], expected: -1},
		{name: 'none when there is none', candidates: [], expected: -1},
	])('chooses $name', ({candidates, expected}) => {
		expect(chooseReadCandidate(candidates)).toBe(expected);
	});
});
