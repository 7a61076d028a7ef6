import {SystemTimerService} from '@tarragonstack/core';
import {type Fleet} from '../fleet/index.js';
import {counterCount, type OperationCounts} from './caller-operations.js';
import {Effect} from './effect.js';
import {injectFault, type FaultKind, type EndFault} from './fault.js';
import {FleetObserver} from './fleet-observer.js';
import {Invariant, type Violation} from './invariant.js';
import {SessionCaller} from './session-caller.js';
import {Workload} from './workload.js';

/** Duration of the load without faults, before and after them. */
const faultFreeMilliseconds = 300;

/** Maximum time until a group has one primary and all instances are at its position again. */
const settleTimeoutMilliseconds = 12_000;

/** Maximum time until every host serves writes again. */
const serviceTimeoutMilliseconds = 10_000;

/** Number of standard error lines of an exited process that a violation message contains. */
const reportedErrorLines = 12;

const timerService = new SystemTimerService();

/** Options of a scenario that injects faults under load. */
export type ScenarioOptions = {
	readonly fleet: Fleet;
	readonly group: string;
	readonly prefix: string;
	readonly seed: number;
	/** Faults in the order in which they are injected. All of them are active at the same time. */
	readonly faults: readonly FaultKind[];
	/** Time for which all faults are active. */
	readonly durationMilliseconds: number;
	/** Number that selects one of several eligible processes. The index of the fault is added. */
	readonly choice?: number;
	readonly workersPerHost?: number;
};

/** Result of a scenario. */
export type ScenarioResult = {
	readonly violations: readonly Violation[];
	readonly acknowledged: number;
	readonly unknown: number;
	readonly refused: number;
	readonly counts: OperationCounts;
	/** Number of terms that began during the scenario. */
	readonly promotions: number;
};

/**
 * Creates the rows to which the callers append.
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
 * Waits until every host serves writes of a group.
 *
 * @param fleet - Fleet.
 * @param group - Group.
 * @param workload - Workload whose history records the writes.
 * @returns A violation for each host that does not serve writes in time.
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
		const process = isRunning ? 'the process is running' : `the process exited: ${errorLines.slice(-reportedErrorLines).join(' ')}`;
		return [{invariant: Invariant.Recovery, message: `${name} does not serve writes of ${group}: ${lastResponses}; ${process}`}];
	}));
	return results.flat();
}

/**
 * Waits until a group has recovered, and compares its state with the history.
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
 * Injects faults under load and checks the invariants I1 to I6 after the faults have ended.
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
