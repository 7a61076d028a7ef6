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

/** Interval at which writes begin. */
const writeIntervalMilliseconds = 10;

/** Time before the fault, and greatest time after it in which writes must go on. */
const warmUpMilliseconds = 400;
const recoveryTimeoutMilliseconds = 8000;

/** Time for which hosts are paused. */
const pauseDurations: readonly number[] = [1000, 3000];
const settleTimeoutMilliseconds = 20_000;

const timerService = new SystemTimerService();

enum Measurement {
	Killed = 'killed',
	Partitioned = 'partitioned',
	/** Acknowledged writes that are lost at a promotion, for both modes of acknowledgement. */
	Loss = 'loss',
	/** Promotions because of paused hosts. */
	Pauses = 'pauses',
}

/**
 * Times of acknowledged writes. A write begins at a fixed interval, no matter how many are under way, because writes that
 * the old primary holds until their time limit must not keep others from finding the new one.
 */
class PeriodicWriter {
	readonly times: number[] = [];
	readonly #callerPool: SessionCallerPool;
	readonly #running = new Set<Promise<void>>();
	readonly #subscription: Disposable;
	#count = 0;

	/**
	 * @param fleet - Fleet.
	 * @param group - Group.
	 * @param round - Number of the run, for the tokens.
	 */
	constructor(fleet: Fleet, group: string, round: number) {
		this.#callerPool = new SessionCallerPool(fleet, group);
		this.#subscription = timerService.subscribe(writeIntervalMilliseconds, () => {
			this.#count++;
			const host = fleet.hosts[this.#count % fleet.hosts.length]!.name;
			const running = this.#write(host, `g${round}-${this.#count}`).finally(() => {
				this.#running.delete(running);
			});
			this.#running.add(running);
		});
	}

	async stop(): Promise<void> {
		this.#subscription[Symbol.dispose]();
		await Promise.all(this.#running);
		this.#callerPool[Symbol.dispose]();
	}

	async #write(host: string, token: string): Promise<void> {
		await this.#callerPool.use([host], 'gaps', async ([caller]) => {
			try {
				await caller!.query(`INSERT INTO gaps (id) VALUES ('${token}')`);
				this.times.push(timerService.now());
			} catch {
				// The next write tells when writes are possible again.
			}
		});
	}
}

/** Runs one fault and returns the gap between the last acknowledged write before and the first after it. */
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
	// Responses that were under way at the fault arrive after it, so the longest gap around the fault counts.
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

/** Pauses every host in turn and counts the terms that begin. */
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
	description: 'Measures the gap in writes when a primary fails, lost writes, or promotions because of paused hosts.',
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
