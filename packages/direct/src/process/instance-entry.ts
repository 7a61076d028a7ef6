/** Role that an instance reports of itself. */
export enum InstanceRole {
	Primary = 'primary',
	Replica = 'replica',
}

/** What an instance reports of itself. */
export type InstanceEntry = {
	readonly id: string;
	readonly group: string;
	/** Address in the form `host:port`. */
	readonly address: string;
	readonly availabilityZone: string;
	/** Statements that the instance runs at the same time. */
	readonly slots: number;
	/** The instance is about to stop and must get no new work. */
	readonly leaving: boolean;
	readonly role: InstanceRole;
	/** Wall-clock time of the start of the instance in milliseconds; it tells two lives under one id apart. */
	readonly startedAt: number;
};
