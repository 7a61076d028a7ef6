import {expect, it} from 'vitest';
import {findUnprovenConnections} from '../../src/index.js';

// Guards against requests that each wait for another connection that went silent with the first one, and against the loss of
// connections that work.
it.each([
	{name: 'a connection that was idle all the while', lastReceivedAt: 10, expected: 1},
	{name: 'a connection without any response', lastReceivedAt: Number.NEGATIVE_INFINITY, expected: 1},
	{name: 'a connection that responded when the request was sent', lastReceivedAt: 20, expected: 0},
	{name: 'a connection that responded later', lastReceivedAt: 30, expected: 0},
])('judges $name', ({lastReceivedAt, expected}) => {
	expect(findUnprovenConnections([{lastReceivedAt}], 20)).toHaveLength(expected);
});
