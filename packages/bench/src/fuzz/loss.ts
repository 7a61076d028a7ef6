import {SystemTimerService} from '@tarragonstack/core';
import {injectFault, FaultKind} from './fault.js';
import {type FleetObserver} from './fleet-observer.js';
import {SessionCaller} from './session-caller.js';

/**
 * Network delay between the primary and its replicas. Instances communicate only for replication, so the delay affects
 * nothing else. The replication lag setting of the instances would lose no writes, because a replica still applies all
 * entries that it has received.
 */
const lagMilliseconds = 50;

/** Duration of the load before the primary is isolated, and again after that. */
const loadPhaseMilliseconds = 500;
const settleTimeoutMilliseconds = 20_000;

/** Rank of the example contracts that uses each acknowledgement mode. */
const ranksByMode = {fenced: 'least', replicated: 'urgent'} as const;

const timerService = new SystemTimerService();

/**
 * Isolates the primary under load and counts the acknowledged writes that are missing at the new primary.
 *
 * @param observer - Observer of the fleet.
 * @param group - Group.
 * @param runs - Number of promotions for each acknowledgement mode.
 */
export async function measureLoss(observer: FleetObserver, group: string, runs: number): Promise<Record<string, unknown>> {
	const result: Record<string, {runs: number; acknowledged: number; lost: number}> = {};
	for (const [mode, rank] of Object.entries(ranksByMode)) {
		const counts = {runs, acknowledged: 0, lost: 0};
		for (let round = 0; round < runs; round++) {
			const acknowledged = await writeUntilIsolated(observer, group, `${mode}-${round}`, rank);
			const {primary, problem} = await observer.waitUntilReplicated(group, settleTimeoutMilliseconds);
			if (!primary) {
				throw new Error(problem);
			}

			const {tables} = await observer.dump(primary.name);
			const storedIds = new Set((tables.losses ?? []).map(({id}) => id));
			counts.acknowledged += acknowledged.length;
			counts.lost += acknowledged.filter(token => !storedIds.has(token)).length;
		}

		result[mode] = counts;
	}

	return {lagMilliseconds, ...result};
}

async function writeUntilIsolated(observer: FleetObserver, group: string, prefix: string, rank: string): Promise<string[]> {
	const acknowledged: string[] = [];
	const stop = new AbortController();
	const primary = (await observer.getPrimary(group))!;
	const delays: AsyncDisposable[] = [];
	for (const {name} of observer.getInstances(group)) {
		delays.push(await observer.fleet.network.inject({source: {name: primary.name}, destination: {name}, delayMilliseconds: lagMilliseconds}));
	}

	const tasks = observer.fleet.hosts.map(async ({name}) => {
		const caller = new SessionCaller(observer.fleet, name, group);
		for (let index = 0; !stop.signal.aborted; index++) {
			const token = `${prefix}-${name}-${index}`;
			try {
				await caller.query(`INSERT INTO losses (id) VALUES ('${token}') /*rank='${rank}'*/`);
				acknowledged.push(token);
			} catch {
				// Only acknowledged writes are counted.
			}

			await timerService.sleep(1);
		}

		caller.close();
	});
	await timerService.sleep(loadPhaseMilliseconds);
	const endFault = await injectFault(FaultKind.IsolatePrimary, {observer, group, choice: 0});
	await timerService.sleep(loadPhaseMilliseconds);
	stop.abort();
	await Promise.all(tasks);
	await endFault();
	for (const delay of delays) {
		await delay[Symbol.asyncDispose]();
	}

	return acknowledged;
}
