import {type LogPosition} from '@tarragonstack/core/request/log-position';
import {getUnlistedMembers, mayForgetLostMembers, proveSynchronousSet, type SynchronousSet} from '../request/synchronous-set.js';
import {commitGroupRecord} from './commit-group-record.js';
import {GroupActions} from './group-actions.js';
import {getReign, type VersionedGroupRecord} from './group-record.js';
import {type InstanceGroupState} from './instance-group-state.js';
import {readInstanceStatus} from './instance-status.js';
import {type PromoterRole} from './promoter-role.js';
import {type PromotionContext} from './promotion-context.js';

/** Delay until the positions are compared again if too few replicas had caught up, in milliseconds. */
const retryDelayMilliseconds = 50;

/**
 * Keeps the synchronous set in the record of a group whose primary serves: adds the instances that join, and removes those that
 * are lost once the others hold every commit.
 *
 * The set is written only when it changes. Groups without synchronous replicas have none.
 */
export class SynchronousSetKeeper {
	readonly #context: PromotionContext;
	/** Actions that change the record, which this class shares with changes of the primary. */
	readonly #actions: GroupActions;
	/** Comparisons of positions. They may take long, and must not delay a change of the primary. */
	readonly #comparisons: GroupActions;
	readonly #role: PromoterRole;

	/**
	 * @param context - Dependencies.
	 * @param actions - Actions of this host on groups.
	 * @param role - Role of the promoter, which this class claims if the promoter is gone.
	 */
	constructor(context: PromotionContext, actions: GroupActions, role: PromoterRole) {
		this.#context = context;
		this.#actions = actions;
		this.#comparisons = new GroupActions(context.timer);
		this.#role = role;
	}

	/** Returns whether the set of a settled record differs from the listed instances. */
	isDue(group: InstanceGroupState, record: VersionedGroupRecord): boolean {
		const set = group.getSynchronousSet(record.synchronousSet);
		const isDifferent = !isSameSet(set, record.synchronousSet) || (set !== undefined && getUnlistedMembers(set, group.listedProcesses).length > 0);
		if (!isDifferent) {
			this.#comparisons.cancelDelay(group.name);
		}

		return isDifferent;
	}

	/**
	 * Starts to change the set, after a delay that lets other hosts act first.
	 *
	 * @param group - Group with a settled record.
	 * @param record - Record of the group.
	 * @param delayMilliseconds - Time for which this host waits for others.
	 */
	keep(group: InstanceGroupState, record: VersionedGroupRecord, delayMilliseconds: number): void {
		if (!this.#comparisons.startOrCheckDelay(group.name, delayMilliseconds)) {
			return;
		}

		const set = group.getSynchronousSet(record.synchronousSet);
		if (!set?.isUnproven && !isSameSet(set, record.synchronousSet)) {
			void this.#actions.runExclusively(group.name, async () => this.#write(group, record, set));
		} else if (set) {
			void this.#comparisons.runExclusively(group.name, async () => this.#compare(group, record, set));
		}
	}

	/** Removes the members that have neither an entry nor a response to this host, if they are needless. Proves an unproven set. */
	async #compare(group: InstanceGroupState, record: VersionedGroupRecord, set: SynchronousSet): Promise<void> {
		const {timer, log} = this.#context;
		const unlisted = getUnlistedMembers(set, group.listedProcesses);
		const before = await this.#readPositions(group);
		const lost = unlisted.filter(({id, startedAt}) => group.instances.get(id)?.pool.instance.startedAt !== startedAt || !before.has(id));
		const lostAt = timer.now();
		const primary = await this.#readPrimaryPosition(group, record.primary, lostAt);
		const after = await this.#readPositions(group);
		const replicas = group.listedProcesses.map(({id}) => id).filter(id => id !== record.primary);
		const isNeedless = (lost.length > 0 || set.isUnproven) && primary !== undefined && mayForgetLostMembers(set, {
			primary, before: replicas.flatMap(id => before.get(id) ?? []), after: replicas.flatMap(id => after.get(id) ?? []),
		});
		if (!isNeedless) {
			await timer.sleep(retryDelayMilliseconds);
			return;
		}

		const members = set.members.filter(member => !lost.includes(member));
		log.write(set.isUnproven ? 'synchronous-set-proven' : 'synchronous-set-reduced', {
			group: group.name, removed: JSON.stringify(lost), members: JSON.stringify(members), position: JSON.stringify(primary),
		});
		await this.#actions.runExclusively(group.name, async () => this.#write(group, record, proveSynchronousSet({...set, members})));
	}

	/**
	 * Reads the position of the primary. A primary without a free slot refuses the status request, but its responses to statements
	 * tell the position as well.
	 *
	 * @param group - Group of the primary.
	 * @param primary - Identifier of the primary.
	 * @param notBefore - Monotonic time after which a statement must have been sent for its response to count.
	 */
	async #readPrimaryPosition(group: InstanceGroupState, primary: string, notBefore: number): Promise<LogPosition | undefined> {
		const positions = await this.#readPositions(group, primary);
		if (!positions.has(primary)) {
			await this.#context.timer.sleep(retryDelayMilliseconds);
		}

		return positions.get(primary) ?? group.getRequiredPosition(notBefore)?.position;
	}

	/**
	 * Reads the log positions of the instances that respond.
	 *
	 * @param group - Group of the instances.
	 * @param primary - Only instance to read, which must be a primary; all instances if it is absent.
	 */
	async #readPositions(group: InstanceGroupState, primary?: string): Promise<ReadonlyMap<string, LogPosition>> {
		const {timer, dialer} = this.#context;
		const selected = [...group.instances].filter(([id]) => primary === undefined || id === primary);
		const answers = await Promise.all(selected.map(async ([id, {pool}]) => ({id, status: await readInstanceStatus(pool.instance, dialer, timer)})));
		return new Map(answers.flatMap(({id, status}): Array<[string, LogPosition]> => status && (primary === undefined || status.isPrimary) ? [[id, status.received]] : []));
	}

	/** Writes the record with another set, unless the record has changed. */
	async #write(group: InstanceGroupState, record: VersionedGroupRecord, set: SynchronousSet | undefined): Promise<void> {
		const {hostName, fleet} = this.#context;
		const promoterRecord = this.#role.isHeld ? fleet.promoterRecord : await this.#role.claim();
		if (!promoterRecord) {
			return;
		}

		const {revision, learntAt: _, synchronousSet: __, ...fields} = record;
		await commitGroupRecord(this.#context, group, revision, {
			...fields, reign: getReign(record), promoter: hostName, fencingToken: promoterRecord.fencingToken, ...(set && {synchronousSet: set}),
		});
	}
}

/** Returns whether two sets have the same members, one of them being the other one with additions. */
function isSameSet(left: SynchronousSet | undefined, right: SynchronousSet | undefined): boolean {
	return left?.members.length === right?.members.length && left?.synchronousReplicas === right?.synchronousReplicas;
}
