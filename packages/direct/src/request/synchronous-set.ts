/** Process of an instance. An instance that starts again under the same identifier may have lost its log. */
export type InstanceProcess = {
	readonly id: string;
	/** Wall-clock time at which the process started, in milliseconds. */
	readonly startedAt: number;
};

/** Number of replicas that hold each acknowledged commit, as a version of the configuration states it. */
export type SynchronousReplication = {
	readonly configurationVersion: number;
	/** 0 if a promotion may lose commits. */
	readonly synchronousReplicas: number;
};

/** Processes that may hold acknowledged commits. Each one is held by at least `synchronousReplicas` of the members besides the primary. */
export type SynchronousSet = SynchronousReplication & {
	readonly members: readonly InstanceProcess[];
};

/** Returns whether two values name the same process. */
export function isSameProcess(left: InstanceProcess, right: InstanceProcess): boolean {
	return left.id === right.id && left.startedAt === right.startedAt;
}
