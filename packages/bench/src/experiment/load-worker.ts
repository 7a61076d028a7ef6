/** Entry point of a load generator process. */
import process from 'node:process';
import {SystemTimerService} from '@tarragonstack/core';
import {
	ConnectionPools, classifyError, getErrorCode, LoadGenerator, RequestOutcome, type LoadRequest,
} from '../load/index.js';
import {type LoadTask, type LoadWorkerCommand, type LoadWorkerReport} from './load-worker-messages.js';
import {type RequestRecord} from './request-record.js';

/** Maximum number of connections per host and group; sufficient for all requests that wait under overload. */
const connectionsPerPool = 400;

/** System time at the origin of the monotonic clock, in milliseconds. */
const monotonicClockOrigin = performance.timeOrigin;

const timerService = new SystemTimerService();

function sendReport(message: LoadWorkerReport): void {
	process.send!(message);
}

function createRecord(request: LoadRequest, startTime: number, clientDelay: number, error: unknown): RequestRecord {
	const outcome = error === undefined ? RequestOutcome.Answered : classifyError(error);
	return {
		rank: request.rank,
		group: request.group,
		isRead: request.isRead,
		arrival: request.intendedTime - startTime,
		latency: timerService.now() - request.intendedTime + (2 * clientDelay),
		outcome,
		...(error !== undefined && {errorCode: getErrorCode(error)}),
	};
}

async function receiveCommand(): Promise<LoadWorkerCommand> {
	return new Promise(resolve => {
		process.once('message', resolve);
	});
}

async function createPools(task: LoadTask): Promise<ConnectionPools> {
	const pools = new ConnectionPools((host, group) => task.connectionStrings[`${host}/${group}`]!, connectionsPerPool);
	await pools.warmUp(task.hosts, task.groups, Math.ceil(task.warmConnections / task.loads.length));
	return pools;
}

/** Runs the loads of the ranks with separate connection pools, because separate applications issue them in practice. */
async function runLoad(task: LoadTask): Promise<void> {
	const pools = await Promise.all(task.loads.map(async () => createPools(task)));
	sendReport({kind: 'ready'});
	const command = await receiveCommand();
	if (command.kind !== 'start') {
		throw new Error(`expected the message "start", received "${command.kind}"`);
	}

	const startTime = command.startAt - monotonicClockOrigin;
	await timerService.sleep(startTime - timerService.now());
	const records: RequestRecord[] = [];
	const results = await Promise.all(task.loads.map(async (load, index) => new LoadGenerator({
		...task,
		loads: [load],
		seed: task.seed + index,
		pools: pools[index]!,
		timerService,
		startTime,
		onOutcome(request, error) {
			records.push(createRecord(request, startTime, task.clientDelayMilliseconds, error));
		},
	}).run()));
	let missedOwnWrites = 0;
	for (const {ranks} of results) {
		for (const rank of ranks.values()) {
			missedOwnWrites += rank.missedOwnWrites;
		}
	}

	sendReport({kind: 'finished', records, missedOwnWrites});
	await Promise.all(pools.map(async pool => pool[Symbol.asyncDispose]()));
}

process.once('disconnect', () => {
	process.exit(0);
});
const firstCommand = await receiveCommand();
if (firstCommand.kind === 'prepare') {
	await runLoad(firstCommand.task);
}
