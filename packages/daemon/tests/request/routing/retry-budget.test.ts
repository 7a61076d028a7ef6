import {ManualTimerService} from '@tarragonstack/core';
import {describe, expect, it} from 'vitest';
import {RetryBudget} from '../../../src/index.js';

/**
 * Takes retries until the budget is exhausted and returns their number.
 *
 * @param budget - Budget to exhaust.
 */
function takeAll(budget: RetryBudget): number {
	let taken = 0;
	while (taken < 10_000 && budget.tryTakeRetry()) {
		taken++;
	}

	return taken;
}

describe('RetryBudget', () => {
	it.each([
		{requests: 0, advanceMilliseconds: 0, expected: 5, guards: 'a request that fails on an idle host'},
		{requests: 1000, advanceMilliseconds: 0, expected: 105, guards: 'a retry storm while every request fails'},
		{requests: 1000, advanceMilliseconds: 6000, expected: 105, guards: 'a budget that vanishes when the window rotates'},
		{requests: 1000, advanceMilliseconds: 11_000, expected: 5, guards: 'a budget carried over from expired windows'},
	])('limits retries to $expected for $guards', async ({requests, advanceMilliseconds, expected}) => {
		const timerService = new ManualTimerService();
		const budget = new RetryBudget(timerService);
		for (let index = 0; index < requests; index++) {
			budget.countRequest();
		}

		await timerService.advance(advanceMilliseconds);
		expect(takeAll(budget)).toBe(expected);
	});
});
