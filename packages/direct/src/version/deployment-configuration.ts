import {type Consistency} from '../request/consistency.js';
import {type WorkspaceDirectory} from '../request/workspace-directory.js';

/** Route from a database name to a group of instances. */
export type Route = {
	readonly database: string;
	readonly group: string;
	readonly consistency: Consistency;
	/** Time limit of one statement, in milliseconds. */
	readonly statementTimeoutMilliseconds: number;
	/** Target time of a whole operation, in milliseconds. */
	readonly targetMilliseconds: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Maximum staleness of reads, in milliseconds; 0 on `Primary` routes. */
	readonly maximumStalenessMilliseconds: number;
	/** Whether clients need no API key. */
	readonly isPublic?: boolean;
};

/** Customer organization whose clients share API keys and a rate limit. */
export type Workspace = {
	readonly name: string;
	/** Weight class within a priority of statements: each step up halves the share. */
	readonly priority: number;
	/** Operations that all hosts together may run, or `undefined` if there is no limit. */
	readonly rateLimit?: RateLimit;
};

/** Rate limit of a token bucket. */
export type RateLimit = {
	/** Operations per second. */
	readonly rate: number;
	/** Operations that may exceed the rate at once. */
	readonly burst: number;
};

/** Replication group: one primary and its replicas. */
export type InstanceGroup = {
	readonly name: string;
	/** Connections that an instance accepts from all hosts together. */
	readonly connectionLimit: number;
	/** Number of replicas that must receive a commit before it is acknowledged. */
	readonly synchronousReplicas: number;
};

/** Complete configuration of one version. */
export type DeploymentConfiguration = {
	readonly version: number;
	readonly routes: ReadonlyMap<string, Route>;
	readonly groups: ReadonlyMap<string, InstanceGroup>;
	/** Workspaces and their API keys, or `undefined` if clients are not identified. */
	readonly workspaces?: WorkspaceDirectory;
	/** Time after which an idle transaction is rolled back, in milliseconds. */
	readonly idleTransactionMilliseconds: number;
};
