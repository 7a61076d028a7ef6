import {type GroupDefinition, type LogPosition} from '@tarragonstack/core';
import {InstanceRole, type InstanceStatus, type PrimaryView} from '../group-view.js';
import {getMajority} from './majority.js';

/** Condition of a group as observed by one host. */
export enum GroupCondition {
	/** The primary responds, or too few replicas have lost contact with it. */
	Healthy = 'healthy',
	/** The primary does not respond to this host, and a majority of members has lost contact with it too. */
	PrimaryFailed = 'primary-failed',
	/** No instance is primary at the greatest term, and no primary of an older term can have a majority. */
	NoPrimary = 'no-primary',
	/** The primary has a majority, but a member at a greater term no longer replicates from it. */
	MinorityAhead = 'minority-ahead',
	/** The primary works but is leaving, and a replica can take over. */
	PrimaryLeaving = 'primary-leaving',
}

/** Time without a response after which an instance is suspected to have failed, in milliseconds. */
export const suspicionTimeoutMilliseconds = 500;

/** Refused connection attempts after which the process counts as dead. A single one may occur during a restart. */
export const refusedAttemptsForSuspicion = 2;

/** Time without messages of the primary after which a replica has lost an unresponsive primary, in milliseconds. */
export const replicaSilenceMilliseconds = 300;

/**
 * Same limit while connections to the primary are refused, in milliseconds. The refusals already prove that the process
 * has exited, so the status of the replica only has to rule out that it still receives entries on another path. 100 ms
 * exceed the usual interval between two messages of a primary.
 */
export const replicaSilenceAfterRefusalMilliseconds = 100;

/** Maximum lag of a replica, in entries, at which it can take over from a leaving primary with little delay. */
const maximumSwitchoverLagEntries = 50;

/** Subset of `InstanceReachability` that the assessment uses. */
export type MemberReachability = {
	readonly refusedAttempts: number;
	getUnansweredMilliseconds(now: number): number;
};

/** Observations of one host about a group. */
export type GroupObservations = {
	readonly group: GroupDefinition;
	readonly primary: PrimaryView | undefined;
	/** Greatest term reported by a member or announced by a peer. */
	readonly greatestTerm: number;
	readonly now: number;
	getStatus(instance: string): InstanceStatus | undefined;
	getReachability(instance: string): MemberReachability | undefined;
};

/**
 * Assesses a group. A wrong result affects availability only: safety rests on raising the term on a majority.
 *
 * @param observations - Observations of this host.
 */
export function assessGroup(observations: GroupObservations): GroupCondition {
	const {group, primary} = observations;
	if (!primary || isSuperseded(observations, primary)) {
		return hasNoPrimary(observations) ? GroupCondition.NoPrimary : GroupCondition.Healthy;
	}

	if (hasFailed(observations, primary)) {
		return GroupCondition.PrimaryFailed;
	}

	const isPrimary = observations.getStatus(primary.instance)?.role === InstanceRole.Primary;
	if (!isPrimary || !isReachable(observations, primary.instance)) {
		return GroupCondition.Healthy;
	}

	if (countMembersAboveTerm(observations, primary.term) > 0) {
		return GroupCondition.MinorityAhead;
	}

	const leaving = group.instances.some(instance => instance.name === primary.instance && instance.leaving);
	return leaving && canSwitchOver(observations) ? GroupCondition.PrimaryLeaving : GroupCondition.Healthy;
}

function countMembersAboveTerm(observations: GroupObservations, term: number): number {
	return observations.group.instances.filter(instance => (observations.getStatus(instance.name)?.term ?? 0) > term).length;
}

/** Returns whether the primary is at a greater term itself or can no longer have a majority at its term. */
function isSuperseded(observations: GroupObservations, primary: PrimaryView): boolean {
	const members = observations.group.instances.length;
	return (observations.getStatus(primary.instance)?.term ?? 0) > primary.term
		|| members - countMembersAboveTerm(observations, primary.term) < getMajority(members);
}

/**
 * Returns whether no instance is primary at the greatest term. A member of that term that receives from a primary proves
 * that there is one, even if this host cannot reach it. A host that knows no primary and does not reach all members, for
 * instance one that started during a network partition, also needs a majority of replicas that receive from none.
 */
function hasNoPrimary(observations: GroupObservations): boolean {
	const {group, primary, greatestTerm} = observations;
	const reachable = group.instances.filter(instance => isReachable(observations, instance.name));
	const anyReceivesFromPrimary = reachable.some(instance => observations.getStatus(instance.name)?.term === greatestTerm
		&& receivesFromPrimary(observations, instance.name, replicaSilenceMilliseconds));
	if (anyReceivesFromPrimary || reachable.length < getMajority(group.instances.length)) {
		return false;
	}

	return primary !== undefined || reachable.length === group.instances.length
		|| hasMajorityWithoutPrimary(observations, undefined, replicaSilenceMilliseconds);
}

/**
 * Returns whether a non-leaving replica has nearly caught up with a leaving primary.
 *
 * @param observations - Observations of this host.
 */
export function hasCaughtUpReplica(observations: GroupObservations): boolean {
	const position = observations.primary && observations.getStatus(observations.primary.instance)?.position;
	return position !== undefined && observations.group.instances.some(instance =>
		!instance.leaving && isCaughtUp(observations.getStatus(instance.name), position));
}

function isCaughtUp(status: InstanceStatus | undefined, position: LogPosition): boolean {
	return status?.position.term === position.term
		&& position.index - status.position.index <= maximumSwitchoverLagEntries;
}

function canSwitchOver(observations: GroupObservations): boolean {
	return canReachMajority(observations) && observations.group.instances.some(instance =>
		!instance.leaving && isReachable(observations, instance.name));
}

function canReachMajority(observations: GroupObservations): boolean {
	const {instances} = observations.group;
	return instances.filter(instance => isReachable(observations, instance.name)).length >= getMajority(instances.length);
}

/** Returns whether an instance has responded and is not suspected to have failed since. */
function isReachable(observations: GroupObservations, instance: string): boolean {
	const reachability = observations.getReachability(instance);
	return observations.getStatus(instance) !== undefined && reachability !== undefined
		&& reachability.getUnansweredMilliseconds(observations.now) < suspicionTimeoutMilliseconds
		&& reachability.refusedAttempts < refusedAttemptsForSuspicion;
}

function hasFailed(observations: GroupObservations, primary: PrimaryView): boolean {
	const reachability = observations.getReachability(primary.instance);
	if (!reachability) {
		return false;
	}

	const refused = reachability.refusedAttempts >= refusedAttemptsForSuspicion;
	if (!refused && reachability.getUnansweredMilliseconds(observations.now) < suspicionTimeoutMilliseconds) {
		return false;
	}

	return hasMajorityWithoutPrimary(
		observations,
		primary,
		refused ? replicaSilenceAfterRefusalMilliseconds : replicaSilenceMilliseconds,
	);
}

/**
 * Returns whether a majority of the members responds to this host and receives from no primary of the given or a greater
 * term. Members at an older term count too: a former primary that came back, or a replica that still follows one, does
 * not receive from the given primary either.
 */
function hasMajorityWithoutPrimary(
	observations: GroupObservations,
	primary: PrimaryView | undefined,
	limitMilliseconds: number,
): boolean {
	const {instances} = observations.group;
	const withoutPrimary = instances.filter(instance => {
		const status = observations.getStatus(instance.name);
		if (!status || instance.name === primary?.instance || !isReachable(observations, instance.name)) {
			return false;
		}

		return status.term < (primary?.term ?? 0)
			|| (status.role === InstanceRole.Replica && !receivesFromPrimary(observations, instance.name, limitMilliseconds));
	});
	return withoutPrimary.length >= getMajority(instances.length);
}

/**
 * Returns whether a replica has recently received from an instance that may be a primary. A former primary whose term was
 * raised still sends its entries but accepts no writes, so a source known to be a replica does not count.
 */
function receivesFromPrimary(observations: GroupObservations, instance: string, limitMilliseconds: number): boolean {
	const status = observations.getStatus(instance);
	if (status?.role !== InstanceRole.Replica || status.primaryAddress === '') {
		return false;
	}

	const source = observations.group.instances.find(({address}) => address === status.primaryAddress);
	const sourceIsReplica = source !== undefined && isReachable(observations, source.name)
		&& observations.getStatus(source.name)?.role === InstanceRole.Replica;
	return !sourceIsReplica && status.primarySilenceMilliseconds < limitMilliseconds;
}
