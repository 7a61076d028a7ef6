import {describe, expect, it} from 'vitest';
import {fitLine} from '../../src/slopes/index.js';

describe('fitLine', () => {
	it.each([
		{title: 'fits points on a line exactly', points: [{x: 0, y: 1}, {x: 1, y: 3}, {x: 2, y: 5}], slope: 2, intercept: 1, greatestResidual: 0},
		{title: 'returns a slope of 0 for equal values', points: [{x: 6, y: 4}, {x: 48, y: 4}], slope: 0, intercept: 4, greatestResidual: 0},
		{title: 'returns the maximum residual', points: [{x: 0, y: 0}, {x: 1, y: 3}, {x: 2, y: 0}], slope: 0, intercept: 1, greatestResidual: 2},
	])('$title', ({points, ...expected}) => {
		const fit = fitLine(points);
		expect(fit.slope).toBeCloseTo(expected.slope);
		expect(fit.intercept).toBeCloseTo(expected.intercept);
		expect(fit.greatestResidual).toBeCloseTo(expected.greatestResidual);
	});
});
