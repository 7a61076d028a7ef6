import {loadavg} from 'node:os';
import {SystemTimerService} from '@tarragonstack/core';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {callJson, type Fleet} from '../../src/fleet/index.js';
import {startTestFleet} from './test-fleet.js';

/** Call budget of a host in `FleetConfigurationStore`: the burst, and the time that refills it by a read and the following watch. */
const callBurst = 4;
const callRefillMilliseconds = 5000;

/** Calls per second that the key-value service of section 1.5 of the design document handles. */
const readsPerSecond = 2000;
const writesPerSecond = 300;

/** Number of hosts and zones that are planned for in two years. */
const targetHosts = 480;
const targetZones = 7;

/** Minimum lifetime of a watch. A watching host makes one call in this time. */
const minimumWatchMilliseconds = 6000;

const sampleIntervalMilliseconds = 50;
const idleMilliseconds = 9000;
const observationMilliseconds = 5000;

const timerService = new SystemTimerService();

type Sample = {readonly at: number; readonly reads: number; readonly writes: number};

/** Samples the call counters of the key-value service over time. */
class CallRecorder implements AsyncDisposable {
	/** @param fleet - Fleet whose key-value service is sampled. */
	static async start(fleet: Fleet): Promise<CallRecorder> {
		const recorder = new CallRecorder(fleet);
		await recorder.#sample();
		recorder.#worker = recorder.#run();
		return recorder;
	}

	readonly #samples: Sample[] = [];
	#worker: Promise<void> | undefined;
	#isStopped = false;

	private constructor(private readonly fleet: Fleet) {}

	/** Stops recording. Returns the total numbers of reads, including watches, and of writes, and the reads of the busiest second. */
	async finish(): Promise<{seconds: number; reads: number; writes: number; peakReads: number}> {
		await this[Symbol.asyncDispose]();
		await this.#sample();
		const [first, last] = [this.#samples[0]!, this.#samples.at(-1)!];
		const peaks = this.#samples.map(sample => {
			const before = this.#samples.findLast(other => other.at <= sample.at - 1000) ?? first;
			return sample.reads - before.reads;
		});
		return {
			seconds: (last.at - first.at) / 1000,
			reads: last.reads - first.reads,
			writes: last.writes - first.writes,
			peakReads: Math.max(...peaks),
		};
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isStopped = true;
		await this.#worker;
	}

	async #run(): Promise<void> {
		while (!this.#isStopped) {
			await timerService.sleep(sampleIntervalMilliseconds);
			await this.#sample();
		}
	}

	async #sample(): Promise<void> {
		const {calls} = await callJson('GET', `${this.fleet.keyValueUrl}/status`) as {calls: Record<string, number>};
		const reads = (calls['/v3/kv/range'] ?? 0) + (calls['/v3/watch'] ?? 0);
		const writes = Object.entries(calls).filter(([path]) => path !== '/v3/kv/range' && path !== '/v3/watch').reduce((sum, [, count]) => sum + count, 0);
		this.#samples.push({at: timerService.now(), reads, writes});
	}
}

describe('calls to the key-value service', () => {
	let fleet: Fleet;

	beforeAll(async () => {
		fleet = await startTestFleet();
	});

	afterAll(async () => {
		await fleet?.[Symbol.asyncDispose]();
	});

	function report(name: string, counts: {seconds: number; reads: number; writes: number; peakReads: number}): void {
		const perHost = counts.reads / counts.seconds / fleet.hosts.length;
		console.log(`${name}: ${counts.reads} reads and watches, ${counts.writes} writes in ${counts.seconds.toFixed(1)} s, `
			+ `${perHost.toFixed(3)} per host and second, ${counts.peakReads} in the busiest second (load average ${loadavg()[0]!.toFixed(1)})`);
	}

	async function controlKeyValue(settings: Readonly<Record<string, unknown>>): Promise<void> {
		await callJson('POST', `${fleet.keyValueUrl}/control`, settings);
	}

	it('makes the calls of one watching host per zone when idle, which guards against calls that grow with the fleet', async () => {
		// Calls at startup must not be counted as idle calls.
		await timerService.sleep(2000);
		await using recorder = await CallRecorder.start(fleet);
		await timerService.sleep(idleMilliseconds);
		const counts = await recorder.finish();
		report('idle', counts);
		const zones = fleet.deployment.availabilityZones.length;
		expect(counts.reads).toBeGreaterThan(0);
		expect(counts.reads).toBeLessThanOrEqual(zones * (Math.ceil(counts.seconds * 1000 / minimumWatchMilliseconds) + 1));
		expect(counts.writes).toBe(0);
		console.log(`idle with ${targetHosts} hosts in ${targetZones} zones: at most ${(targetZones * 1000 / minimumWatchMilliseconds).toFixed(2)} calls/s`);
	});

	type RestartCase = {
		readonly name: string;
		readonly guards: string;
		run(): Promise<CallRecorder>;
	};

	const restartCases: readonly RestartCase[] = [
		{
			name: 'simultaneous restart of all hosts',
			guards: 'a service that is overloaded when the fleet starts',
			async run() {
				await Promise.all(fleet.hosts.map(async ({name}) => fleet.kill(name)));
				const recorder = await CallRecorder.start(fleet);
				await Promise.all(fleet.hosts.map(async ({name}) => fleet.restart(name)));
				return recorder;
			},
		},
		{
			name: 'restart of all hosts during a service outage',
			guards: 'hosts without a configuration that overload the service after the outage',
			async run() {
				await controlKeyValue({outage: 'refuse'});
				await Promise.all(fleet.hosts.map(async ({name}) => fleet.kill(name)));
				const recorder = await CallRecorder.start(fleet);
				const starting = Promise.all(fleet.hosts.map(async ({name}) => fleet.restart(name)));
				await timerService.sleep(4000);
				await controlKeyValue({outage: 'none'});
				await starting;
				return recorder;
			},
		},
	];

	it.each(restartCases)('keeps the call budget of each host during a $name, which guards against $guards', async ({name, run}) => {
		await using recorder = await run();
		await timerService.sleep(observationMilliseconds);
		const counts = await recorder.finish();
		report(name, counts);
		const budget = fleet.hosts.length * (callBurst + (2 * Math.ceil(counts.seconds * 1000 / callRefillMilliseconds)));
		expect(counts.reads).toBeGreaterThanOrEqual(fleet.deployment.availabilityZones.length);
		expect(counts.reads).toBeLessThanOrEqual(budget);
		expect(counts.peakReads).toBeLessThanOrEqual(fleet.hosts.length * callBurst);
		expect(counts.writes).toBe(0);
		const extrapolated = counts.peakReads / fleet.hosts.length * targetHosts;
		console.log(`${name} with ${targetHosts} hosts: ${Math.round(extrapolated)} calls in the busiest second by this measurement, `
			+ `at most ${targetHosts * callBurst} by the budget; the service handles ${readsPerSecond} reads/s and ${writesPerSecond} writes/s`);
		expect(targetHosts * callBurst).toBeLessThanOrEqual(readsPerSecond);
	});
});
