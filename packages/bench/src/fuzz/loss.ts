import {SystemTimerService} from '@tarragonstack/core';
import {injectFault, FaultKind} from './fault.js';
import {type FleetObserver} from './fleet-observer.js';
import {SessionCaller} from './session-caller.js';

/**
 * Time that entries take from the primary to a replica. Instances talk to each other for replication only, so the delay
 * concerns nothing else. A lag of the instance would not do, because a replica applies what it has received in any case.
 */
const lagMilliseconds = 50;

/** Load before the primary is cut off, and after that. */
const loadPhaseMilliseconds = 500;
const settleTimeoutMilliseconds = 20_000;

/** Ranks of the example contracts with each mode of acknowledgement. */
const ranksByMode = {fenced: 'least', replicated: 'urgent'} as const;

const timerService = new SystemTimerService();

/**
 * Cuts the primary off under load and counts the acknowledged writes that the new primary does not have.
 *
 * @param observer - Observer of the fleet.
 * @param group - Group.
 * @param runs - Number of promotions for each mode of acknowledgement.
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
			const present = new Set((tables.losses ?? []).map(({id}) => id));
			counts.acknowledged += acknowledged.length;
			counts.lost += acknowledged.filter(token => !present.has(token)).length;
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
				// Only acknowledged writes count.
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
