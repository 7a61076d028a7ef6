import {describe, expect, it} from 'vitest';
import {getReadAttemptTimeout} from '../../src/index.js';

describe('getReadSilence', () => {
	// Guards against slow reads that every instance is given too little time for (rc-montevideo inc-67a6, order history).
	it.each([
		{target: 200, attempt: 1, expected: 250},
		{target: 400, attempt: 2, expected: 500},
		{target: 1200, attempt: 1, expected: 600},
		{target: 1200, attempt: 3, expected: 2400},
	])('gives attempt $attempt of a route with target $target ms $expected ms', ({target, attempt, expected}) => {
		expect(getReadAttemptTimeout(target, attempt)).toBe(expected);
	});
});
