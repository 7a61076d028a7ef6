import {describe, expect, it} from 'vitest';
import {getConnectionShare, isMajority, isSuspicious} from '../../src/index.js';

const healthy = {unknownMilliseconds: 0, silenceMilliseconds: 0, unreachableMilliseconds: 0, readOnlyMilliseconds: 0};

describe('isSuspicious', () => {
	// Guards against primaries that are replaced although they are only slow, and against failures that are detected
	// late.
	it.each([
		{name: 'answers', observation: healthy, isSuspectedByOthers: true, expected: false},
		{name: 'is slow', observation: {...healthy, silenceMilliseconds: 290}, isSuspectedByOthers: false, expected: false},
		{name: 'is silent', observation: {...healthy, silenceMilliseconds: 300}, isSuspectedByOthers: false, expected: true},
		{name: 'is silent for a short time and suspected by others', observation: {...healthy, silenceMilliseconds: 180}, isSuspectedByOthers: true, expected: true},
		{name: 'refuses connections', observation: {...healthy, unreachableMilliseconds: 150}, isSuspectedByOthers: false, expected: true},
		{name: 'has just lost its entry', observation: {...healthy, unknownMilliseconds: 2900}, isSuspectedByOthers: false, expected: false},
		{name: 'has just refused a write', observation: {...healthy, readOnlyMilliseconds: 290}, isSuspectedByOthers: true, expected: false},
		{name: 'refuses writes', observation: {...healthy, readOnlyMilliseconds: 300}, isSuspectedByOthers: false, expected: true},
		{name: 'has no address', observation: {...healthy, unknownMilliseconds: 3000}, isSuspectedByOthers: false, expected: true},
	])('is $expected for a primary that $name', ({observation, isSuspectedByOthers: isDoubted, expected}) => {
		expect(isSuspicious(observation, isDoubted)).toBe(expected);
	});
});

describe('isMajority', () => {
	it.each([[3, 6, false], [4, 6, true], [3, 7, false], [4, 7, true], [1, 1, true], [0, 0, false]])('of %i in %i is %s', (part, whole, expected) => {
		expect(isMajority(part, whole)).toBe(expected);
	});
});

describe('getConnectionShare', () => {
	// Guards against hosts that together exhaust the connections of an instance, and against a host without any.
	it.each([
		{limit: 21, hosts: 6, expected: 3},
		{limit: 30, hosts: 7, expected: 3},
		{limit: 47, hosts: 67, expected: 1},
		{limit: 21, hosts: 0, expected: 18},
	])('is $expected for $limit connections and $hosts hosts', ({limit, hosts, expected}) => {
		expect(getConnectionShare(limit, hosts)).toBe(expected);
	});
});
