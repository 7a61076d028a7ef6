import {type Contract, type TimerService} from '@tarragonstack/core';
import {type Deployment, type Fleet, type StatementCounts} from '../fleet/index.js';
import {type RankLoad} from '../load/index.js';
import {type RankFigures} from './rank-account.js';
import {type RequestRecord} from './request-record.js';

/** Interval of an experiment, in milliseconds from the start of the load. */
export type Phase = {
	readonly name: string;
	readonly from: number;
	readonly to: number;
};

/** What an experiment may do while the load runs. */
export type ExperimentContext = {
	readonly fleet: Fleet;
	readonly timerService: TimerService;

	/** Groups that lost their primary, with the time of the loss. */
	readonly losses: Array<{readonly group: string; readonly time: number}>;

	/** Reads and writes of processes that ended. */
	readonly lostCounts: StatementCounts[];

	/**
	 * Waits until a time of the load.
	 *
	 * @param milliseconds - Time from the start of the load.
	 */
	waitUntil(milliseconds: number): Promise<void>;

	/** Returns the time from the start of the load, in milliseconds. */
	now(): number;
};

/** What a target is checked against. */
export type ExperimentOutcome = {
	readonly deployment: Deployment;
	readonly contract: Contract;
	readonly loads: readonly RankLoad[];
	/** Requests that arrived in the measured interval. */
	readonly records: readonly RequestRecord[];
	readonly measuredMilliseconds: number;
	readonly ranks: Readonly<Record<string, RankFigures>>;
	/**
	 * Figures of the requests that ended in the measured interval. They tell how the capacity of the interval was used; work
	 * that is queued when the load ends has all slots for itself and would count too much.
	 */
	readonly ended: Readonly<Record<string, RankFigures>>;
	readonly replicaReadShare: number;
	/** Longest time without an acknowledged write after each loss of a primary, or of each group. */
	readonly writeGapsMilliseconds: readonly number[];
	readonly refundTotal: number;
	readonly refundLowerBound: number;
};

/** Comparison of a figure with its target. */
export type Check = {
	readonly name: string;
	readonly value: number;
	readonly target: number;
	readonly isMet: boolean;
};

/** Definition of an experiment on a fleet. */
export type Experiment = {
	readonly description: string;
	readonly createLoads: (deployment: Deployment) => RankLoad[];
	/** Part of the run whose service level is reported separately. */
	readonly phases?: readonly Phase[];
	readonly inject?: (context: ExperimentContext) => Promise<void>;
	readonly check?: (outcome: ExperimentOutcome) => Check[];
};
