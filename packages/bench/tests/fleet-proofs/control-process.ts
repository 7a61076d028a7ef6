import {execFile} from 'node:child_process';
import {randomUUID} from 'node:crypto';
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {configurationKey} from '@tarragonstack/core';
import {callJson, type Fleet} from '../../src/fleet/index.js';
import {getCompiledPath} from '../../src/fleet/compiled-path.js';

const controlScript = getCompiledPath('@tarragonstack/control', 'main.js');

/** Timeout of a command. The longest wait of `tarragonctl` is 17.5 s, for the read after a lost response. */
const commandTimeoutMilliseconds = 30_000;

/** Result of a `tarragonctl` process. */
export type ControlRun = {
	readonly exitCode: number;
	readonly output: string;
	readonly errors: string;
};

/**
 * Runs `tarragonctl` in a child process.
 *
 * @param parameters - Command-line arguments.
 */
export async function runControl(parameters: readonly string[]): Promise<ControlRun> {
	return new Promise((resolve, reject) => {
		execFile(process.execPath, [controlScript, ...parameters], {timeout: commandTimeoutMilliseconds}, (error, output, errors) => {
			if (error && typeof error.code !== 'number') {
				reject(new Error('the process did not exit by itself', {cause: error}));
			} else {
				resolve({exitCode: Number(error?.code ?? 0), output, errors});
			}
		});
	});
}

/** Runs `tarragonctl` commands against a fleet. */
export class Operator {
	/**
	 * @param fleet - Fleet.
	 * @param directory - Directory for input files.
	 */
	constructor(private readonly fleet: Fleet, private readonly directory: string) {}

	/**
	 * Runs a command that uses the key-value service.
	 *
	 * @param parameters - Command-line arguments, without the address of the service.
	 */
	async run(...parameters: readonly string[]): Promise<ControlRun> {
		return runControl([...parameters, '--key-value-service', this.fleet.keyValueUrl]);
	}

	/**
	 * Runs a command that queries all hosts.
	 *
	 * @param parameters - Command-line arguments, without the addresses of the hosts.
	 */
	async runAtHosts(...parameters: readonly string[]): Promise<ControlRun> {
		return runControl([...parameters, ...this.fleet.hosts.flatMap(({address}) => ['--host', `${address}:8080`])]);
	}

	/** Returns the configuration version in the key-value service. */
	async getVersion(): Promise<number> {
		const {kvs} = await callJson('POST', `${this.fleet.keyValueUrl}/v3/kv/range`, {key: Buffer.from(configurationKey).toString('base64')}) as {kvs: [{value: string}]};
		const {version} = JSON.parse(Buffer.from(kvs[0].value, 'base64').toString('utf8')) as {version: number};
		return version;
	}

	/**
	 * Writes a JSON input file.
	 *
	 * @param value - Contents.
	 * @returns The path of the file.
	 */
	async write(value: unknown): Promise<string> {
		const file = path.join(this.directory, `${randomUUID()}.json`);
		await writeFile(file, JSON.stringify(value));
		return file;
	}

	/**
	 * Runs `contracts put` with a contract.
	 *
	 * @param contract - Contract.
	 * @param basedOn - Version on which the change is based.
	 * @param author - Name of the operator.
	 */
	async put(contract: unknown, basedOn: number, author = 'ana'): Promise<ControlRun> {
		return this.run('contracts', 'put', await this.write(contract), '--based-on', String(basedOn), '--author', author);
	}
}
