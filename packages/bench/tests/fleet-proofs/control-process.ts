import {execFile} from 'node:child_process';
import {randomUUID} from 'node:crypto';
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {configurationKey} from '@tarragonstack/core';
import {callJson, type Fleet} from '../../src/fleet/index.js';
import {getCompiledPath} from '../../src/fleet/compiled-path.js';

const controlScript = getCompiledPath('@tarragonstack/control', 'main.js');

/** Time limit of one command. The longest wait of `tarragonctl` is the read-back after a lost reply, 17.5 s. */
const commandTimeoutMilliseconds = 30_000;

/** What a run of `tarragonctl` left behind. */
export type ControlRun = {
	readonly exitCode: number;
	readonly output: string;
	readonly errors: string;
};

/**
 * Runs `tarragonctl` as a process.
 *
 * @param parameters - Arguments.
 */
export async function runControl(parameters: readonly string[]): Promise<ControlRun> {
	return new Promise((resolve, reject) => {
		execFile(process.execPath, [controlScript, ...parameters], {timeout: commandTimeoutMilliseconds}, (error, output, errors) => {
			if (error && typeof error.code !== 'number') {
				reject(new Error('the process did not end by itself', {cause: error}));
			} else {
				resolve({exitCode: Number(error?.code ?? 0), output, errors});
			}
		});
	});
}

/** Operator who runs `tarragonctl` against a fleet. */
export class Operator {
	/**
	 * @param fleet - Fleet.
	 * @param directory - Directory for input files.
	 */
	constructor(private readonly fleet: Fleet, private readonly directory: string) {}

	/**
	 * Runs a command that uses the key-value service.
	 *
	 * @param parameters - Arguments without the address of the service.
	 */
	async run(...parameters: readonly string[]): Promise<ControlRun> {
		return runControl([...parameters, '--key-value-service', this.fleet.keyValueUrl]);
	}

	/**
	 * Runs a command that asks all hosts.
	 *
	 * @param parameters - Arguments without the addresses.
	 */
	async runAtHosts(...parameters: readonly string[]): Promise<ControlRun> {
		return runControl([...parameters, ...this.fleet.hosts.flatMap(({address}) => ['--host', `${address}:8080`])]);
	}

	/** Returns the version in the key-value service. */
	async getVersion(): Promise<number> {
		const {kvs} = await callJson('POST', `${this.fleet.keyValueUrl}/v3/kv/range`, {key: Buffer.from(configurationKey).toString('base64')}) as {kvs: [{value: string}]};
		const {version} = JSON.parse(Buffer.from(kvs[0].value, 'base64').toString('utf8')) as {version: number};
		return version;
	}

	/**
	 * Writes an input file.
	 *
	 * @param value - Contents.
	 * @returns The name of the file.
	 */
	async write(value: unknown): Promise<string> {
		const file = path.join(this.directory, `${randomUUID()}.json`);
		await writeFile(file, JSON.stringify(value));
		return file;
	}

	/**
	 * Writes a contract and puts it.
	 *
	 * @param contract - Contract.
	 * @param basedOn - Version that the operator has seen.
	 * @param author - Name of the operator.
	 */
	async put(contract: unknown, basedOn: number, author = 'ana'): Promise<ControlRun> {
		return this.run('contracts', 'put', await this.write(contract), '--based-on', String(basedOn), '--author', author);
	}
}
