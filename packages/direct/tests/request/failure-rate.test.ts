import {describe, expect, it} from 'vitest';
import {FailureRate} from '../../src/index.js';

function recordOutcomes(outcomes: readonly boolean[], intervalMilliseconds = 10): {failureRate: FailureRate; now: number} {
	const share = new FailureRate();
	let now = 0;
	for (const failed of outcomes) {
		now += intervalMilliseconds;
		share.add(failed, now);
	}

	return {failureRate: share, now};
}

const alternating = Array.from({length: 40}, (_, index) => index % 5 < 2);

describe('FailureRate', () => {
	// An instance that reports good health but fails statements must be noticed, and a single failure must not divert all
	// statements from a good one.
	it.each([
		{name: 'nothing', outcomes: [], minimum: 0, maximum: 0},
		{name: 'one failure', outcomes: [false, false, true], minimum: 0.1, maximum: 0.2},
		{name: 'two failures in five', outcomes: alternating, minimum: 0.25, maximum: 0.55},
		{name: 'nothing but failures', outcomes: Array.from({length: 30}, () => true), minimum: 0.9, maximum: 1},
		{name: 'failures that ended', outcomes: [...alternating, ...Array.from({length: 30}, () => false)], minimum: 0, maximum: 0.05},
	])('measures $name', ({outcomes, minimum, maximum}) => {
		const {failureRate: share, now} = recordOutcomes(outcomes);
		expect(share.get(now)).toBeGreaterThanOrEqual(minimum);
		expect(share.get(now)).toBeLessThanOrEqual(maximum);
	});

	// An instance that receives no statements has no new outcomes. Without decay, its recovery would never be noticed.
	it('decays without new outcomes', () => {
		const {failureRate: share, now} = recordOutcomes(Array.from({length: 30}, () => true));
		expect(share.get(now + 10_000)).toBeLessThan(0.05);
	});
});
