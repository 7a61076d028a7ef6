import os from 'node:os';
import process from 'node:process';
import {SystemTimerService, type Contract, type Rank} from '@tarragonstack/core';
import {Fleet, type Deployment, type StatementCounts} from '../fleet/index.js';
import {RequestOutcome, WriteGapTracker, type RankLoad} from '../load/index.js';
import {type Check, type Experiment, type ExperimentContext, type ExperimentOutcome} from './experiment.js';
import {loadMilliseconds, warmUpMilliseconds} from './experiments.js';
import {LoadWorkers} from './load-workers.js';
import {summarizeProcesses, type ProcessSummary} from './process-samples.js';
import {getAllRankFigures, type RankFigures} from './rank-account.js';
import {getRefundLowerBound} from './refund-lower-bound.js';
import {type RequestRecord} from './request-record.js';
import {SampleDirectory} from './sample-directory.js';
import {clientDelayMilliseconds, serviceMilliseconds} from './standard-load.js';

/** Share of the offered requests of one second for which connections are opened before the load begins. */
const warmConnectionSeconds = 0.3;

/** Width of the intervals of the series, in milliseconds. */
const seriesIntervalMilliseconds = 500;

const timerService = new SystemTimerService();

/** What to run. */
export type RunOptions = {
	readonly name: string;
	readonly experiment: Experiment;
	readonly deployment: Deployment;
	readonly contracts: readonly Contract[];
	readonly policy: string;
	readonly seed: number;
	/** Factor for the rate and the duration, for short tests; 1 if not given. */
	readonly scale?: number;
};

/** Figures of one interval. */
export type SeriesPoint = {
	/** Begin of the interval, in milliseconds from the start of the load. */
	readonly time: number;
	readonly ranks: Readonly<Record<Rank, RankFigures>>;
};

/** Report of an experiment. */
export type ExperimentReport = {
	readonly experiment: string;
	readonly deployment: string;
	readonly groups: number;
	readonly policy: string;
	readonly seed: number;
	readonly ranks: Readonly<Record<Rank, RankFigures>>;
	readonly replicaReadShare: number;
	readonly writeGapMilliseconds: number;
	readonly writeGapsMilliseconds: readonly number[];
	readonly refundTotal: number;
	readonly refundLowerBound: number;
	readonly missedOwnWrites: number;
	readonly errorCodes: Readonly<Record<string, number>>;
	readonly phases: Readonly<Record<string, Readonly<Record<Rank, RankFigures>>>>;
	readonly checks: readonly Check[];
	readonly processes: Readonly<Record<string, ProcessSummary>>;
	readonly loadAverage: number;
	readonly series: readonly SeriesPoint[];
};

/**
 * Runs an experiment on a fleet of its own.
 *
 * @param options - What to run.
 */
export async function runExperiment(options: RunOptions): Promise<ExperimentReport> {
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
	return await measure(options, {
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

type Setting = {
	readonly fleet: Fleet;
	readonly workers: LoadWorkers;
	readonly loads: readonly RankLoad[];
	readonly samples: string;
};

async function measure(options: RunOptions, {fleet, workers, loads, samples}: Setting): Promise<ExperimentReport> {
	const {name, experiment, deployment, contracts, policy, seed, scale = 1} = options;
	const contract = contracts[0]!;
	const warmUp = warmUpMilliseconds * scale;
	const duration = loadMilliseconds * scale;
	const loadAverage = os.loadavg()[0]!;
	const startAt = workers.start();
	const context = createContext(fleet, startAt);
	const injected = experiment.inject?.(context);
	await context.waitUntil(warmUp);
	const readsBefore = await fleet.getStatementCounts();
	const countsBefore = sumCounts(readsBefore.values());
	await injected;
	await context.waitUntil(duration);
	const {records: allRecords, missedOwnWrites} = await workers.finish();
	const readsAfter = await fleet.getStatementCounts();
	const countsAfter = sumCounts([...readsAfter.values(), ...context.lostCounts]);
	const records = allRecords.filter(({arrival}) => arrival >= warmUp);
	const ranks = getAllRankFigures(records, contract.ranks);
	const primaryReads = countsAfter.primaryReads - countsBefore.primaryReads;
	const replicaReads = countsAfter.replicaReads - countsBefore.replicaReads;
	const outcome: ExperimentOutcome = {
		deployment,
		contract,
		loads,
		records,
		measuredMilliseconds: duration - warmUp,
		ranks,
		ended: getAllRankFigures(allRecords.filter(record => hasEndedBetween(record, warmUp, duration)), contract.ranks),
		replicaReadShare: replicaReads / Math.max(1, replicaReads + primaryReads),
		writeGapsMilliseconds: getWriteGaps(records, context, warmUp, duration),
		refundTotal: Object.values(ranks).reduce((sum, {refund}) => sum + refund, 0),
		refundLowerBound: getLowerBound(records, contract, deployment),
	};
	const pidsOf = (role: string) => fleet.readyLines.filter(line => line.role === role).map(({pid}) => pid);
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
			[phase.name, getAllRankFigures(getBetween(records, phase.from, phase.to), contract.ranks)])),
		checks: experiment.check?.(outcome) ?? [],
		processes: {
			hosts: await summarize(pidsOf('host')),
			instances: await summarize(pidsOf('instance')),
			relay: await summarize(pidsOf('relay')),
			generators: await summarize(workers.pids),
		},
		loadAverage,
		series: getSeries(records, contract, warmUp, duration),
	};
}

function createContext(fleet: Fleet, startAt: number): ExperimentContext {
	const now = () => Date.now() - startAt;
	return {
		fleet,
		timerService,
		now,
		waitUntil: async milliseconds => timerService.sleep(Math.max(0, milliseconds - now())),
		losses: [],
		lostCounts: [],
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

function getBetween(records: readonly RequestRecord[], from: number, to: number): RequestRecord[] {
	return records.filter(({arrival}) => arrival >= from && arrival < to);
}

function hasEndedBetween({arrival, latency}: RequestRecord, from: number, to: number): boolean {
	return arrival + latency >= from && arrival + latency < to;
}

/** Returns the gap after each loss of a primary; without losses, the longest gap of each group. */
function getWriteGaps(records: readonly RequestRecord[], {losses, fleet}: ExperimentContext, startTime: number, endTime: number): number[] {
	const tracker = new WriteGapTracker(startTime);
	const acknowledged = records
		.filter(({isRead, outcome}) => !isRead && outcome === RequestOutcome.Answered)
		.map(({group, arrival, latency}) => ({group, time: arrival + latency}))
		.toSorted((left, right) => left.time - right.time);
	for (const {group, time} of acknowledged) {
		tracker.note(group, time);
	}

	return losses.length > 0
		? losses.map(({group, time}) => tracker.getLongestGap(group, endTime, time))
		: fleet.deployment.groups.map(group => tracker.getLongestGap(group, endTime));
}

function getLowerBound(records: readonly RequestRecord[], contract: Contract, deployment: Deployment): number {
	let bound = 0;
	for (const group of deployment.groups) {
		const works = records.filter(record => record.group === group).map(({rank, isRead, arrival}) => {
			const {lateRefund, refusedRefund = lateRefund, targetLatencyMilliseconds} = contract.ranks[rank];
			return {
				release: arrival + clientDelayMilliseconds,
				due: arrival + targetLatencyMilliseconds - clientDelayMilliseconds,
				work: serviceMilliseconds,
				refund: Math.min(lateRefund, refusedRefund),
				needsPrimary: !isRead,
			};
		});
		bound += getRefundLowerBound(works, {perInstance: deployment.slots, instances: deployment.availabilityZones.length});
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

function getSeries(records: readonly RequestRecord[], contract: Contract, startTime: number, endTime: number): SeriesPoint[] {
	const points: SeriesPoint[] = [];
	for (let time = startTime; time < endTime; time += seriesIntervalMilliseconds) {
		points.push({time, ranks: getAllRankFigures(getBetween(records, time, time + seriesIntervalMilliseconds), contract.ranks)});
	}

	return points;
}
