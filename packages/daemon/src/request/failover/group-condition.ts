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

	if (hasFailed(knowledge, primary.instance)) {
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
	const statuses = fresh.map(instance => knowledge.getStatus(instance.name));
	const heard = statuses.some(status => status?.term === greatestTerm && status.primaryAddress !== ''
		&& status.role === InstanceRole.Replica && status.primarySilenceMilliseconds < replicaSilenceMilliseconds);
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

function hasFailed(knowledge: GroupKnowledge, primary: string): boolean {
	const contact = knowledge.getContact(primary);
	if (!contact) {
		return false;
	}

	const refused = contact.refusedAttempts >= refusedAttemptsForSuspicion;
	if (!refused && contact.getFailureMilliseconds(knowledge.now) < suspicionMilliseconds) {
		return false;
	}

	return hasSilentMajority(knowledge, primary, refused ? replicaSilenceAfterRefusalMilliseconds : replicaSilenceMilliseconds);
}

function hasSilentMajority(knowledge: GroupKnowledge, primary: string | undefined, limitMilliseconds: number): boolean {
	const {instances} = knowledge.group;
	const silent = instances.filter(instance => {
		const status = knowledge.getStatus(instance.name);
		return instance.name !== primary && isFresh(knowledge, instance.name)
			&& status?.role === InstanceRole.Replica && status.primarySilenceMilliseconds >= limitMilliseconds;
	});
	return silent.length >= getMajority(instances.length);
}
