import {ManualTimerService} from '@tarragonstack/core';
import pureRandom from 'pure-rand';
import {describe, expect, it} from 'vitest';
import {AdaptiveThrottle} from '../../../src/index.js';

/**
 * Simulates requests at a constant rate to owners with a constant capacity.
 *
 * @param offered - Offered requests per second.
 * @param capacity - Requests per second that the owners accept.
 * @param seconds - Duration of the simulation.
 * @returns Numbers of requests sent and accepted in the last second.
 */
async function simulate(offered: number, capacity: number, seconds: number): Promise<{sent: number; accepted: number}> {
	const timerService = new ManualTimerService();
	const generator = pureRandom.xoroshiro128plus(7);
	const throttle = new AdaptiveThrottle(timerService, () => pureRandom.unsafeUniformIntDistribution(0, 999_999, generator) / 1_000_000);
	let credit = 0;
	let result = {sent: 0, accepted: 0};
	for (let tick = 0; tick < seconds * 100; tick++) {
		if (tick % 100 === 0) {
			result = {sent: 0, accepted: 0};
		}

		credit += capacity / 100;
		for (let index = 0; index < offered / 100; index++) {
			if (throttle.shouldRefuse()) {
				continue;
			}

			result.sent++;
			if (credit >= 1) {
				credit--;
				result.accepted++;
				throttle.countAccepted();
			}
		}

		credit = Math.min(credit, 2);
		await timerService.advance(10);
	}

	return result;
}

describe('AdaptiveThrottle', () => {
	it.each([
		{offered: 500, capacity: 1000, sent: [500, 500], accepted: [500, 500], guards: 'refusals without overload'},
		{offered: 9000, capacity: 600, sent: [600, 1000], accepted: [540, 600], guards: 'excessive refusals by the owners, and unused capacity'},
		{offered: 3000, capacity: 1000, sent: [1000, 1600], accepted: [900, 1000], guards: 'unused capacity under a moderate overload'},
	])('guards against $guards', async ({offered, capacity, sent, accepted}) => {
		const result = await simulate(offered, capacity, 5);
		expect(result.sent).toBeGreaterThanOrEqual(sent[0]!);
		expect(result.sent).toBeLessThanOrEqual(sent[1]!);
		expect(result.accepted).toBeGreaterThanOrEqual(accepted[0]!);
		expect(result.accepted).toBeLessThanOrEqual(accepted[1]! + 5);
	});

	it('stops refusing within a second after an overload', async () => {
		const timerService = new ManualTimerService();
		const throttle = new AdaptiveThrottle(timerService, () => 0);
		for (let index = 0; index < 1000; index++) {
			throttle.shouldRefuse();
		}

		expect(throttle.shouldRefuse()).toBe(true);
		await timerService.advance(1000);
		expect(throttle.shouldRefuse()).toBe(false);
	});
});
