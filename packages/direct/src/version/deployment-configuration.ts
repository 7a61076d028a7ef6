import {type Consistency} from '../request/consistency.js';

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
	/** Time after which an idle transaction is rolled back, in milliseconds. */
	readonly idleTransactionMilliseconds: number;
};
