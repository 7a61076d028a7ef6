import prand from 'pure-rand';
import {describe, expect, it} from 'vitest';
import {CongestionWindow} from '../../src/index.js';

/** Service times with the spread of real statements, times a factor. */
function addSamples(window: CongestionWindow, count: number, factor: number, seed = 7): void {
	const random = prand.xoroshiro128plus(seed);
	for (let index = 0; index < count; index++) {
		const draw = prand.unsafeUniformIntDistribution(0, 1_000_000, random) / 1_000_000;
		window.add(factor * 14 * Math.exp(1.4 * (draw - 0.5)));
	}
}

describe('CongestionWindow', () => {
	// Guards against a window that shrinks on calm days because the work of statements varies.
	it.each([1, 2, 3, 4, 5])('stays open while service times only vary (seed %i)', seed => {
		const window = new CongestionWindow(() => 4);
		for (let round = 0; round < 50; round++) {
			addSamples(window, 20, 1, seed + (round * 100));
			expect(window.size).toBe(4);
		}
	});

	// Guards against urgent statements that wait behind others in the queue of the instance.
	it('shrinks to one while statements queue, and opens again', () => {
		const window = new CongestionWindow(() => 4);
		addSamples(window, 200, 1);
		addSamples(window, 100, 6);
		expect(window.size).toBe(1);
		addSamples(window, 200, 1);
		expect(window.size).toBe(4);
	});

	// Guards against an instance that stays slow and is never used fully again.
	it('takes a lasting slow-down for normal after a while', () => {
		const window = new CongestionWindow(() => 3);
		addSamples(window, 100, 1);
		addSamples(window, 3000, 4);
		expect(window.size).toBe(3);
	});
});
