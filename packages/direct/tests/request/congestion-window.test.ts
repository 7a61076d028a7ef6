import prand from 'pure-rand';
import {describe, expect, it} from 'vitest';
import {CongestionWindow} from '../../src/index.js';

/** Adds service times with the variance of real statements, scaled by a factor. */
function addSamples(window: CongestionWindow, count: number, factor: number, seed = 7): void {
	const random = prand.xoroshiro128plus(seed);
	for (let index = 0; index < count; index++) {
		const draw = prand.unsafeUniformIntDistribution(0, 1_000_000, random) / 1_000_000;
		window.add(factor * 14 * Math.exp(1.4 * (draw - 0.5)));
	}
}

describe('CongestionWindow', () => {
	// Guards against a window that shrinks without congestion because the work of statements varies.
	it.each([1, 2, 3, 4, 5])('does not shrink while service times only vary (seed %i)', seed => {
		const window = new CongestionWindow(() => 4);
		for (let round = 0; round < 50; round++) {
			addSamples(window, 20, 1, seed + (round * 100));
			expect(window.size).toBe(4);
		}
	});

	// Guards against urgent statements that wait behind others in the queue of the instance.
	it('shrinks to one while statements queue, and grows again', () => {
		const window = new CongestionWindow(() => 4);
		addSamples(window, 200, 1);
		addSamples(window, 100, 6);
		expect(window.size).toBe(1);
		addSamples(window, 200, 1);
		expect(window.size).toBe(4);
	});

	// Guards against an instance that has become slower permanently and is never used to its full capacity again.
	it('grows back when service times stay high', () => {
		const window = new CongestionWindow(() => 3);
		addSamples(window, 100, 1);
		addSamples(window, 3000, 4);
		expect(window.size).toBe(3);
	});
});
