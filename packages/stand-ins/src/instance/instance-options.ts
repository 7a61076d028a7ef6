/** Settings of a database instance that are fixed at its start. */
export type InstanceOptions = {
	readonly name: string;
	/** IP address of the listeners and of outgoing connections. */
	readonly address: string;
	readonly port: number;
	readonly controlPort: number;
	readonly password?: string;
	readonly slots: number;
	readonly connectionLimit: number;
	readonly connectMilliseconds: number;
	readonly serviceMilliseconds: number;
	/** Draws service times from an exponential distribution with the service time as its mean. */
	readonly exponentialService: boolean;
	readonly seed: number;
	readonly lagMilliseconds: number;
	readonly lockWaitMilliseconds: number;
	/** File that keeps the term and the log across restarts. */
	readonly journalFile?: string;
};

/** Settings and faults that the HTTP control changes while the instance runs. */
export type InstanceFaults = {
	lagMilliseconds: number;
	serviceTimeFactor: number;
	/** Connections that are still to be closed at their start. */
	failConnections: number;
	/** Writes whose connection is still to be closed after the effect and before the answer. */
	dropAfterWrites: number;
	/** A primary that ignores followers with a newer term and goes on to accept writes. */
	ignoreReplicationLoss: boolean;
};
