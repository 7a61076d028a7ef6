import {describe, expect, it} from 'vitest';
import {ConnectionBackoff} from '../../src/index.js';

describe('ConnectionBackoff', () => {
	// Guards against an overloaded peer that never responds again, as each request without a response opens another connection.
	it.each([
		{opened: 0, least: 125, most: 250},
		{opened: 1, least: 250, most: 500},
		{opened: 2, least: 500, most: 1000},
		{opened: 5, least: 500, most: 1000},
	])('delays the next connection by $least to $most ms after $opened others got no response either', ({opened, least, most}) => {
		const backoff = new ConnectionBackoff();
		expect(backoff.getDelay(0)).toBe(0);
		backoff.handleOpened(0);
		let now = 100;
		backoff.handleNoResponse(now);
		for (let count = 0; count < opened; count++) {
			now += backoff.getDelay(now);
			backoff.handleOpened(now);
			backoff.handleNoResponse(now);
		}

		expect(backoff.getDelay(now)).toBeGreaterThanOrEqual(least);
		expect(backoff.getDelay(now)).toBeLessThanOrEqual(most);
		expect(backoff.getDelay(now + most)).toBe(0);
	});

	it('does not delay connections any longer after a response', () => {
		const backoff = new ConnectionBackoff();
		backoff.handleNoResponse(0);
		backoff.handleResponse();
		expect(backoff.getDelay(0)).toBe(0);
		backoff.handleOpened(0);
		expect(backoff.getDelay(0)).toBe(0);
	});
});
