import {describe, expect, it} from 'vitest';
import {chooseReadCandidate, type ReadCandidate} from '../../src/index.js';

const idleReplica: ReadCandidate = {load: 0, responseTime: 20, isLocalZone: false, usesGateway: false, failureRate: 0, isBehind: false, isResponsive: true, isTried: false};

describe('chooseReadCandidate', () => {
	// Guards against reads that are sent to an instance where they wait longer, fail more often or cost more than on
	// another one.
	it.each([
		{name: 'the replica of the own zone when both are idle', candidates: [idleReplica, {...idleReplica, isLocalZone: true}], expected: 1},
		{name: 'the idle one of another zone when the local one is busy', candidates: [idleReplica, {...idleReplica, isLocalZone: true, load: 1}], expected: 0},
		{name: 'the one that needs no gateway when both are idle', candidates: [{...idleReplica, usesGateway: true}, idleReplica], expected: 1},
		{name: 'the faster one', candidates: [{...idleReplica, responseTime: 100}, idleReplica], expected: 1},
		{name: 'the one that fails less', candidates: [{...idleReplica, failureRate: 0.4}, {...idleReplica, load: 2}], expected: 1},
		{name: 'one that fails when the others are much busier', candidates: [{...idleReplica, failureRate: 0.4}, {...idleReplica, load: 9}], expected: 0},
		{name: 'the least busy one when all fail alike', candidates: [{...idleReplica, failureRate: 0.4, load: 2}, {...idleReplica, failureRate: 0.4}], expected: 1},
		{name: 'the one that is not behind', candidates: [{...idleReplica, isBehind: true}, {...idleReplica, load: 9}], expected: 1},
		{name: 'the one that answers', candidates: [{...idleReplica, isResponsive: false}, {...idleReplica, load: 9}], expected: 1},
		{name: 'the one that was not tried', candidates: [{...idleReplica, isTried: true}, {...idleReplica, load: 9}], expected: 1},
		{name: 'none when all are unsuitable', candidates: [{...idleReplica, isTried: true}, {...idleReplica, isBehind: true}, {...idleReplica, isResponsive: false}], expected: -1},
		{name: 'none when there is none', candidates: [], expected: -1},
	])('chooses $name', ({candidates, expected}) => {
		expect(chooseReadCandidate(candidates)).toBe(expected);
	});
});
