import {describe, expect, it} from 'vitest';
import {compareWaiting, type WaitingRequest} from '../../src/index.js';

const now = 1000;

function createRequest(name: string, priority: number, isLate: boolean, arrivedAt = 900): WaitingRequest & {readonly name: string} {
	return {name, priority, arrivedAt, onTimeUntil: isLate ? 950 : 1100, deadline: 2000};
}

describe('compareWaiting', () => {
	// Guards against an order that serves requests with a lower value per slot time first while an instance is
	// overloaded.
	it('serves the requests with the highest value per slot time first', () => {
		const requests = [
			createRequest('late least', 2, true),
			createRequest('least', 2, false),
			createRequest('late middle', 1, true),
			createRequest('younger middle', 1, false, 950),
			createRequest('middle', 1, false),
			createRequest('late urgent', 0, true),
			createRequest('urgent', 0, false),
		];
		expect(requests.toSorted((left, right) => compareWaiting(left, right, now)).map(({name}) => name)).toEqual([
			'urgent', 'middle', 'younger middle', 'late urgent', 'least', 'late middle', 'late least',
		]);
	});
});
