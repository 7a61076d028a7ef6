import {type Consistency} from '../request/consistency.js';

/** Route from the name of a database to a group of instances. */
export type Route = {
	readonly database: string;
	readonly group: string;
	readonly consistency: Consistency;
	/** Time limit of one statement, in milliseconds. */
	readonly statementTimeoutMilliseconds: number;
	/** Time within which a whole operation should be answered, in milliseconds. */
	readonly targetMilliseconds: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Greatest permitted staleness of reads in milliseconds; 0 on `Primary` routes. */
	readonly maximumStalenessMilliseconds: number;
};

/** Group of instances: one primary and its replicas. */
export type InstanceGroup = {
	readonly name: string;
	/** Connections that an instance accepts from all hosts together. */
	readonly connectionLimit: number;
	/** Replicas that have received a commit when it is acknowledged. */
	readonly synchronousReplicas: number;
};

/** One version of the configuration, complete. */
export type DeploymentConfiguration = {
	readonly version: number;
	readonly routes: ReadonlyMap<string, Route>;
	readonly groups: ReadonlyMap<string, InstanceGroup>;
	/** Time after which a transaction without statements is rolled back, in milliseconds. */
	readonly idleTransactionMilliseconds: number;
};
