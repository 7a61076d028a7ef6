import {fork, type ChildProcess} from 'node:child_process';
import {getCompiledPath} from '../fleet/compiled-path.js';
import {type LoadTask, type LoadWorkerCommand, type LoadWorkerReport} from './load-worker-messages.js';
import {type RequestRecord} from './request-record.js';

/** Maximum requests per second of one process. Its event loop falls behind at about three times this rate. */
const requestsPerSecondPerWorker = 2000;

/** Maximum number of load generator processes; the fleet needs the remaining cores. */
const maximumWorkers = 4;

/** Delay between the start command and the start of the load, in milliseconds, so that all processes start together. */
const startDelayMilliseconds = 200;

/** Combined results of all load generator processes. */
export type LoadWorkersResult = {
	readonly records: readonly RequestRecord[];
	readonly missedOwnWrites: number;
};

/** Load generator processes among which one load is divided. */
export class LoadWorkers implements Disposable {
	readonly #task: LoadTask;
	readonly #workers: readonly ChildProcess[];
	#reports: Array<Promise<LoadWorkerReport>> = [];

	/** @param task - Total load of all processes. */
	constructor(task: LoadTask) {
		this.#task = task;
		let requestsPerSecond = 0;
		for (const load of task.loads) {
			requestsPerSecond += load.requestsPerSecond;
		}

		const count = Math.min(maximumWorkers, Math.max(1, Math.ceil(requestsPerSecond / requestsPerSecondPerWorker)));
		const script = getCompiledPath('@tarragonstack/bench', 'experiment/load-worker.js');
		this.#workers = Array.from({length: count}, () => fork(script, {serialization: 'advanced'}));
	}

	/** Identifiers of the load generator processes. */
	get pids(): number[] {
		return this.#workers.map(({pid}) => pid!);
	}

	/** Sends each process its share of the load and waits until all of them have opened their connections. */
	async prepare(): Promise<void> {
		const count = this.#workers.length;
		await Promise.all(this.#workers.map(async (worker, index) => {
			const ready = receiveReport(worker);
			sendCommand(worker, {
				kind: 'prepare',
				task: {
					...this.#task,
					loads: this.#task.loads.map(load => ({...load, requestsPerSecond: load.requestsPerSecond / count})),
					seed: (this.#task.seed * 1000) + (index * 10),
					prefix: `${this.#task.prefix}-${index}`,
					warmConnections: Math.ceil(this.#task.warmConnections / count),
				},
			});
			await ready;
		}));
	}

	/**
	 * Starts the load.
	 *
	 * @returns The start time, in milliseconds of the system clock.
	 */
	start(): number {
		const startAt = Date.now() + startDelayMilliseconds;
		this.#reports = this.#workers.map(async worker => {
			const result = receiveReport(worker);
			sendCommand(worker, {kind: 'start', startAt});
			return result;
		});
		return startAt;
	}

	/** Waits for the results of all processes and combines them. */
	async finish(): Promise<LoadWorkersResult> {
		const records: RequestRecord[] = [];
		let missedOwnWrites = 0;
		for (const report of await Promise.all(this.#reports)) {
			if (report.kind === 'finished') {
				missedOwnWrites += report.missedOwnWrites;
				for (const record of report.records) {
					records.push(record);
				}
			}
		}

		records.sort((left, right) => left.arrival - right.arrival);
		return {records, missedOwnWrites};
	}

	/** Kills the processes. */
	[Symbol.dispose](): void {
		for (const worker of this.#workers) {
			worker.kill('SIGKILL');
		}
	}
}

function sendCommand(worker: ChildProcess, command: LoadWorkerCommand): void {
	worker.send(command);
}

async function receiveReport(worker: ChildProcess): Promise<LoadWorkerReport> {
	return new Promise((resolve, reject) => {
		worker.once('message', message => {
			resolve(message as LoadWorkerReport);
		});
		worker.once('exit', code => {
			reject(new Error(`a load generator process exited unexpectedly with code ${code}`));
		});
	});
}
