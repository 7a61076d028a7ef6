/** Role that an instance reports. */
export enum InstanceRole {
	Primary = 'primary',
	Replica = 'replica',
}

/** Entry of an instance in the shared store, written by the instance itself. */
export type InstanceEntry = {
	readonly id: string;
	readonly group: string;
	/** Address in the form `host:port`. */
	readonly address: string;
	readonly availabilityZone: string;
	/** Number of statements that the instance runs concurrently. */
	readonly slots: number;
	/** Whether the instance is about to stop and must receive no new statements. */
	readonly leaving: boolean;
	readonly role: InstanceRole;
	/** Wall-clock time at which the instance started, in milliseconds. It distinguishes two processes with the same id. */
	readonly startedAt: number;
	/** Number of the report, which rises with each report of the same process. */
	readonly sequence: number;
};
