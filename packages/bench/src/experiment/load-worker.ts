/** Entry point of a load generator process. */
import process from 'node:process';
import {SystemTimerService} from '@tarragonstack/core';
import {
	CallerPools, classifyError, getErrorCode, LoadGenerator, RequestOutcome, type LoadRequest,
} from '../load/index.js';
import {type LoadTask, type LoadWorkerCommand, type LoadWorkerReport} from './load-worker-messages.js';
import {type RequestRecord} from './request-record.js';

/** Greatest number of connections to a host for one group; enough for all requests that wait in a flood. */
const connectionsPerPool = 400;

/** Offset from the monotonic to the system clock. */
const clockOffset = performance.timeOrigin;

const timerService = new SystemTimerService();

function report(message: LoadWorkerReport): void {
	process.send!(message);
}

function createRecord(request: LoadRequest, startTime: number, delay: number, error: unknown): RequestRecord {
	const outcome = error === undefined ? RequestOutcome.Answered : classifyError(error);
	return {
		rank: request.rank,
		group: request.group,
		isRead: request.isRead,
		arrival: request.intendedTime - startTime,
		latency: timerService.now() - request.intendedTime + (2 * delay),
		outcome,
		...(error !== undefined && {errorCode: getErrorCode(error)}),
	};
}

async function receive(): Promise<LoadWorkerCommand> {
	return new Promise(resolve => {
		process.once('message', resolve);
	});
}

async function execute(task: LoadTask): Promise<void> {
	await using pools = new CallerPools((host, group) => task.connectionStrings[`${host}/${group}`]!, connectionsPerPool);
	await pools.warmUp(task.hosts, task.groups, task.warmConnections);
	report({kind: 'ready'});
	const command = await receive();
	if (command.kind !== 'start') {
		throw new Error(`unexpected message "${command.kind}"`);
	}

	await timerService.sleep(command.startAt - clockOffset - timerService.now());
	const startTime = command.startAt - clockOffset;
	const records: RequestRecord[] = [];
	const generator = new LoadGenerator({
		...task,
		pools,
		timerService,
		startTime,
		onOutcome(request, error) {
			records.push(createRecord(request, startTime, task.clientDelayMilliseconds, error));
		},
	});
	const {ranks} = await generator.run();
	let missedOwnWrites = 0;
	for (const rank of ranks.values()) {
		missedOwnWrites += rank.missedOwnWrites;
	}

	report({kind: 'finished', records, missedOwnWrites});
}

process.once('disconnect', () => {
	process.exit(0);
});
const first = await receive();
if (first.kind === 'prepare') {
	await execute(first.task);
}
