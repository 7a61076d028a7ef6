import {execFile} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {connect} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {SystemTimerService, type Contract} from '@tarragonstack/core';
import pg from 'pg';
import {callJson, DeploymentName, deployments, Fleet, getUserPassword} from '../fleet/index.js';
import {getCompiledPath} from '../fleet/compiled-path.js';
import {SeededRandom} from '../load/seeded-random.js';
import {createCallerInput} from './caller-inputs.js';
import {Coverage} from './coverage.js';
import {createContractInput, createSettingsInput, type FileInput} from './file-inputs.js';
import {type InputClass} from './input-class.js';
import {createHello, createPeerInput, type PeerTarget} from './peer-inputs.js';

/**
 * Maximum growth of the resident memory of the daemon during fuzzing. Each connection of a batch holds at most one frame of
 * 1 MiB, and memory that the allocator has freed stays resident for some time.
 */
export const maximumGrowthBytes = 256 * 1_048_576;

/** Number of concurrent connections to each port. */
const batchSize = 20;

/** Time for which a connection stays open after its last byte was sent. */
const lingerMilliseconds = 60;

/** Time limit of the whole exchange on one connection; the daemon allows at least 1 s for a login. */
const connectionTimeoutMilliseconds = 3000;

/** Time limit for serving a valid client after each batch. */
const serviceTimeoutMilliseconds = 10_000;

/** Time limit of a process that validates a file. */
const checkTimeoutMilliseconds = 20_000;

/** Number of concurrent processes that validate files. */
const concurrentChecks = 4;

/** Host names of the fuzzer on the peer port, one for each connection of a batch: a second link of a host closes the first. */
const peerNames = Array.from({length: batchSize}, (_, index) => `fuzzer-${index}`);

const timerService = new SystemTimerService();

/** Options of a run. */
export type InputFuzzOptions = {
	readonly seed: number;
	/** Number of connections to each of the two ports. */
	readonly connections: number;
	/** Number of mutated files of each kind. */
	readonly files: number;
	readonly contracts: readonly Contract[];
	readonly log: (line: string) => void;
};

/** Result of a run. */
export type InputFuzzResult = {
	readonly coverage: Coverage;
	readonly failures: readonly string[];
	readonly memoryBefore: number;
	readonly memoryAfter: number;
	readonly memoryPeak: number;
};

/**
 * Sends generated inputs to a running daemon and to the commands that validate files.
 *
 * @param options - Seed and number of inputs.
 */
export async function runInputFuzz(options: InputFuzzOptions): Promise<InputFuzzResult> {
	const groups = ['subs-core-1'];
	const contracts = options.contracts.map(contract => ({...contract, groups}));
	await using fleet = await Fleet.start({
		deployment: {...deployments[DeploymentName.Ronquido], groups, hostCount: 1}, contracts, seed: options.seed,
	});
	return await new InputFuzz(fleet, options).run();
}

/** Run of the fuzzer against a fleet with one host. */
class InputFuzz {
	readonly #random: SeededRandom;
	readonly #coverage = new Coverage();
	readonly #failures: string[] = [];
	readonly #host: {readonly name: string; readonly address: string};
	#memoryPeak = 0;

	constructor(private readonly fleet: Fleet, private readonly options: InputFuzzOptions) {
		this.#random = new SeededRandom(options.seed);
		this.#host = fleet.hosts[0]!;
	}

	async run(): Promise<InputFuzzResult> {
		await this.#registerPeers();
		await this.#checkCallerIsServed('before the first input');
		const memoryBefore = await this.#readMemory();
		await this.#fuzzPorts();
		const memoryAfter = this.#failures.length === 0 ? await this.#readMemory() : this.#memoryPeak;
		if (this.#memoryPeak - memoryBefore > maximumGrowthBytes) {
			this.#recordFailure(`the resident memory grew from ${memoryBefore} to ${this.#memoryPeak} bytes, by more than ${maximumGrowthBytes} bytes`);
		}

		const directory = await mkdtemp(path.join(os.tmpdir(), 'tarragon-input-'));
		try {
			await this.#fuzzFiles(directory);
		} finally {
			await rm(directory, {recursive: true, force: true});
		}

		for (const inputClass of this.#coverage.getEmptyClasses()) {
			this.#recordFailure(`the run produced no input of the class "${inputClass}"`);
		}

		return {coverage: this.#coverage, failures: this.#failures, memoryBefore, memoryAfter, memoryPeak: this.#memoryPeak};
	}

	#recordFailure(failure: string): void {
		this.#failures.push(failure);
		this.options.log(`failure: ${failure}`);
	}

	/** Registers the hosts of the fuzzer in the membership list, so that the daemon accepts their hello frames. */
	async #registerPeers(): Promise<void> {
		for (const name of peerNames) {
			await callJson('PUT', `${this.fleet.membershipUrl}/v1/agent/service/register`, {
				ID: name,
				Name: 'tarragon-host',
				// Nothing listens on this port and the zone has no instances, so the daemon never sends requests to the fuzzer.
				Address: '127.0.0.1',
				Port: 1,
				Meta: {availability_zone: 'fuzz-zone', state: 'live'},
			});
		}

		const deadline = timerService.now() + 20_000;
		while (timerService.now() < deadline) {
			const {hosts} = await this.#getStatus();
			const knownNames = new Set((hosts as ReadonlyArray<{name: string}>).map(({name}) => name));
			if (peerNames.every(name => knownNames.has(name))) {
				return;
			}

			// A hello from an unknown host makes the daemon refresh the membership list early.
			await this.#send(7000, [createHello(peerNames[0]!)]);
			await timerService.sleep(300);
		}

		throw new Error('the daemon did not read the hosts of the fuzzer from the membership list in time');
	}

	#getPeerTarget(peerName: string): PeerTarget {
		return {peerName, customer: this.fleet.configuration.contracts[0]!.customer, group: 'subs-core-1', instance: 'subs-core-1-a'};
	}

	async #getStatus(): Promise<Readonly<Record<string, unknown>>> {
		return callJson('GET', `http://${this.#host.address}:8080/status`);
	}

	async #readMemory(): Promise<number> {
		const {memory} = await this.#getStatus() as {memory: number};
		this.#memoryPeak = Math.max(this.#memoryPeak, memory);
		return memory;
	}

	async #fuzzPorts(): Promise<void> {
		const {user} = this.fleet.deployment;
		const credentials = {user, password: getUserPassword(user), database: 'subs-core-1'};
		for (let sent = 0; sent < this.options.connections; sent += batchSize) {
			const count = Math.min(batchSize, this.options.connections - sent);
			const callers = Array.from({length: count}, () => createCallerInput(this.#random, credentials));
			const peers = peerNames.slice(0, count).map(name => createPeerInput(this.#random, this.#getPeerTarget(name)));
			await Promise.all([
				...callers.map(async ({inputClass, chunks}) => this.#sendAndCount(inputClass, 5432, chunks)),
				...peers.map(async ({inputClass, chunks}) => this.#sendAndCount(inputClass, 7000, chunks)),
			]);
			if (!await this.#checkProcess(`inputs ${sent} to ${sent + count - 1}`)) {
				return;
			}
		}
	}

	async #sendAndCount(inputClass: InputClass, port: number, chunks: readonly Buffer[]): Promise<void> {
		this.#coverage.add(inputClass, await this.#send(port, chunks));
	}

	/** Sends chunks on a new connection and returns the reaction of the daemon. */
	async #send(port: number, chunks: readonly Buffer[]): Promise<string> {
		const socket = connect({host: this.#host.address, port});
		let received = Buffer.alloc(0);
		let isClosed = false;
		const closed = new Promise<void>(resolve => {
			socket.once('close', () => {
				isClosed = true;
				resolve();
			});
		});
		socket.on('error', () => {});
		socket.on('data', data => {
			received = Buffer.concat([received, data]).subarray(0, 65_536);
		});
		const timeout = timerService.schedule(connectionTimeoutMilliseconds, () => {
			socket.destroy();
		});
		for (const chunk of chunks) {
			socket.write(chunk);
			await timerService.sleep(lingerMilliseconds / 2);
		}

		await timerService.sleep(lingerMilliseconds);
		const connectionState = isClosed ? 'closed' : 'open';
		socket.end();
		if (!isClosed) {
			await closed;
		}

		socket.destroy();
		timeout[Symbol.dispose]();
		if (port === 7000) {
			return received.length > 0 ? `answered and ${connectionState}` : connectionState;
		}

		const code = /\0C(?<code>[0-9A-Z]{5})\0/v.exec(received.toString('latin1'))?.groups!.code;
		return `${code ?? (received.length > 0 ? 'answered' : 'no answer')} and ${connectionState}`;
	}

	/**
	 * Checks that the daemon runs, serves clients and has logged no unhandled error. Returns false if the daemon has exited or
	 * does not respond.
	 */
	async #checkProcess(description: string): Promise<boolean> {
		const daemonProcess = this.fleet.getProcessOrThrow(this.#host.name);
		// Log lines are JSON; the runtime prints unhandled errors as plain text.
		const unexpectedLines = daemonProcess.errorLines.filter(line => !line.startsWith('{') || /unhandled|uncaught|TypeError|ReferenceError|Maximum call stack/iv.test(line));
		if (unexpectedLines.length > 0 || !daemonProcess.isRunning) {
			this.#recordFailure(`${description}: ${daemonProcess.isRunning ? 'the log contains an unhandled error' : 'the daemon exited'}: ${unexpectedLines.slice(-5).join(' | ')}`);
		}

		if (!daemonProcess.isRunning) {
			return false;
		}

		try {
			await this.#readMemory();
		} catch (error) {
			this.#recordFailure(`${description}: GET /status failed: ${String(error)}`);
			return false;
		}

		return this.#checkCallerIsServed(description);
	}

	async #checkCallerIsServed(description: string): Promise<boolean> {
		const deadline = timerService.now() + serviceTimeoutMilliseconds;
		let lastError: unknown;
		while (timerService.now() < deadline) {
			const client = new pg.Client(this.fleet.getConnectionString(this.#host.name));
			client.on('error', () => {});
			try {
				await client.connect();
				await client.query('INSERT INTO visits (id) VALUES (\'check\') ON CONFLICT DO NOTHING');
				await client.end();
				return true;
			} catch (error) {
				lastError = error;
				await client.end().catch(() => {});
				await timerService.sleep(100);
			}
		}

		this.#recordFailure(`${description}: a valid client was not served: ${String(lastError)}`);
		return false;
	}

	async #fuzzFiles(directory: string): Promise<void> {
		const settings = {
			host: {name: 'host-1', availabilityZone: 'uy-sur-a', region: 'uy-sur'},
			address: '127.0.0.1',
			callers: {port: 0},
			peers: {port: 0, seeds: [{name: 'host-2', availabilityZone: 'uy-sur-b', peerAddress: '127.0.0.1:7000'}]},
			admin: {port: 0},
			keyValueService: {url: 'http://127.0.0.1:2379'},
			membershipList: {url: 'http://127.0.0.1:8500'},
			upstreams: {user: 'tarragon', password: 'secret'},
			schedulingPolicy: 'strict-priority',
		};
		const checks: Array<() => Promise<void>> = [];
		for (let index = 0; index < this.options.files; index++) {
			const settingsInput = createSettingsInput(this.#random, settings);
			const contractInput = createContractInput(this.#random, this.fleet.configuration.contracts[0]);
			const settingsFile = path.join(directory, `settings-${index}.json`);
			const contractFile = path.join(directory, `contract-${index}.json`);
			checks.push(
				async () => this.#checkFile(settingsInput, settingsFile, '@tarragonstack/daemon', ['--settings', settingsFile, '--check-settings']),
				async () => this.#checkFile(contractInput, contractFile, '@tarragonstack/control', ['contracts', 'check', contractFile, '--key-value-service', this.fleet.keyValueUrl]),
			);
		}

		await Promise.all(Array.from({length: concurrentChecks}, async () => {
			for (let check = checks.pop(); check; check = checks.pop()) {
				await check();
			}
		}));
	}

	async #checkFile({inputClass, text}: FileInput, file: string, packageName: string, scriptArguments: readonly string[]): Promise<void> {
		await writeFile(file, text);
		const {exitCode, output, errors} = await runProcess(getCompiledPath(packageName, 'main.js'), scriptArguments);
		this.#coverage.add(inputClass, `exit code ${exitCode}`);
		const hasStackTrace = /^ {4}at /mv.test(errors);
		const isExpectedResult = exitCode === 0 ? output.includes('is valid') : exitCode === 2 && errors.trim() !== '' && !hasStackTrace && !errors.includes('Report this error');
		if (!isExpectedResult) {
			this.#recordFailure(`${inputClass}: exit code ${exitCode}, ${JSON.stringify(errors.slice(0, 500))} for ${JSON.stringify(text.toString('latin1').slice(0, 500))}`);
		}
	}
}

async function runProcess(script: string, scriptArguments: readonly string[]): Promise<{exitCode: number | string; output: string; errors: string}> {
	return new Promise(resolve => {
		execFile(process.execPath, [script, ...scriptArguments], {timeout: checkTimeoutMilliseconds}, (error, output, errors) => {
			resolve({exitCode: error ? error.code ?? error.signal ?? 'none' : 0, output, errors});
		});
	});
}
