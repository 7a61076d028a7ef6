import os from 'node:os';
import process from 'node:process';
import {SystemTimerService, type Contract} from '@tarragonstack/core';
import {build} from 'hdr-histogram-js';
import pg from 'pg';
import {Fleet, type Deployment} from '../fleet/index.js';
import {summarizeProcesses} from './process-samples.js';
import {SampleDirectory} from './sample-directory.js';

/** Description of the experiment. */
export const overheadDescription = 'latency added by one host, and its throughput in statements per second';

const latencySamples = 1500;
const throughputConnections = 64;
const throughputMilliseconds = 6000;
const throughputWarmUpMilliseconds = 1000;

/** Slots of each instance; high enough that the host is the bottleneck. */
const slots = 200;
const connectionLimit = 500;

const microsecondsPerMillisecond = 1000;
const probeStatement = '/*rank=\'least\',service_ms=\'0\'*/ SELECT id FROM load_entries WHERE id = \'none\'';

const timerService = new SystemTimerService();

type Latency = {readonly p50Milliseconds: number; readonly p99Milliseconds: number};

/** Measurements of the experiment. */
export type Overhead = {
	readonly direct: Latency;
	readonly host: Latency;
	readonly addedP50Milliseconds: number;
	readonly addedP99Milliseconds: number;
	readonly statementsPerSecond: number;
	/** CPU time of the host during the throughput measurement, as a share of one core. */
	readonly hostCpuShare: number;
	readonly statementsPerCoreSecond: number;
	readonly loadAverage: number;
};

async function measureLatency(connectionString: string): Promise<Latency> {
	const client = new pg.Client({connectionString});
	await client.connect();
	const histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3});
	for (let index = 0; index < latencySamples; index++) {
		const startTime = timerService.now();
		await client.query(probeStatement);
		histogram.recordValue(Math.max(1, Math.round((timerService.now() - startTime) * microsecondsPerMillisecond)));
	}

	await client.end();
	return {
		p50Milliseconds: histogram.getValueAtPercentile(50) / microsecondsPerMillisecond,
		p99Milliseconds: histogram.getValueAtPercentile(99) / microsecondsPerMillisecond,
	};
}

/** Runs statements back to back on many connections and returns the number that completed after the warm-up. */
async function countStatements(connectionString: string): Promise<number> {
	const startTime = timerService.now();
	let count = 0;
	await Promise.all(Array.from({length: throughputConnections}, async () => {
		const client = new pg.Client({connectionString});
		await client.connect();
		for (let now = timerService.now(); now < startTime + throughputMilliseconds; now = timerService.now()) {
			await client.query(probeStatement);
			count += timerService.now() - startTime > throughputWarmUpMilliseconds ? 1 : 0;
		}

		await client.end();
	}));
	return count;
}

/**
 * Compares a connection through a host with a direct connection to an instance. The fleet has one host and one group with one
 * instance, so the host both accepts the client connections and owns the instance.
 *
 * @param deployment - Deployment whose names and settings are used.
 * @param contracts - Contracts of the deployment.
 * @param seed - Selects the loopback addresses of the fleet.
 */
export async function measureOverhead(deployment: Deployment, contracts: readonly Contract[], seed: number): Promise<Overhead> {
	await using samples = await SampleDirectory.create();
	const singleHostDeployment: Deployment = {
		...deployment, hostCount: 1, groups: deployment.groups.slice(0, 1), availabilityZones: deployment.availabilityZones.slice(0, 1), slots, connectionLimit,
	};
	const loadAverage = os.loadavg()[0]!;
	await using fleet = await Fleet.start({
		deployment: singleHostDeployment, contracts: contracts.map(contract => ({...contract, groups: [...singleHostDeployment.groups]})), seed: process.pid + seed, serviceMilliseconds: 0,
	});
	const [instance] = fleet.instances;
	const hostString = fleet.getConnectionString(fleet.hosts[0]!.name);
	// The host reaches the instance through the relay, so the direct connection uses the relay as well.
	const directString = `postgresql://tarragon:upstream-of-the-fleet@${instance!.relayAddress}/${singleHostDeployment.groups[0]!}`;
	await measureLatency(hostString);
	const direct = await measureLatency(directString);
	const host = await measureLatency(hostString);
	const startAt = Date.now();
	const count = await countStatements(hostString);
	const pids = fleet.readyLines.filter(({role}) => role === 'host').map(({pid}) => pid);
	const hostSummary = await summarizeProcesses(samples.path, pids, startAt + throughputWarmUpMilliseconds, startAt + throughputMilliseconds);
	const statementsPerSecond = count * 1000 / (throughputMilliseconds - throughputWarmUpMilliseconds);
	return {
		direct,
		host,
		addedP50Milliseconds: host.p50Milliseconds - direct.p50Milliseconds,
		addedP99Milliseconds: host.p99Milliseconds - direct.p99Milliseconds,
		statementsPerSecond,
		hostCpuShare: hostSummary.cpuShare,
		statementsPerCoreSecond: statementsPerSecond / hostSummary.cpuShare,
		loadAverage,
	};
}
