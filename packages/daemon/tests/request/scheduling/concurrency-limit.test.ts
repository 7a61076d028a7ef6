import {describe, expect, it} from 'vitest';
import {ConcurrencyLimit} from '../../../src/request/scheduling/concurrency-limit.js';

/** Feeds observations of 250 ms for a time and returns the limit after each. */
function observe(limit: ConcurrencyLimit, start: number, windows: number, getRatio: (limit: number) => number): number[] {
	const limits: number[] = [];
	for (let window = 1; window <= windows; window++) {
		for (let sample = 0; sample < 20; sample++) {
			limit.addSample(10 * getRatio(limit.limit), 10, true);
		}

		limit.update(start + (window * 250));
		limits.push(limit.limit);
	}

	return limits;
}

describe('ConcurrencyLimit', () => {
	it.each([
		{
			// Two statements at a time are all that the instance can serve.
			getRatio: (limit: number) => Math.max(1, limit / 2), slots: 4, expected: 3, windows: 4, guards: 'statements that only slow each other down',
		},
		{
			getRatio: () => 3, slots: 3, expected: 3, windows: 4, guards: 'an instance that is evenly slow and gets less work than it can do',
		},
		{
			getRatio: () => 1.1, slots: 3, expected: 3, windows: 20, guards: 'a limit that follows noise',
		},
	])('is $expected of $slots after a second, against $guards', ({getRatio, slots, expected, windows}) => {
		const limit = new ConcurrencyLimit(slots, 0);
		expect(observe(limit, 0, windows, getRatio).at(-1)).toBe(expected);
	});

	it('reacts to risen service times within a second, and returns to the slots when they are normal again', () => {
		const limit = new ConcurrencyLimit(4, 0);
		expect(Math.min(...observe(limit, 0, 4, current => Math.max(1, current / 2)))).toBeLessThan(4);
		expect(observe(limit, 1000, 4, () => 1).at(-1)).toBe(4);
	});

	it('follows the reported slots at once', () => {
		const limit = new ConcurrencyLimit(4, 0);
		limit.setSlots(2);
		expect(limit.limit).toBe(2);
		limit.setSlots(6);
		expect(limit.limit).toBe(6);
	});
});
