import {compareLogPositions, type LogPosition} from '@tarragonstack/core/request/log-position';

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

/**
 * Processes that may hold acknowledged commits. Each acknowledged commit is held by at least `synchronousReplicas` of the members
 * besides the primary, including members that are gone.
 */
export type SynchronousSet = SynchronousReplication & {
	readonly members: readonly InstanceProcess[];
	/**
	 * Whether the set was taken from the listed instances without a comparison with the primary, as after a time without synchronous
	 * replicas. Instances that nobody remembers may hold acknowledged commits.
	 */
	readonly isUnproven?: boolean;
};

/** Returns whether two values name the same process. */
export function isSameProcess(left: InstanceProcess, right: InstanceProcess): boolean {
	return left.id === right.id && left.startedAt === right.startedAt;
}

/** Returns the newer of what a group's record and the configuration of this host state. */
export function getNewestReplication(recorded: SynchronousReplication | undefined, configured: SynchronousReplication): SynchronousReplication {
	return recorded && recorded.configurationVersion > configured.configurationVersion ? recorded : configured;
}

/**
 * Adds processes to a set.
 *
 * @param recorded - Set of the group's record, or `undefined` if it has none.
 * @param configured - What the configuration of this host states.
 * @param listed - Processes that have an entry in the store.
 * @returns The set, or `undefined` if a promotion may lose commits.
 */
export function extendSynchronousSet(
	recorded: SynchronousSet | undefined,
	configured: SynchronousReplication,
	listed: readonly InstanceProcess[],
): SynchronousSet | undefined {
	const {configurationVersion, synchronousReplicas} = getNewestReplication(recorded, configured);
	if (synchronousReplicas === 0) {
		return undefined;
	}

	const members = recorded?.members ?? [];
	const added = listed.filter(process => !members.some(member => isSameProcess(member, process)));
	return {
		configurationVersion, synchronousReplicas,
		members: [...members, ...added.map(({id, startedAt}) => ({id, startedAt}))],
		...(!recorded && {isUnproven: true}),
	};
}

/** Returns a set that has been compared with the primary, or whose group has just begun. */
export function proveSynchronousSet({isUnproven: _, ...set}: SynchronousSet): SynchronousSet {
	return set;
}

/** Returns the members that have no entry in the store. */
export function getUnlistedMembers({members}: SynchronousSet, listed: readonly InstanceProcess[]): InstanceProcess[] {
	return members.filter(member => !listed.some(process => isSameProcess(member, process)));
}

/** Positions that were reported after members had been lost. */
export type LossEvidence = {
	/** Positions of the replicas before the primary reported its position. */
	readonly before: readonly LogPosition[];
	readonly primary: LogPosition;
	/** Positions of the replicas after the primary had reported its position. */
	readonly after: readonly LogPosition[];
};

/**
 * Returns whether members that are lost are needless: enough of the others have received every commit that the primary had after
 * the loss.
 */
export function mayForgetLostMembers({synchronousReplicas}: SynchronousSet, {before, primary, after}: LossEvidence): boolean {
	// A primary that is behind its replicas has lost its log.
	return before.every(position => compareLogPositions(position, primary) <= 0)
		&& after.filter(position => compareLogPositions(position, primary) >= 0).length >= synchronousReplicas;
}
