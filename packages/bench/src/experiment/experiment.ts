import {type Contract, type TimerService} from '@tarragonstack/core';
import {type Deployment, type Fleet, type StatementCounts} from '../fleet/index.js';
import {type RankLoad} from '../load/index.js';
import {type RankStatistics} from './rank-statistics.js';
import {type RequestRecord} from './request-record.js';

/** Named interval of an experiment, in milliseconds from the start of the load. */
export type Phase = {
	readonly name: string;
	readonly from: number;
	readonly to: number;
};

/** State and operations that are available to an experiment while the load runs. */
export type ExperimentContext = {
	readonly fleet: Fleet;
	readonly timerService: TimerService;

	/** Groups whose primary was killed, with the time of the failure. */
	readonly primaryFailures: Array<{readonly group: string; readonly time: number}>;

	/** Read counts of instances, taken immediately before they were killed. */
	readonly killedInstanceCounts: StatementCounts[];

	/**
	 * Waits until a point in time of the load.
	 *
	 * @param milliseconds - Time since the start of the load.
	 */
	waitUntil(milliseconds: number): Promise<void>;

	/** Returns the time since the start of the load, in milliseconds. */
	now(): number;
};

/** Measurements of an experiment that its checks compare with targets. */
export type ExperimentOutcome = {
	readonly deployment: Deployment;
	readonly contract: Contract;
	readonly loads: readonly RankLoad[];
	/** Requests that arrived in the measurement interval. */
	readonly records: readonly RequestRecord[];
	readonly measuredMilliseconds: number;
	readonly ranks: Readonly<Record<string, RankStatistics>>;
	/**
	 * Statistics of the requests that completed in the measurement interval, which show how its capacity was used. Requests
	 * still queued at the end of the load are excluded: they no longer compete for slots and would inflate the utilization.
	 */
	readonly completedInInterval: Readonly<Record<string, RankStatistics>>;
	readonly replicaReadShare: number;
	/** Longest time without an acknowledged write after each primary failure, or for each group if no primary failed. */
	readonly writeGapsMilliseconds: readonly number[];
	readonly refundTotal: number;
	readonly refundLowerBound: number;
};

/** Comparison of a measured value with its target. */
export type Check = {
	readonly name: string;
	readonly value: number;
	readonly target: number;
	readonly isMet: boolean;
};

/** Definition of an experiment that loads a fleet. */
export type Experiment = {
	readonly description: string;
	readonly createLoads: (deployment: Deployment) => RankLoad[];
	/** Intervals of the run whose statistics are reported separately. */
	readonly phases?: readonly Phase[];
	readonly injectFault?: (context: ExperimentContext) => Promise<void>;
	readonly createChecks?: (outcome: ExperimentOutcome) => Check[];
};
