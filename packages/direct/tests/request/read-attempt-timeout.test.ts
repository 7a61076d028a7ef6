import {describe, expect, it} from 'vitest';
import {getReadAttemptTimeout} from '../../src/index.js';

describe('getReadAttemptTimeout', () => {
	// Guards against reads that are slow on every instance, such as the order history, and time out on each attempt
	// (rc-montevideo inc-67a6).
	it.each([
		{target: 200, attempt: 1, expected: 250},
		{target: 400, attempt: 2, expected: 500},
		{target: 1200, attempt: 1, expected: 600},
		{target: 1200, attempt: 3, expected: 2400},
	])('is $expected ms for attempt $attempt of a route with target $target ms', ({target, attempt, expected}) => {
		expect(getReadAttemptTimeout(target, attempt)).toBe(expected);
	});
});
