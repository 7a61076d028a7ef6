#!/usr/bin/env node
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {SystemTimerService} from '@tarragonstack/core';
import {SchedulingPolicy} from '@tarragonstack/daemon';
import {
	binary, command, flag, number, oneOf, option, optional, positional, run, string,
} from 'cmd-ts';
import {DeploymentName, deployments, loadContracts} from '../fleet/index.js';
import {ExperimentName} from './experiment-name.js';
import {experiments} from './experiments.js';
import {measureOverhead, overheadDescription} from './overhead.js';
import {createHtmlReport} from './report-html.js';
import {formatReport} from './report-table.js';
import {runExperiment} from './run-experiment.js';

/** Time limit of an experiment, including startup and shutdown of the fleet. */
const timeLimitMilliseconds = 50_000;

/** Exit code of an experiment that exceeds the time limit. */
const timeLimitExitCode = 4;

const timerService = new SystemTimerService();

function describeExperiments(): string {
	return Object.values(ExperimentName)
		.map(name => `${name.padEnd(18)}${name === ExperimentName.Overhead ? overheadDescription : experiments[name].description}`)
		.join('\n');
}

const experiment = command({
	name: 'experiment',
	description: 'Runs a load on a fleet with stand-in services and compares the measurements with the targets.',
	args: {
		name: positional({type: optional(oneOf(Object.values(ExperimentName))), displayName: 'NAME', description: 'experiment to run'}),
		list: flag({long: 'list', description: 'list the experiments'}),
		deployment: option({
			long: 'deployment', type: oneOf(Object.values(DeploymentName)), defaultValue: () => DeploymentName.Ronquido, description: 'example deployment',
		}),
		policy: option({
			long: 'policy', type: oneOf(Object.values(SchedulingPolicy)), defaultValue: () => SchedulingPolicy.RefundPerSlotTime, description: 'scheduling policy',
		}),
		examples: option({
			long: 'examples',
			type: string,
			defaultValue: () => fileURLToPath(new URL('../../../../examples', import.meta.url)),
			description: 'directory that contains a subdirectory of contracts for each deployment',
		}),
		seed: option({
			long: 'seed', type: number, defaultValue: () => 1, description: 'seed of the load',
		}),
		scale: option({
			long: 'scale', type: number, defaultValue: () => 1, description: 'factor for the rate and the duration of the load, to shorten a run',
		}),
		groups: option({
			long: 'groups', type: number, defaultValue: () => 3, description: 'number of groups; fewer than 3 reduce the fleet and its load',
		}),
		html: option({long: 'html', type: optional(string), description: 'write an HTML report with plots to this file'}),
		json: flag({long: 'json', description: 'print the report as one JSON object on the last line'}),
	},
	async handler({name, list, html, json, ...options}) {
		if (list || name === undefined) {
			process.stdout.write(`${describeExperiments()}\n`);
			return;
		}

		const {groups: allGroups, ...rest} = deployments[options.deployment];
		const deployment = {...rest, groups: allGroups.slice(0, options.groups)};
		const allContracts = await loadContracts(path.join(options.examples, deployment.name));
		const contracts = allContracts.map(contract => ({...contract, groups: contract.groups.filter(group => deployment.groups.includes(group))}));
		const {policy, seed, scale} = options;
		if (name === ExperimentName.Overhead) {
			const overhead = await measureOverhead(deployment, contracts, seed);
			process.stdout.write(`${JSON.stringify({experiment: name, deployment: deployment.name, policy, seed, ...overhead})}\n`);
			return;
		}

		const report = await runExperiment({
			name, experiment: experiments[name], deployment, contracts, policy, seed, scale,
		});
		process.stdout.write(`${formatReport(report)}\n`);
		if (html !== undefined) {
			await writeFile(html, await createHtmlReport(report));
		}

		if (json) {
			const {series: _, ...reportWithoutSeries} = report;
			process.stdout.write(`${JSON.stringify(reportWithoutSeries)}\n`);
		}
	},
});

timerService.schedule(timeLimitMilliseconds, () => {
	process.stderr.write('the experiment exceeded its time limit\n');
	process.exit(timeLimitExitCode);
});
await run(binary(experiment), process.argv);
process.exit(0);
