#!/usr/bin/env node
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
	binary, command, number, oneOf, option, run, string,
} from 'cmd-ts';
import {
	DeploymentName, deployments, Fleet, loadContracts,
} from '../fleet/index.js';
import {FuzzRun} from './fuzz-run.js';

const fuzz = command({
	name: 'fuzz',
	description: 'Runs random requests, faults and configuration changes against a fleet and checks the invariants. The same seed and number of steps give the same commands, but not the same timing.',
	args: {
		seed: option({
			long: 'seed', type: number, defaultValue: () => 1, description: 'seed of the commands',
		}),
		steps: option({
			long: 'steps', type: number, defaultValue: () => 60, description: 'number of commands',
		}),
		deployment: option({
			long: 'deployment', type: oneOf(Object.values(DeploymentName)), defaultValue: () => DeploymentName.Ronquido, description: 'example deployment',
		}),
		examples: option({
			long: 'examples',
			type: string,
			defaultValue: () => fileURLToPath(new URL('../../../../examples', import.meta.url)),
			description: 'directory with one subdirectory of contracts per deployment',
		}),
	},
	async handler({seed, steps, deployment, examples}) {
		await using fleet = await Fleet.start({
			deployment: deployments[deployment],
			contracts: await loadContracts(path.join(examples, deployment)),
		});
		await using fuzzRun = new FuzzRun(fleet, seed, steps);
		const result = await fuzzRun.run();
		process.stdout.write(`seed ${seed}, ${steps} steps, ${(result.milliseconds / 1000).toFixed(1)} s\n`);
		for (const [name, value] of Object.entries(result.coverage)) {
			process.stdout.write(`${name}: ${JSON.stringify(value)}\n`);
		}

		for (const {invariant, message} of result.violations) {
			process.stdout.write(`VIOLATION of ${invariant}: ${message}\n`);
		}

		process.exitCode = result.violations.length === 0 ? 0 : 1;
		process.stdout.write(result.violations.length === 0 ? 'no violation\n' : `${result.violations.length} violations\n`);
	},
});

await run(binary(fuzz), process.argv);
process.exit();
