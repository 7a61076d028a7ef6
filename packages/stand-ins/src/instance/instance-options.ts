/** Options of a database instance. */
export type InstanceOptions = {
	readonly name: string;
	/** IP address to listen on and to open outgoing connections from. */
	readonly address: string;
	readonly port: number;
	readonly controlPort: number;
	readonly password?: string;
	readonly slots: number;
	readonly connectionLimit: number;
	readonly connectMilliseconds: number;
	readonly serviceMilliseconds: number;
	/** Whether service times are drawn from an exponential distribution with `serviceMilliseconds` as its mean. */
	readonly exponentialService: boolean;
	readonly seed: number;
	readonly lagMilliseconds: number;
	readonly lockWaitMilliseconds: number;
	/** File that preserves the term and the log across restarts. */
	readonly journalFile?: string;
};

/** Settings and faults that the HTTP control API can change at run time. */
export type InstanceFaults = {
	lagMilliseconds: number;
	serviceTimeFactor: number;
	/** Number of upcoming connections to close immediately after they are accepted. */
	failConnections: number;
	/** Number of upcoming writes whose connection is closed after the commit and before the response. */
	dropAfterWrites: number;
	/** Whether a primary keeps accepting writes after a follower reports a newer term. */
	ignoreReplicationLoss: boolean;
};
