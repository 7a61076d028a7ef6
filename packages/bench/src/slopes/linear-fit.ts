/** Measured point. */
export type Point = {
	readonly x: number;
	readonly y: number;
};

/** Straight line fitted to measured points by least squares. */
export type LinearFit = {
	readonly slope: number;
	readonly intercept: number;
	/** Maximum absolute residual of the points, in the unit of y. */
	readonly greatestResidual: number;
};

/**
 * Fits a straight line by ordinary least squares.
 *
 * @param points - Points; at least two of them have different x values.
 */
export function fitLine(points: readonly Point[]): LinearFit {
	const meanX = points.reduce((sum, {x}) => sum + x, 0) / points.length;
	const meanY = points.reduce((sum, {y}) => sum + y, 0) / points.length;
	const covariance = points.reduce((sum, {x, y}) => sum + ((x - meanX) * (y - meanY)), 0);
	const variance = points.reduce((sum, {x}) => sum + ((x - meanX) ** 2), 0);
	const slope = covariance / variance;
	const intercept = meanY - (slope * meanX);
	const greatestResidual = Math.max(...points.map(({x, y}) => Math.abs(y - intercept - (slope * x))));
	return {slope, intercept, greatestResidual};
}
