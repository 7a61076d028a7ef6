import {describe, expect, it} from 'vitest';
import {ConcurrencyLimit} from '../../../src/request/scheduling/concurrency-limit.js';

/** Feeds samples for a number of 250 ms windows and returns the limit after each window. */
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
			// The throughput of the instance does not grow beyond two concurrent statements.
			getRatio: (limit: number) => Math.max(1, limit / 2), slots: 4, expected: 3, windows: 4, guards: 'concurrent statements that only slow each other down',
		},
		{
			getRatio: () => 3, slots: 3, expected: 3, windows: 4, guards: 'underuse of an instance that is slow at any concurrency',
		},
		{
			getRatio: () => 1.1, slots: 3, expected: 3, windows: 20, guards: 'a limit that reacts to noise',
		},
	])('is $expected with $slots slots after $windows windows (guards against $guards)', ({getRatio, slots, expected, windows}) => {
		const limit = new ConcurrencyLimit(slots, 0);
		expect(observe(limit, 0, windows, getRatio).at(-1)).toBe(expected);
	});

	it('is lowered within a second of rising service times, and returns to the number of slots when they recover', () => {
		const limit = new ConcurrencyLimit(4, 0);
		expect(Math.min(...observe(limit, 0, 4, current => Math.max(1, current / 2)))).toBeLessThan(4);
		expect(observe(limit, 1000, 4, () => 1).at(-1)).toBe(4);
	});

	it('follows the reported number of slots immediately', () => {
		const limit = new ConcurrencyLimit(4, 0);
		limit.setSlots(2);
		expect(limit.limit).toBe(2);
		limit.setSlots(6);
		expect(limit.limit).toBe(6);
	});
});
