import os from 'node:os';
import process from 'node:process';
import {SystemTimerService, type Contract, type Rank} from '@tarragonstack/core';
import {Fleet, type Deployment, type StatementCounts} from '../fleet/index.js';
import {RequestOutcome, WriteGapTracker, type RankLoad} from '../load/index.js';
import {type Check, type Experiment, type ExperimentContext, type ExperimentOutcome} from './experiment.js';
import {loadMilliseconds, warmUpMilliseconds} from './experiments.js';
import {LoadWorkers} from './load-workers.js';
import {summarizeProcesses, type ProcessSummary} from './process-samples.js';
import {getStatisticsByRank, type RankStatistics} from './rank-statistics.js';
import {getRefundLowerBound} from './refund-lower-bound.js';
import {type RequestRecord} from './request-record.js';
import {SampleDirectory} from './sample-directory.js';
import {clientDelayMilliseconds, serviceMilliseconds} from './standard-load.js';

/** Number of connections to open before the load starts, per offered request per second. */
const warmConnectionSeconds = 0.3;

/** Length of the intervals of the time series, in milliseconds. */
const seriesIntervalMilliseconds = 500;

const timerService = new SystemTimerService();

/** Options of a run. */
export type ExperimentRunOptions = {
	readonly name: string;
	readonly experiment: Experiment;
	readonly deployment: Deployment;
	readonly contracts: readonly Contract[];
	readonly policy: string;
	readonly seed: number;
	/** Factor for the rate and the duration of the load, to shorten a run; 1 by default. */
	readonly scale?: number;
};

/** Statistics of one interval of the time series. */
export type SeriesPoint = {
	/** Start of the interval, in milliseconds from the start of the load. */
	readonly time: number;
	readonly ranks: Readonly<Record<Rank, RankStatistics>>;
};

/** Report of an experiment. */
export type ExperimentReport = {
	readonly experiment: string;
	readonly deployment: string;
	readonly groups: number;
	readonly policy: string;
	readonly seed: number;
	readonly ranks: Readonly<Record<Rank, RankStatistics>>;
	readonly replicaReadShare: number;
	readonly writeGapMilliseconds: number;
	readonly writeGapsMilliseconds: readonly number[];
	readonly refundTotal: number;
	readonly refundLowerBound: number;
	readonly missedOwnWrites: number;
	readonly errorCodes: Readonly<Record<string, number>>;
	readonly phases: Readonly<Record<string, Readonly<Record<Rank, RankStatistics>>>>;
	readonly checks: readonly Check[];
	readonly processes: Readonly<Record<string, ProcessSummary>>;
	readonly loadAverage: number;
	readonly series: readonly SeriesPoint[];
};

/**
 * Starts a fleet, runs an experiment on it and returns the report.
 *
 * @param options - Experiment, deployment and load settings.
 */
export async function runExperiment(options: ExperimentRunOptions): Promise<ExperimentReport> {
	const {experiment, deployment, contracts, policy, seed, scale = 1} = options;
	await using samples = await SampleDirectory.create();
	const loads = experiment.createLoads(deployment).map(load => ({...load, requestsPerSecond: load.requestsPerSecond * scale}));
	await using fleet = await Fleet.start({deployment, contracts, schedulingPolicy: policy, seed: process.pid});
	using workers = new LoadWorkers({
		loads,
		durationMilliseconds: loadMilliseconds * scale,
		seed,
		prefix: `load-${seed}`,
		contract: contracts[0]!,
		hosts: fleet.hosts.map(({name}) => name),
		groups: deployment.groups,
		connectionStrings: Object.fromEntries(fleet.hosts.flatMap(({name}) =>
			deployment.groups.map(group => [`${name}/${group}`, fleet.getConnectionString(name, group)]))),
		warmConnections: getWarmConnections(loads, fleet.hosts.length * deployment.groups.length),
		clientDelayMilliseconds,
	});
	await workers.prepare();
	return await measurePreparedRun(options, {
		fleet, workers, loads, samples: samples.path,
	});
}

function getWarmConnections(loads: readonly RankLoad[], poolCount: number): number {
	let requestsPerSecond = 0;
	for (const load of loads) {
		requestsPerSecond += load.requestsPerSecond;
	}

	return Math.ceil(requestsPerSecond * warmConnectionSeconds / poolCount);
}

type PreparedRun = {
	readonly fleet: Fleet;
	readonly workers: LoadWorkers;
	readonly loads: readonly RankLoad[];
	readonly samples: string;
};

async function measurePreparedRun(options: ExperimentRunOptions, {fleet, workers, loads, samples}: PreparedRun): Promise<ExperimentReport> {
	const {name, experiment, deployment, contracts, policy, seed, scale = 1} = options;
	const contract = contracts[0]!;
	const warmUp = warmUpMilliseconds * scale;
	const duration = loadMilliseconds * scale;
	const loadAverage = os.loadavg()[0]!;
	const startAt = workers.start();
	const context = createContext(fleet, startAt);
	const faultInjection = experiment.injectFault?.(context);
	await context.waitUntil(warmUp);
	const readsBefore = await fleet.getStatementCounts();
	const countsBefore = sumCounts(readsBefore.values());
	await faultInjection;
	await context.waitUntil(duration);
	const {records: allRecords, missedOwnWrites} = await workers.finish();
	const readsAfter = await fleet.getStatementCounts();
	const countsAfter = sumCounts([...readsAfter.values(), ...context.killedInstanceCounts]);
	const records = allRecords.filter(({arrival}) => arrival >= warmUp);
	const ranks = getStatisticsByRank(records, contract.ranks);
	const primaryReads = countsAfter.primaryReads - countsBefore.primaryReads;
	const replicaReads = countsAfter.replicaReads - countsBefore.replicaReads;
	const outcome: ExperimentOutcome = {
		deployment,
		contract,
		loads,
		records,
		measuredMilliseconds: duration - warmUp,
		ranks,
		completedInInterval: getStatisticsByRank(allRecords.filter(record => isCompletedBetween(record, warmUp, duration)), contract.ranks),
		replicaReadShare: replicaReads / Math.max(1, replicaReads + primaryReads),
		writeGapsMilliseconds: getWriteGaps(records, context, warmUp, duration),
		refundTotal: Object.values(ranks).reduce((sum, {refund}) => sum + refund, 0),
		refundLowerBound: getTotalRefundLowerBound(records, contract, deployment),
	};
	const getPids = (role: string) => fleet.readyLines.filter(line => line.role === role).map(({pid}) => pid);
	const summarize = async (pids: readonly number[]) => summarizeProcesses(samples, pids, startAt + warmUp, startAt + duration);
	return {
		experiment: name,
		deployment: deployment.name,
		groups: deployment.groups.length,
		policy,
		seed,
		ranks,
		replicaReadShare: outcome.replicaReadShare,
		writeGapMilliseconds: Math.max(...outcome.writeGapsMilliseconds),
		writeGapsMilliseconds: outcome.writeGapsMilliseconds,
		refundTotal: outcome.refundTotal,
		refundLowerBound: outcome.refundLowerBound,
		missedOwnWrites,
		errorCodes: countErrorCodes(records),
		phases: Object.fromEntries((experiment.phases ?? []).map(phase =>
			[phase.name, getStatisticsByRank(filterByArrival(records, phase.from, phase.to), contract.ranks)])),
		checks: experiment.createChecks?.(outcome) ?? [],
		processes: {
			hosts: await summarize(getPids('host')),
			instances: await summarize(getPids('instance')),
			relay: await summarize(getPids('relay')),
			generators: await summarize(workers.pids),
		},
		loadAverage,
		series: createSeries(records, contract, warmUp, duration),
	};
}

function createContext(fleet: Fleet, startAt: number): ExperimentContext {
	const now = () => Date.now() - startAt;
	return {
		fleet,
		timerService,
		now,
		waitUntil: async milliseconds => timerService.sleep(Math.max(0, milliseconds - now())),
		primaryFailures: [],
		killedInstanceCounts: [],
	};
}

function sumCounts(counts: Iterable<StatementCounts>): {readonly primaryReads: number; readonly replicaReads: number} {
	const sum = {primaryReads: 0, replicaReads: 0};
	for (const {primaryReads, replicaReads} of counts) {
		sum.primaryReads += primaryReads;
		sum.replicaReads += replicaReads;
	}

	return sum;
}

function filterByArrival(records: readonly RequestRecord[], from: number, to: number): RequestRecord[] {
	return records.filter(({arrival}) => arrival >= from && arrival < to);
}

function isCompletedBetween({arrival, latency}: RequestRecord, from: number, to: number): boolean {
	return arrival + latency >= from && arrival + latency < to;
}

/** Returns the longest write gap after each primary failure or, without failures, the longest gap of each group. */
function getWriteGaps(records: readonly RequestRecord[], {primaryFailures, fleet}: ExperimentContext, startTime: number, endTime: number): number[] {
	const tracker = new WriteGapTracker(startTime);
	const acknowledged = records
		.filter(({isRead, outcome}) => !isRead && outcome === RequestOutcome.Answered)
		.map(({group, arrival, latency}) => ({group, time: arrival + latency}))
		.toSorted((left, right) => left.time - right.time);
	for (const {group, time} of acknowledged) {
		tracker.recordWrite(group, time);
	}

	return primaryFailures.length > 0
		? primaryFailures.map(({group, time}) => tracker.getLongestGap(group, endTime, time))
		: fleet.deployment.groups.map(group => tracker.getLongestGap(group, endTime));
}

function getTotalRefundLowerBound(records: readonly RequestRecord[], contract: Contract, deployment: Deployment): number {
	let bound = 0;
	for (const group of deployment.groups) {
		const jobs = records.filter(record => record.group === group).map(({rank, isRead, arrival}) => {
			const {lateRefund, refusedRefund = lateRefund, targetLatencyMilliseconds} = contract.ranks[rank];
			return {
				releaseTime: arrival + clientDelayMilliseconds,
				deadline: arrival + targetLatencyMilliseconds - clientDelayMilliseconds,
				processingTime: serviceMilliseconds,
				refund: Math.min(lateRefund, refusedRefund),
				requiresPrimary: !isRead,
			};
		});
		bound += getRefundLowerBound(jobs, {perInstance: deployment.slots, instances: deployment.availabilityZones.length});
	}

	return bound;
}

function countErrorCodes(records: readonly RequestRecord[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {rank, errorCode} of records) {
		if (errorCode !== undefined) {
			const key = `${rank} ${errorCode}`;
			counts[key] = (counts[key] ?? 0) + 1;
		}
	}

	return counts;
}

function createSeries(records: readonly RequestRecord[], contract: Contract, startTime: number, endTime: number): SeriesPoint[] {
	const points: SeriesPoint[] = [];
	for (let time = startTime; time < endTime; time += seriesIntervalMilliseconds) {
		points.push({time, ranks: getStatisticsByRank(filterByArrival(records, time, time + seriesIntervalMilliseconds), contract.ranks)});
	}

	return points;
}
