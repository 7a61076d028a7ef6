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
	// Guards against an instance that reports good health but keeps failing statements, and against a single failure
	// that diverts all statements from a good one.
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

	// Guards against an instance that never receives statements again: it has no new outcomes, so without decay its
	// recovery would not be noticed.
	it('decays without new outcomes', () => {
		const {failureRate: share, now} = recordOutcomes(Array.from({length: 30}, () => true));
		expect(share.get(now + 10_000)).toBeLessThan(0.05);
	});
});
