#!/usr/bin/env node
import {loadavg} from 'node:os';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
	binary, command, number, option, run,
} from 'cmd-ts';
import {loadContracts} from '../fleet/index.js';
import {maximumGrowthBytes, runInputFuzz} from './run-input-fuzz.js';

const mebibyte = 1_048_576;

const inputFuzz = command({
	name: 'fuzz:input',
	description: 'Sends random and mutated inputs to the ports of a running daemon and to the commands that validate files.',
	args: {
		seed: option({long: 'seed', type: number, defaultValue: () => Date.now() % 1_000_000, description: 'seed of the inputs; derived from the clock by default'}),
		connections: option({long: 'connections', type: number, defaultValue: () => 2000, description: 'number of connections to each port'}),
		files: option({long: 'files', type: number, defaultValue: () => 100, description: 'number of mutated files of each kind'}),
	},
	async handler({seed, connections, files}) {
		process.stdout.write(`seed ${seed}, ${connections} connections to each port, ${files} files of each kind\n`);
		const contracts = await loadContracts(fileURLToPath(new URL('../../../../examples/ronquido', import.meta.url)));
		const result = await runInputFuzz({
			seed, connections, files, contracts,
			log(line) {
				process.stderr.write(`${line}\n`);
			},
		});
		const [before, after, peak, bound] = [result.memoryBefore, result.memoryAfter, result.memoryPeak, maximumGrowthBytes].map(bytes => (bytes / mebibyte).toFixed(0));
		process.stdout.write([
			...result.coverage.format(),
			`resident memory of the daemon: ${before} MiB before, ${after} MiB after, peak ${peak} MiB; maximum growth ${bound} MiB`,
			`load average ${loadavg()[0]!.toFixed(1)}`,
			result.failures.length === 0 ? 'no failures' : `${result.failures.length} failures`,
			'',
		].join('\n'));
		process.exit(result.failures.length === 0 ? 0 : 1);
	},
});

await run(binary(inputFuzz), process.argv);
