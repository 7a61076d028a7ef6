#!/usr/bin/env node
import path from 'node:path';
import process from 'node:process';
import os from 'node:os';
import {fileURLToPath} from 'node:url';
import {SystemTimerService} from '@tarragonstack/core';
import {
	binary, command, flag, number, oneOf, option, run,
} from 'cmd-ts';
import {DeploymentName, deployments, Fleet, loadContracts} from '../fleet/index.js';
import {FaultKind, injectFault} from './fault.js';
import {FleetObserver} from './fleet-observer.js';
import {measureLoss} from './loss.js';
import {SessionCallerPool} from './session-caller-pool.js';

/** Interval between the starts of two writes. */
const writeIntervalMilliseconds = 10;

/** Duration of the writes before the fault, and maximum time to wait for writes to succeed again after it. */
const warmUpMilliseconds = 400;
const recoveryTimeoutMilliseconds = 8000;

/** Times for which hosts are paused, in milliseconds. */
const pauseDurations: readonly number[] = [1000, 3000];
const settleTimeoutMilliseconds = 20_000;

const timerService = new SystemTimerService();

enum Measurement {
	Killed = 'killed',
	Partitioned = 'partitioned',
	/** Number of acknowledged writes that a promotion loses, for both acknowledgement modes. */
	Loss = 'loss',
	/** Number of promotions that paused hosts cause. */
	Pauses = 'pauses',
}

/**
 * Sends writes at a fixed interval and records the times of their acknowledgements. The number of concurrent writes is
 * not limited, because writes that the old primary delays until their timeout must not keep others from reaching the new
 * primary.
 */
class PeriodicWriter {
	readonly times: number[] = [];
	readonly #callerPool: SessionCallerPool;
	readonly #pending = new Set<Promise<void>>();
	readonly #subscription: Disposable;
	#count = 0;

	/**
	 * @param fleet - Fleet.
	 * @param group - Group.
	 * @param round - Number of the run, which makes the tokens unique.
	 */
	constructor(fleet: Fleet, group: string, round: number) {
		this.#callerPool = new SessionCallerPool(fleet, group);
		this.#subscription = timerService.subscribe(writeIntervalMilliseconds, () => {
			this.#count++;
			const host = fleet.hosts[this.#count % fleet.hosts.length]!.name;
			const running = this.#write(host, `g${round}-${this.#count}`).finally(() => {
				this.#pending.delete(running);
			});
			this.#pending.add(running);
		});
	}

	async stop(): Promise<void> {
		this.#subscription[Symbol.dispose]();
		await Promise.all(this.#pending);
		this.#callerPool[Symbol.dispose]();
	}

	async #write(host: string, token: string): Promise<void> {
		await this.#callerPool.use([host], 'gaps', async ([caller]) => {
			try {
				await caller!.query(`INSERT INTO gaps (id) VALUES ('${token}')`);
				this.times.push(timerService.now());
			} catch {
				// Only acknowledged writes are recorded.
			}
		});
	}
}

/** Injects a fault and returns the time between the last acknowledgement before it and the first one after it. */
async function measureGap(observer: FleetObserver, group: string, kind: FaultKind, round: number): Promise<number> {
	const writer = new PeriodicWriter(observer.fleet, group, round);
	await timerService.sleep(warmUpMilliseconds);
	const state = await observer.getGroupStates(group);
	const term = Math.max(...state.map(entry => entry.term));
	const primary = (await observer.getPrimary(group))!;
	const endFault = await injectFault(kind, {observer, group, choice: 0});
	const faultTime = timerService.now();
	const deadline = faultTime + recoveryTimeoutMilliseconds;
	const isPromoted = async () => {
		const states = await observer.getGroupStates(group);
		return states.some(entry => entry.role === 'primary' && entry.term > term && entry.name !== primary.name);
	};

	await observer.waitFor(isPromoted, recoveryTimeoutMilliseconds);
	const promotedCount = writer.times.length;
	await observer.waitFor(async () => writer.times.length > promotedCount + 10 || timerService.now() > deadline, recoveryTimeoutMilliseconds);
	await endFault();
	await writer.stop();
	await observer.waitUntilReplicated(group, settleTimeoutMilliseconds);
	// Responses that were in flight at the fault arrive after it, so the longest gap around the fault is returned.
	const timesAroundFault = writer.times.toSorted((first, second) => first - second).filter(time => time > faultTime - warmUpMilliseconds);
	return Math.max(...timesAroundFault.slice(1).map((time, index) => time - timesAroundFault[index]!));
}

function getPercentile(sorted: readonly number[], fraction: number): number {
	return Math.round(sorted[Math.min(sorted.length - 1, Math.ceil(fraction * sorted.length) - 1)]!);
}

async function measureGaps(observer: FleetObserver, group: string, kind: FaultKind, runs: number): Promise<Record<string, unknown>> {
	const gaps: number[] = [];
	for (let round = 0; round < runs; round++) {
		gaps.push(await measureGap(observer, group, kind, round));
		process.stderr.write(`run ${round + 1}: ${gaps.at(-1)!.toFixed(0)} ms\n`);
	}

	const sorted = gaps.toSorted((first, second) => first - second);
	return {
		runs, p50: getPercentile(sorted, 0.5), p99: getPercentile(sorted, 0.99), max: Math.round(sorted.at(-1)!), gaps: gaps.map(gap => Math.round(gap)),
	};
}

/** Pauses the hosts one after the other and counts the terms that begin. */
async function measurePauses(observer: FleetObserver, runs: number): Promise<Record<string, unknown>> {
	const {fleet} = observer;
	const getTerms = async () => {
		const states = await Promise.all(fleet.deployment.groups.map(async group => observer.getGroupStates(group)));
		return states.map(group => Math.max(...group.map(({term}) => term))).reduce((sum, term) => sum + term, 0);
	};

	const counts: Record<string, unknown> = {};
	for (const duration of pauseDurations) {
		const before = await getTerms();
		for (let round = 0; round < runs; round++) {
			const host = fleet.hosts[round % fleet.hosts.length]!.name;
			fleet.pause(host);
			await timerService.sleep(duration);
			fleet.resume(host);
			await timerService.sleep(warmUpMilliseconds);
		}

		counts[`${duration} ms`] = {pauses: runs, promotions: await getTerms() - before};
	}

	return counts;
}

const writeGap = command({
	name: 'write-gap',
	description: 'Measures the gap in writes after a primary fails, the writes lost by a promotion, or the promotions that paused hosts cause.',
	args: {
		runs: option({
			long: 'runs', type: number, defaultValue: () => 20, description: 'number of faults',
		}),
		fault: option({
			long: 'fault', type: oneOf(Object.values(Measurement)), defaultValue: () => Measurement.Killed, description: 'what is measured',
		}),
		deployment: option({
			long: 'deployment', type: oneOf(Object.values(DeploymentName)), defaultValue: () => DeploymentName.Edredon, description: 'example deployment',
		}),
		json: flag({long: 'json', description: 'print JSON only'}),
	},
	async handler({runs, fault, deployment, json}) {
		const examples = fileURLToPath(new URL('../../../../examples', import.meta.url));
		await using fleet = await Fleet.start({
			deployment: deployments[deployment],
			contracts: await loadContracts(path.join(examples, deployment)),
		});
		const observer = new FleetObserver(fleet);
		const group = fleet.deployment.groups[0]!;
		const measurements: Readonly<Record<Measurement, () => Promise<Record<string, unknown>>>> = {
			[Measurement.Killed]: () => measureGaps(observer, group, FaultKind.KillPrimary, runs),
			[Measurement.Partitioned]: () => measureGaps(observer, group, FaultKind.IsolatePrimary, runs),
			[Measurement.Loss]: () => measureLoss(observer, group, runs),
			[Measurement.Pauses]: () => measurePauses(observer, runs),
		};
		const loadBefore = os.loadavg()[0]!;
		const result = {
			fault, deployment, date: new Date().toISOString(), loadBefore, ...await measurements[fault](), loadAfter: os.loadavg()[0]!,
		};
		process.stdout.write(`${JSON.stringify(result, undefined, json ? undefined : '\t')}\n`);
	},
});

await run(binary(writeGap), process.argv);
process.exit();
