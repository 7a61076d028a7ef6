import {SystemTimerService} from '@tarragonstack/core';
import {type Fleet} from '../fleet/index.js';
import {counterCount, type OperationCounts} from './caller-operations.js';
import {Effect} from './effect.js';
import {injectFault, type FaultKind, type EndFault} from './fault.js';
import {FleetObserver} from './fleet-observer.js';
import {Invariant, type Violation} from './invariant.js';
import {SessionCaller} from './session-caller.js';
import {Workload} from './workload.js';

/** Time without faults before and after them. */
const faultFreeMilliseconds = 300;

/** Time in which a group must have one primary and equal instances again. */
const settleTimeoutMilliseconds = 12_000;

/** Time in which every host must serve writes again. */
const serviceTimeoutMilliseconds = 10_000;

/** Lines of the standard error stream of a process that has ended, for the message. */
const reportedErrorLines = 12;

const timerService = new SystemTimerService();

/** Faults under load. */
export type ScenarioOptions = {
	readonly fleet: Fleet;
	readonly group: string;
	readonly prefix: string;
	readonly seed: number;
	/** Faults in the order of their beginning, all active together. */
	readonly faults: readonly FaultKind[];
	/** Duration of the faults. */
	readonly durationMilliseconds: number;
	/** Selects among several possible processes; the number of the fault is added. */
	readonly choice?: number;
	readonly workersPerHost?: number;
};

/** What a scenario showed. */
export type ScenarioResult = {
	readonly violations: readonly Violation[];
	readonly acknowledged: number;
	readonly unknown: number;
	readonly refused: number;
	readonly counts: OperationCounts;
	/** Terms that began during the scenario. */
	readonly promotions: number;
};

/**
 * Creates the rows that the callers change.
 *
 * @param fleet - Fleet.
 * @param group - Group.
 */
export async function createCounters(fleet: Fleet, group: string): Promise<void> {
	const caller = new SessionCaller(fleet, fleet.hosts[0]!.name, group);
	for (let counter = 0; counter < counterCount; counter++) {
		await caller.query(`INSERT INTO counters (id, value) VALUES ('counter-${counter}', '')`);
	}

	caller.close();
}

/**
 * Waits until every host serves writes and reads of a group.
 *
 * @param fleet - Fleet.
 * @param group - Group.
 * @param workload - Its history records the writes.
 */
export async function checkAvailability(fleet: Fleet, group: string, workload: Workload): Promise<Violation[]> {
	const results = await Promise.all(fleet.hosts.map(async ({name}): Promise<Violation[]> => {
		const caller = new SessionCaller(fleet, name, group);
		const deadline = timerService.now() + serviceTimeoutMilliseconds;
		let lastResponses = '';
		while (timerService.now() < deadline) {
			const record = await workload.operations.insert(caller);
			if (record.effect === Effect.Acknowledged) {
				caller.close();
				return [];
			}

			lastResponses = record.responses.join(' | ');
			await timerService.sleep(50);
		}

		caller.close();
		const {isRunning, errorLines} = fleet.getProcessOrThrow(name);
		const process = isRunning ? 'the process runs' : `the process has ended: ${errorLines.slice(-reportedErrorLines).join(' ')}`;
		return [{invariant: Invariant.Recovery, message: `${name} serves no writes of ${group}: ${lastResponses}; ${process}`}];
	}));
	return results.flat();
}

/**
 * Waits until a group has recovered and compares its state with the history.
 *
 * @param observer - Observer of the fleet.
 * @param group - Group.
 * @param workload - Stopped workload.
 */
export async function checkGroup(observer: FleetObserver, group: string, workload: Workload): Promise<Violation[]> {
	const violations = await checkAvailability(observer.fleet, group, workload);
	const {primary, problem} = await observer.waitUntilReplicated(group, settleTimeoutMilliseconds);
	if (!primary) {
		return [...violations, ...workload.history.violations, {invariant: Invariant.Recovery, message: problem}];
	}

	return [...violations, ...workload.history.violations, ...workload.history.check(group, await observer.dump(primary.name))];
}

/**
 * Runs faults under load and checks the invariants I1 to I6 after they have ended.
 *
 * @param options - Faults and load.
 */
export async function runScenario(options: ScenarioOptions): Promise<ScenarioResult> {
	const {fleet, group} = options;
	const observer = new FleetObserver(fleet);
	const before = await observer.getGroupStates(group);
	await using workload = new Workload(options);
	workload.start();
	await timerService.sleep(faultFreeMilliseconds);
	const endFaults: EndFault[] = [];
	for (const [index, kind] of options.faults.entries()) {
		endFaults.unshift(await injectFault(kind, {observer, group, choice: (options.choice ?? 0) + index}));
	}

	await timerService.sleep(options.durationMilliseconds);
	for (const endFault of endFaults) {
		await endFault();
	}

	await timerService.sleep(faultFreeMilliseconds);
	await workload.stop();
	const violations = await checkGroup(observer, group, workload);
	const after = await observer.getGroupStates(group);
	const getTerm = (states: ReadonlyArray<{readonly term: number}>) => Math.max(...states.map(({term}) => term));
	return {
		violations,
		acknowledged: workload.history.count(Effect.Acknowledged),
		unknown: workload.history.count(Effect.Unknown),
		refused: workload.history.count(Effect.None),
		counts: workload.operations.counts,
		promotions: getTerm(after) - getTerm(before),
	};
}
