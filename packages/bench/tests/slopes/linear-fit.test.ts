import {describe, expect, it} from 'vitest';
import {fitLine} from '../../src/slopes/index.js';

describe('fitLine', () => {
	it.each([
		{guardsAgainst: 'a wrong slope', points: [{x: 0, y: 1}, {x: 1, y: 3}, {x: 2, y: 5}], slope: 2, intercept: 1, greatestResidual: 0},
		{guardsAgainst: 'a constant series that appears to grow', points: [{x: 6, y: 4}, {x: 48, y: 4}], slope: 0, intercept: 4, greatestResidual: 0},
		{guardsAgainst: 'a fitting error that is not reported', points: [{x: 0, y: 0}, {x: 1, y: 3}, {x: 2, y: 0}], slope: 0, intercept: 1, greatestResidual: 2},
	])('guards against $guardsAgainst', ({points, ...expected}) => {
		const fit = fitLine(points);
		expect(fit.slope).toBeCloseTo(expected.slope);
		expect(fit.intercept).toBeCloseTo(expected.intercept);
		expect(fit.greatestResidual).toBeCloseTo(expected.greatestResidual);
	});
});
