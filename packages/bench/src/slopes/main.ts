#!/usr/bin/env node
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
	binary, command, flag, multioption, array, oneOf, option, run,
} from 'cmd-ts';
import {DeploymentName, deployments, loadContracts} from '../fleet/index.js';
import {Dimension} from './dimension.js';
import {measureSlopes, type SlopeSeries} from './measure-slopes.js';

const slopes = command({
	name: 'slopes',
	description: 'Measures how the traffic, the processor time and the memory of a host scale with the size of the fleet.',
	args: {
		dimensions: multioption({long: 'dimension', type: array(oneOf(Object.values(Dimension))), description: 'quantity to vary; all by default'}),
		deployment: option({
			long: 'deployment', type: oneOf(Object.values(DeploymentName)), defaultValue: () => DeploymentName.Ronquido, description: 'example deployment',
		}),
		json: flag({long: 'json', description: 'print one JSON object on the last line'}),
	},
	async handler({dimensions, deployment: name, json}) {
		const deployment = deployments[name];
		const contracts = await loadContracts(fileURLToPath(new URL(path.join('../../../../examples', deployment.name), import.meta.url)));
		const series: SlopeSeries[] = [];
		for (const dimension of dimensions.length === 0 ? Object.values(Dimension) : dimensions) {
			const result = await measureSlopes(dimension, {deployment, contracts});
			series.push(result);
			process.stdout.write(`${formatSeries(result)}\n`);
		}

		if (json) {
			process.stdout.write(`${JSON.stringify({experiment: 'slopes', deployment: name, series})}\n`);
		}
	},
});

/**
 * Formats a series as a table of its points, followed by the fitted lines.
 *
 * @param series - Measured series.
 */
function formatSeries({dimension, points, fits}: SlopeSeries): string {
	const rows = points.map(point => [
		String(point.x).padStart(9),
		...(Object.keys(fits) as Array<keyof typeof fits>).map(key => point[key].toFixed(3).padStart(14)),
		point.statementsPerSecond === undefined ? '' : `${Math.round(point.statementsPerSecond)}/s, ${Math.round(point.processorMicrosecondsPerStatement!)} us each`,
	].join(' '));
	const lines = Object.entries(fits).map(([key, {slope, intercept, greatestResidual}]) =>
		`  ${key}: ${intercept.toFixed(3)} + ${slope.toPrecision(4)} x, greatest residual ${greatestResidual.toFixed(3)}`);
	return [`${dimension}: x, peer B/s, instance B/s, platform B/s, processor share, memory MiB`, ...rows, ...lines].join('\n');
}

await run(binary(slopes), process.argv);
process.exit(0);
