import {type Contract} from '@tarragonstack/core';
import {type RankLoad} from '../load/index.js';
import {type RequestRecord} from './request-record.js';

/** Load that a load generator process is to generate. */
export type LoadTask = {
	readonly loads: readonly RankLoad[];
	readonly durationMilliseconds: number;
	readonly seed: number;
	readonly prefix: string;
	readonly contract: Contract;
	readonly hosts: readonly string[];
	readonly groups: readonly string[];
	/** Connection strings, keyed by `<host>/<group>`. */
	readonly connectionStrings: Readonly<Record<string, string>>;
	readonly warmConnections: number;
	readonly clientDelayMilliseconds: number;
};

/** Message to a load generator process. */
export type LoadWorkerCommand
	= | {readonly kind: 'prepare'; readonly task: LoadTask}
		| {readonly kind: 'start'; readonly startAt: number};

/** Message from a load generator process. */
export type LoadWorkerReport
	= | {readonly kind: 'ready'}
		| {readonly kind: 'finished'; readonly records: readonly RequestRecord[]; readonly missedOwnWrites: number};
