import {type GroupDefinition, type LogPosition} from '@tarragonstack/core';
import {InstanceRole, type InstanceStatus, type PrimaryView} from '../group-view.js';
import {getMajority} from './majority.js';

/** Condition of a group as one host sees it. */
export enum GroupCondition {
	/** The primary answers, or not enough replicas have lost it. */
	Healthy = 'healthy',
	/** The primary does not answer this host, and a majority of replicas has lost it too. */
	PrimaryFailed = 'primary-failed',
	/** The greatest term has no primary, and no older primary can have a majority. */
	NoPrimary = 'no-primary',
	/** The primary has a majority, but some member was raised to a greater term and no longer replicates. */
	MinorityAhead = 'minority-ahead',
	/** The primary works and is leaving, and a replica could take over. */
	PrimaryLeaving = 'primary-leaving',
}

/** Time without an answer after which the primary is suspected, in milliseconds. */
export const suspicionTimeoutMilliseconds = 500;

/** Refused connection attempts that prove a dead process. The first may be a process that is just being replaced. */
export const refusedAttemptsForSuspicion = 2;

/** Silence that a replica must report before it counts against a primary that does not answer, in milliseconds. */
export const replicaSilenceMilliseconds = 300;

/**
 * Silence that a replica must report when connections to the primary are refused, in milliseconds. The refusal already
 * proves that the process ended. The replica's own report must only exclude that it still receives entries through
 * another path, and 100 ms exceed the usual interval between two messages of a primary.
 */
export const replicaSilenceAfterRefusalMilliseconds = 100;

/** Lag in entries up to which a replica can take over from a leaving primary with little delay. */
const maximumSwitchoverLagEntries = 50;

/** Reachability of an instance as the assessment needs it. */
export type MemberReachability = {
	readonly refusedAttempts: number;
	getUnansweredMilliseconds(now: number): number;
};

/** What one host knows about a group. */
export type GroupObservations = {
	readonly group: GroupDefinition;
	readonly primary: PrimaryView | undefined;
	/** Greatest term of any member, or announced by a peer. */
	readonly greatestTerm: number;
	readonly now: number;
	getStatus(instance: string): InstanceStatus | undefined;
	getReachability(instance: string): MemberReachability | undefined;
};

/**
 * Assesses a group. Wrong results cost availability only: `raise` on a majority keeps every outcome safe.
 *
 * @param observations - What this host knows.
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

/** Tells whether the primary was raised itself or can no longer have a majority at its term. */
function isSuperseded(observations: GroupObservations, primary: PrimaryView): boolean {
	const members = observations.group.instances.length;
	return (observations.getStatus(primary.instance)?.term ?? 0) > primary.term
		|| members - countMembersAboveTerm(observations, primary.term) < getMajority(members);
}

/**
 * Tells whether the greatest term has no primary. A member of the greatest term that hears from a primary proves that
 * there is one, even if this host cannot reach it. A host that does not know any primary and does not reach all members,
 * for instance one that started inside a partition, also needs a majority of replicas that hear from none.
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
 * Tells whether a non-leaving replica is close to a leaving primary.
 *
 * @param observations - What this host knows.
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

/** Tells whether an instance has answered and has not been silent since for long. */
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

	return hasMajorityWithoutPrimary(observations, primary, refused ? replicaSilenceAfterRefusalMilliseconds : replicaSilenceMilliseconds);
}

/**
 * Tells whether a majority of the members answers this host and hears from no primary of the given or a greater term.
 * An older primary that returned, or a replica that still follows one, does not hear from the given primary either.
 */
function hasMajorityWithoutPrimary(observations: GroupObservations, primary: PrimaryView | undefined, limitMilliseconds: number): boolean {
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
 * Tells whether a replica has recently heard from an instance that may be a primary. An instance that was raised after it
 * was the primary still sends its entries, but accepts no writes.
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
