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
export const suspicionMilliseconds = 500;

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
const closeLagEntries = 50;

/** Reachability of an instance as the assessment needs it. */
export type MemberContact = {
	readonly refusedAttempts: number;
	getFailureMilliseconds(now: number): number;
};

/** What one host knows about a group. */
export type GroupKnowledge = {
	readonly group: GroupDefinition;
	readonly primary: PrimaryView | undefined;
	/** Greatest term of any member, or announced by a peer. */
	readonly greatestTerm: number;
	readonly now: number;
	getStatus(instance: string): InstanceStatus | undefined;
	getContact(instance: string): MemberContact | undefined;
};

/**
 * Assesses a group. Wrong results cost availability only: `raise` on a majority keeps every outcome safe.
 *
 * @param knowledge - What this host knows.
 */
export function assessGroup(knowledge: GroupKnowledge): GroupCondition {
	const {group, primary} = knowledge;
	if (!primary || hasLostItsTerm(knowledge, primary)) {
		return isWithoutPrimary(knowledge) ? GroupCondition.NoPrimary : GroupCondition.Healthy;
	}

	if (hasFailed(knowledge, primary)) {
		return GroupCondition.PrimaryFailed;
	}

	const isPrimary = knowledge.getStatus(primary.instance)?.role === InstanceRole.Primary;
	if (!isPrimary || !isFresh(knowledge, primary.instance)) {
		return GroupCondition.Healthy;
	}

	if (countAhead(knowledge, primary.term) > 0) {
		return GroupCondition.MinorityAhead;
	}

	const leaving = group.instances.some(instance => instance.name === primary.instance && instance.leaving);
	return leaving && canTakeOver(knowledge) ? GroupCondition.PrimaryLeaving : GroupCondition.Healthy;
}

function countAhead(knowledge: GroupKnowledge, term: number): number {
	return knowledge.group.instances.filter(instance => (knowledge.getStatus(instance.name)?.term ?? 0) > term).length;
}

/** Tells whether the primary was raised itself or can no longer have a majority at its term. */
function hasLostItsTerm(knowledge: GroupKnowledge, primary: PrimaryView): boolean {
	const members = knowledge.group.instances.length;
	return (knowledge.getStatus(primary.instance)?.term ?? 0) > primary.term
		|| members - countAhead(knowledge, primary.term) < getMajority(members);
}

/**
 * Tells whether the greatest term has no primary. A member of the greatest term that hears from a primary proves that
 * there is one, even if this host cannot reach it. A host that does not know any primary and does not reach all members,
 * for instance one that started inside a partition, also needs a majority of replicas that hear from none.
 */
function isWithoutPrimary(knowledge: GroupKnowledge): boolean {
	const {group, primary, greatestTerm} = knowledge;
	const fresh = group.instances.filter(instance => isFresh(knowledge, instance.name));
	const heard = fresh.some(instance => knowledge.getStatus(instance.name)?.term === greatestTerm
		&& hearsFromPrimary(knowledge, instance.name, replicaSilenceMilliseconds));
	if (heard || fresh.length < getMajority(group.instances.length)) {
		return false;
	}

	return primary !== undefined || fresh.length === group.instances.length
		|| hasSilentMajority(knowledge, undefined, replicaSilenceMilliseconds);
}

/**
 * Tells whether a non-leaving replica is close to a leaving primary.
 *
 * @param knowledge - What this host knows.
 */
export function hasCloseReplica(knowledge: GroupKnowledge): boolean {
	const position = knowledge.primary && knowledge.getStatus(knowledge.primary.instance)?.position;
	return position !== undefined && knowledge.group.instances.some(instance =>
		!instance.leaving && isClose(knowledge.getStatus(instance.name), position));
}

function isClose(status: InstanceStatus | undefined, position: LogPosition): boolean {
	return status?.position.term === position.term
		&& position.index - status.position.index <= closeLagEntries;
}

function canTakeOver(knowledge: GroupKnowledge): boolean {
	return canReachMajority(knowledge) && knowledge.group.instances.some(instance =>
		!instance.leaving && isFresh(knowledge, instance.name));
}

function canReachMajority(knowledge: GroupKnowledge): boolean {
	const {instances} = knowledge.group;
	return instances.filter(instance => isFresh(knowledge, instance.name)).length >= getMajority(instances.length);
}

/** Tells whether an instance has answered and has not been silent since for long. */
function isFresh(knowledge: GroupKnowledge, instance: string): boolean {
	const contact = knowledge.getContact(instance);
	return knowledge.getStatus(instance) !== undefined && contact !== undefined
		&& contact.getFailureMilliseconds(knowledge.now) < suspicionMilliseconds
		&& contact.refusedAttempts < refusedAttemptsForSuspicion;
}

function hasFailed(knowledge: GroupKnowledge, primary: PrimaryView): boolean {
	const contact = knowledge.getContact(primary.instance);
	if (!contact) {
		return false;
	}

	const refused = contact.refusedAttempts >= refusedAttemptsForSuspicion;
	if (!refused && contact.getFailureMilliseconds(knowledge.now) < suspicionMilliseconds) {
		return false;
	}

	return hasSilentMajority(knowledge, primary, refused ? replicaSilenceAfterRefusalMilliseconds : replicaSilenceMilliseconds);
}

/**
 * Tells whether a majority of the members answers this host and hears from no primary of the given or a greater term.
 * An older primary that returned, or a replica that still follows one, does not hear from the given primary either.
 */
function hasSilentMajority(knowledge: GroupKnowledge, primary: PrimaryView | undefined, limitMilliseconds: number): boolean {
	const {instances} = knowledge.group;
	const silent = instances.filter(instance => {
		const status = knowledge.getStatus(instance.name);
		if (!status || instance.name === primary?.instance || !isFresh(knowledge, instance.name)) {
			return false;
		}

		return status.term < (primary?.term ?? 0)
			|| (status.role === InstanceRole.Replica && !hearsFromPrimary(knowledge, instance.name, limitMilliseconds));
	});
	return silent.length >= getMajority(instances.length);
}

/**
 * Tells whether a replica has recently heard from an instance that may be a primary. An instance that was raised after it
 * was the primary still sends its entries, but accepts no writes.
 */
function hearsFromPrimary(knowledge: GroupKnowledge, instance: string, limitMilliseconds: number): boolean {
	const status = knowledge.getStatus(instance);
	if (status?.role !== InstanceRole.Replica || status.primaryAddress === '') {
		return false;
	}

	const source = knowledge.group.instances.find(({address}) => address === status.primaryAddress);
	const sourceIsReplica = source !== undefined && isFresh(knowledge, source.name)
		&& knowledge.getStatus(source.name)?.role === InstanceRole.Replica;
	return !sourceIsReplica && status.primarySilenceMilliseconds < limitMilliseconds;
}
