import {randomUUID} from 'node:crypto';
import {compareLogPositions} from '@tarragonstack/core/request/log-position';
import {type SharedStore, type StoreTransaction} from '@tarragonstack/core/adapters/shared-store';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {isMajority} from '../request/majority.js';
import {isSuspicious} from '../request/suspicion.js';
import {type InstanceStatus, type UpstreamChannel, type UpstreamDialer} from '../connection/upstream-channel.js';
import {type EventLog} from './event-log.js';
import {GroupPhase, type GroupRecord, type VersionedGroupRecord} from './group-record.js';
import {type FleetView} from './fleet-view.js';
import {type HostMetrics} from './host-metrics.js';
import {type HostRegistration} from './host-registration.js';
import {InstanceRole} from './instance-entry.js';
import {type InstanceGroupState, type KnownInstance} from './instance-group-state.js';
import {witnessedMilliseconds} from './authority-witness.js';
import {authorityMarginMilliseconds, authorityMilliseconds} from './primary-authority.js';
import {PromotionAnswer, type PromotionService} from './promotion-service.js';
import {groupPrefix, hostPrefix, promoterKey} from './store-keys.js';

/** Time that a call to the store or to the promotion service may take, in milliseconds. */
const callTimeoutMilliseconds = 1000;

/** Time that an instance may take to answer a status request, in milliseconds. */
const statusTimeoutMilliseconds = 300;

/** Interval at which the coordinator looks at confirmations and statuses, in milliseconds. */
const stepMilliseconds = 25;

/** Time for which a planned change waits until the candidate holds every commit of the primary, in milliseconds. */
const catchUpMilliseconds = 1500;

/** Time after the order of a promotion until it is given again or to another instance, in milliseconds; it takes 1 s. */
const promotionTimeoutMilliseconds = 2500;

/** Time for which a host leaves a needed change to the promoter before it takes over the duty, in milliseconds. */
const takeoverDelayMilliseconds = 700;

/** Further delay per rank among the other hosts, in milliseconds, so that they do not compete. */
const takeoverStaggerMilliseconds = 250;

/** Time without progress after which another host takes over a change that was begun, in milliseconds. */
const stalledChangeMilliseconds = authorityMilliseconds + promotionTimeoutMilliseconds;

/** Time for which hosts may confirm a change before their leases are ended, in milliseconds. */
const promptConfirmationMilliseconds = 75;

/** Time for which a connection in use may end its statement before a host confirms an announced change, in milliseconds. */
const confirmationGraceMilliseconds = 50;

/**
 * Time for which a primary that answers stays in use although it is missing from the list, in milliseconds. A
 * replacement interrupts writes, and the entry of a live primary returns; but 7 s after its loss it must get no work.
 */
const unlistedPrimaryMilliseconds = 4500;

/** Time for which a primary must have been the only claimant before the first record names it, in milliseconds. */
const firstRecordDelayMilliseconds = 200;

type PromoterRecord = {
	readonly host: string;
	readonly incarnation: string;
	readonly fencingToken: number;
};

/** Services of a `PromotionCoordinator`. */
export type PromotionCoordinatorOptions = {
	readonly hostName: string;
	readonly store: SharedStore;
	readonly timer: TimerService;
	readonly log: EventLog;
	readonly dialer: UpstreamDialer;
	readonly promotions: PromotionService;
	readonly metrics: HostMetrics;
	readonly registration: HostRegistration;
	readonly fleet: FleetView;
	/** Returns all groups. */
	getGroups(): Iterable<InstanceGroupState>;
	/** Whether the store answers this host. */
	isStoreAvailable(): boolean;
	/** Reads the records of the fleet; returns whether the store answered. */
	readFleet(): Promise<boolean>;
};

/**
 * Replaces primaries that are lost or about to stop.
 *
 * A change has three steps in the group's record. `Announced`: each host stops using the primary and confirms it, or its
 * permission runs out. `Promoting`: the promotion is ordered. `Settled`: hosts use the new primary. Each step is
 * conditional on the revision of the record and of the promoter, so at most one host acts on a group.
 */
export class PromotionCoordinator {
	readonly #options: PromotionCoordinatorOptions;
	readonly #running = new Set<string>();
	readonly #neededSince = new Map<string, number>();
	readonly #closing = new Set<string>();
	readonly #unknownSince = new Map<string, number>();

	/**
	 * @param options - Services.
	 */
	constructor(options: PromotionCoordinatorOptions) {
		this.#options = options;
	}

	/**
	 * Looks at a group and begins what is needed. Called at a fixed interval and when the group's record changes.
	 *
	 * @param group - Group to look at.
	 */
	evaluate(group: InstanceGroupState): void {
		const {record} = group;
		if (!record) {
			this.#considerFirstRecord(group);
			return;
		}

		if (record.phase === GroupPhase.Settled) {
			this.#publishSuspicion(group, record);
			this.#reopenPools(group);
		} else {
			void this.#confirm(group, record);
		}

		if (this.#isChangeNeeded(group, record)) {
			this.#considerChange(group, record);
		} else {
			this.#neededSince.delete(group.name);
		}
	}

	#considerFirstRecord(group: InstanceGroupState): void {
		const claimants = [...group.instances.values()].filter(({pool}) => pool.instance.role === InstanceRole.Primary && !pool.instance.leaving);
		const [claimant] = claimants;
		if (claimants.length !== 1 || !claimant || !this.#isDue(group.name, firstRecordDelayMilliseconds)) {
			return;
		}

		void this.#runOnce(group, async () => {
			if (!this.#options.fleet.promoter) {
				await this.#takeDuty();
			}

			await this.#commitRecord(group, 0, {
				phase: GroupPhase.Settled, primary: claimant.pool.instance.id, term: 0,
				promoter: this.#options.hostName, fencingToken: 0, changeIdentifier: randomUUID(),
			});
		});
	}

	#publishSuspicion(group: InstanceGroupState, record: VersionedGroupRecord): void {
		const {registration, log} = this.#options;
		const isSuspected = registration.record.suspected.includes(group.name);
		const isDoubted = this.#getSuspecting(group).some(name => name !== this.#options.hostName);
		const known = group.instances.get(record.primary);
		if (isDoubted) {
			known?.pool.probe();
		}

		const observation = this.#observe(group, record);
		if (isSuspicious(observation, isDoubted) === isSuspected) {
			return;
		}

		if (!isSuspected && known) {
			this.#probeZone(known.pool.instance.availabilityZone);
		}

		log.write(isSuspected ? 'primary-trusted' : 'primary-suspected', {group: group.name, instance: record.primary, ...observation});
		registration.update({suspected: isSuspected
			? registration.record.suspected.filter(name => name !== group.name)
			: [...registration.record.suspected, group.name]});
	}

	/** Asks the other primaries of a zone for a sign of life, because a partition may have cut off all of it. */
	#probeZone(availabilityZone: string): void {
		for (const {record, instances} of this.#options.getGroups()) {
			const pool = record && instances.get(record.primary)?.pool;
			if (pool?.instance.availabilityZone === availabilityZone) {
				pool.probe();
			}
		}
	}

	#getSuspecting(group: InstanceGroupState): string[] {
		return [...this.#options.fleet.hosts].filter(([, {record}]) => record.suspected.includes(group.name)).map(([name]) => name);
	}

	#observe(group: InstanceGroupState, record: GroupRecord) {
		const now = this.#options.timer.now();
		const known = group.instances.get(record.primary);
		if (known) {
			this.#unknownSince.delete(group.name);
		} else if (!this.#unknownSince.has(group.name)) {
			this.#unknownSince.set(group.name, now);
		}

		return {
			unknownMilliseconds: Math.round(now - (this.#unknownSince.get(group.name) ?? now)),
			silenceMilliseconds: Math.round(known?.pool.getSilence(now) ?? 0),
			unreachableMilliseconds: known?.pool.unreachableSince === undefined ? 0 : Math.round(now - known.pool.unreachableSince),
		};
	}

	#isChangeNeeded(group: InstanceGroupState, record: VersionedGroupRecord): boolean {
		if (record.phase !== GroupPhase.Settled) {
			return true;
		}

		return this.#isLeaving(group, record) || this.#isLost(group);
	}

	/** Whether the primary is about to stop, or has been off the list for so long that it must get no more work. */
	#isLeaving(group: InstanceGroupState, record: GroupRecord): boolean {
		const known = group.instances.get(record.primary);
		return known !== undefined
			&& (known.pool.instance.leaving || this.#options.timer.now() - (known.missingSince ?? Number.POSITIVE_INFINITY) > unlistedPrimaryMilliseconds);
	}

	#isLost(group: InstanceGroupState): boolean {
		// A primary that a minority can't reach serves the others.
		return isMajority(this.#getSuspecting(group).length, this.#options.fleet.hosts.size);
	}

	#considerChange(group: InstanceGroupState, record: VersionedGroupRecord): void {
		if (!this.#options.isStoreAvailable() || !this.#options.registration.isRegistered) {
			return;
		}

		const {fleet, hostName} = this.#options;
		const promoter = fleet.promoter && parsePromoter(fleet.promoter.value);
		const isPromoter = promoter?.host === hostName && promoter.incarnation === this.#options.registration.record.incarnation;
		const others = [...fleet.hosts.keys()].filter(name => name !== promoter?.host).toSorted();
		const rank = Math.max(0, others.indexOf(hostName));
		const isPromoterGone = promoter === undefined || fleet.hosts.get(promoter.host)?.record.incarnation !== promoter.incarnation;
		const delay = isPromoter ? 0 : (isPromoterGone ? 0 : takeoverDelayMilliseconds) + (rank * takeoverStaggerMilliseconds);
		const isOwnChange = isPromoter && record.promoter === hostName && record.fencingToken === promoter.fencingToken;
		if (record.phase === GroupPhase.Settled || (isPromoter && !isOwnChange)) {
			if (this.#isDue(group.name, delay)) {
				void this.#runOnce(group, async () => this.#changePrimary(group, record, isPromoter ? promoter : undefined));
			}
		} else if (this.#options.timer.now() - record.learntAt > (isOwnChange || isPromoterGone ? stepMilliseconds : stalledChangeMilliseconds) + delay) {
			void this.#runOnce(group, async () => this.#changePrimary(group, record, isPromoter ? promoter : undefined));
		}
	}

	/** Returns whether a need of the group has lasted for some time. */
	#isDue(groupName: string, delayMilliseconds: number): boolean {
		const now = this.#options.timer.now();
		const since = this.#neededSince.get(groupName) ?? now;
		this.#neededSince.set(groupName, since);
		return now - since >= delayMilliseconds;
	}

	async #runOnce(group: InstanceGroupState, action: () => Promise<void>): Promise<void> {
		if (this.#running.has(group.name)) {
			return;
		}

		this.#running.add(group.name);
		try {
			await action();
		} finally {
			this.#running.delete(group.name);
			this.#neededSince.delete(group.name);
		}
	}

	async #confirm(group: InstanceGroupState, record: VersionedGroupRecord): Promise<void> {
		const {registration, log} = this.#options;
		if (registration.record.confirmed[group.name] === record.changeIdentifier || this.#closing.has(group.name)) {
			return;
		}

		this.#closing.add(group.name);
		const isSuspected = registration.record.suspected.includes(group.name);
		await group.instances.get(record.primary)?.pool.close(isSuspected ? 0 : confirmationGraceMilliseconds);
		this.#closing.delete(group.name);
		log.write('primary-released', {group: group.name, instance: record.primary, change: record.changeIdentifier});
		registration.update({
			confirmed: {...registration.record.confirmed, [group.name]: record.changeIdentifier},
			suspected: registration.record.suspected.filter(name => name !== group.name),
		});
	}

	#reopenPools(group: InstanceGroupState): void {
		for (const {pool} of group.instances.values()) {
			if (pool.closed) {
				pool.reopen();
			}
		}
	}

	async #changePrimary(group: InstanceGroupState, seen: VersionedGroupRecord, promoter: PromoterRecord | undefined): Promise<void> {
		const duty = promoter ?? await this.#takeDuty();
		if (!duty) {
			return;
		}

		const {log, timer} = this.#options;
		const announcedAt = timer.now();
		const isPlanned = this.#isLeaving(group, seen) && !this.#isLost(group);
		const announced = await this.#advance(group, seen, duty, {
			phase: GroupPhase.Announced, primary: seen.primary, term: seen.term, ...(seen.candidate && {candidate: seen.candidate}),
		});
		if (!announced) {
			return;
		}

		log.write('change-announced', {group: group.name, primary: seen.primary, planned: isPlanned, fencingToken: duty.fencingToken, change: announced.changeIdentifier});
		// An order of an earlier attempt may still take effect, so a change that came so far is never given up.
		const mayGiveUp = seen.candidate === undefined;
		const isReleased = await this.#waitForConfirmations(group, announced, mayGiveUp && !isPlanned);
		if (!isReleased) {
			log.write('change-given-up', {group: group.name, primary: seen.primary, reason: 'the primary answers again'});
			await this.#advance(group, announced, duty, {phase: GroupPhase.Settled, primary: seen.primary, term: seen.term});
			return;
		}

		await this.#promote(group, announced, duty, {isPlanned, announcedAt});
	}

	async #promote(group: InstanceGroupState, announced: VersionedGroupRecord, duty: PromoterRecord, {isPlanned, announcedAt}: {isPlanned: boolean; announcedAt: number}): Promise<void> {
		const {log, timer, promotions, hostName} = this.#options;
		const candidate = await this.#chooseCandidate(group, announced, isPlanned);
		if (!candidate) {
			log.write('change-stalled', {group: group.name, reason: 'no instance can be promoted'});
			return;
		}

		const {id} = candidate.pool.instance;
		const promoting = await this.#advance(group, announced, duty, {phase: GroupPhase.Promoting, primary: announced.primary, candidate: id, term: announced.term});
		if (!promoting) {
			return;
		}

		const answer = await promotions.promote({group: group.name, instance: id, holder: hostName, fencingToken: duty.fencingToken}, callTimeoutMilliseconds);
		this.#options.metrics.countPromotion(answer.isOk() ? answer.value : 'unanswered');
		log.write('promotion-ordered', {group: group.name, instance: id, fencingToken: duty.fencingToken, outcome: answer.isOk() ? answer.value : answer.error});
		if (answer.isOk() && answer.value === PromotionAnswer.InstanceNotRunning) {
			return;
		}

		const status = await this.#waitUntilPrimary(candidate, announced.term);
		if (!status) {
			log.write('change-stalled', {group: group.name, reason: 'the promoted instance does not lead'});
			return;
		}

		const settled = await this.#advance(group, promoting, duty, {phase: GroupPhase.Settled, primary: id, term: status.term});
		log.write('change-settled', {
			group: group.name, primary: id, term: status.term, known: settled !== undefined, durationMilliseconds: Math.round(timer.now() - announcedAt),
		});
		const old = group.instances.get(announced.primary);
		if (old && old !== candidate) {
			void this.#demote(old, status.term);
		}
	}

	async #takeDuty(): Promise<PromoterRecord | undefined> {
		const {fleet, hostName, registration, store, log} = this.#options;
		const previous = fleet.promoter && parsePromoter(fleet.promoter.value);
		const duty: PromoterRecord = {host: hostName, incarnation: registration.record.incarnation, fencingToken: (previous?.fencingToken ?? 0) + 1};
		const outcome = await store.commit({
			expected: [{key: promoterKey, revision: fleet.promoter?.revision ?? 0}],
			writes: [{key: promoterKey, value: JSON.stringify(duty)}],
			removals: [],
		}, callTimeoutMilliseconds);
		if (outcome.isErr() || !outcome.value.committed) {
			log.write('duty-not-taken', {previous: previous?.host, reason: outcome.isErr() ? outcome.error.message : 'another host took it'});
			return undefined;
		}

		fleet.notePromoter({key: promoterKey, value: JSON.stringify(duty), revision: outcome.value.revision});
		log.write('duty-taken', {previous: previous?.host, fencingToken: duty.fencingToken});
		return duty;
	}

	async #advance(
		group: InstanceGroupState,
		from: VersionedGroupRecord,
		duty: PromoterRecord,
		change: Pick<GroupRecord, 'phase' | 'primary' | 'candidate' | 'term'>,
	): Promise<VersionedGroupRecord | undefined> {
		return this.#commitRecord(group, from.revision, {
			...change, promoter: duty.host, fencingToken: duty.fencingToken,
			changeIdentifier: change.phase === GroupPhase.Announced ? randomUUID() : from.changeIdentifier,
		});
	}

	/** Writes a record if the group and the promoter are unchanged. Reads it back when the reply was lost. */
	async #commitRecord(group: InstanceGroupState, revision: number, record: GroupRecord): Promise<VersionedGroupRecord | undefined> {
		const {store, fleet, timer, log} = this.#options;
		const key = `${groupPrefix}${group.name}`;
		const expected: StoreTransaction['expected'] = [
			{key, revision},
			...(revision === 0 ? [] : [{key: promoterKey, revision: fleet.promoter?.revision ?? 0}]),
		];
		const text = JSON.stringify(record);
		const outcome = await store.commit({expected, writes: [{key, value: text}], removals: []}, callTimeoutMilliseconds);
		if (outcome.isErr()) {
			log.write('change-unconfirmed', {group: group.name, phase: record.phase, reason: outcome.error.message});
			return undefined;
		}

		const current = outcome.value.committed ? undefined : outcome.value.current.find(item => item.key === key);
		if (!outcome.value.committed && current?.value !== text) {
			return undefined;
		}

		const versioned: VersionedGroupRecord = {
			...record, revision: outcome.value.committed ? outcome.value.revision : current!.revision, learntAt: timer.now(),
		};
		group.updateRecord(versioned);
		this.evaluate(group);
		return versioned;
	}

	/** Waits until no host uses the primary. Returns false if the primary answers again and the change can be given up. */
	async #waitForConfirmations(group: InstanceGroupState, announced: VersionedGroupRecord, mayGiveUp: boolean): Promise<boolean> {
		const {timer, fleet, log} = this.#options;
		const startedAt = timer.now();
		const primary = group.instances.get(announced.primary);
		// Hosts that register after this read find the announcement in the records that they read afterwards.
		await this.#readHosts();
		const awaited = [...fleet.hosts.keys()];
		const leasesEndedAt = new Map<string, number>();
		let majorityAt: number | undefined;
		let hasAnswered = false;
		let isWaiting = true;
		const watchPrimary = async () => {
			while (isWaiting && !hasAnswered && primary) {
				hasAnswered = await this.#answers(primary);
				await timer.sleep(stepMilliseconds);
			}
		};

		if (mayGiveUp) {
			void watchPrimary();
		}

		for (;;) {
			const unconfirmed = awaited.filter(name => fleet.hosts.get(name)?.record.confirmed[group.name] !== announced.changeIdentifier && fleet.hosts.has(name));
			if (majorityAt === undefined && isMajority(awaited.length - unconfirmed.length, awaited.length)) {
				majorityAt = timer.now();
			}

			const missing = unconfirmed.filter(name => timer.now() < this.#getExpiry(leasesEndedAt.get(name), majorityAt));
			if (missing.length === 0) {
				isWaiting = false;
				if (leasesEndedAt.size > 0) {
					log.write('permissions-expired', {group: group.name, hosts: [...leasesEndedAt.keys()].join(','), waitedMilliseconds: Math.round(timer.now() - startedAt)});
				}

				return true;
			}

			if (hasAnswered) {
				return false;
			}

			if (timer.now() - startedAt >= promptConfirmationMilliseconds) {
				await Promise.all(missing.filter(name => !leasesEndedAt.has(name)).map(async name => this.#endLease(name, leasesEndedAt)));
			}

			await timer.sleep(stepMilliseconds);
		}
	}

	/** Returns the monotonic time at which the permission of a host has run out whose lease was ended. */
	#getExpiry(leaseEndedAt: number | undefined, majorityAt: number | undefined): number {
		if (leaseEndedAt === undefined) {
			return Number.POSITIVE_INFINITY;
		}

		// Without a majority that obeys the change, others may have extended the host's permission in the meantime.
		return authorityMarginMilliseconds + Math.min(
			leaseEndedAt + witnessedMilliseconds + authorityMilliseconds,
			Math.max(leaseEndedAt, majorityAt ?? Number.POSITIVE_INFINITY) + authorityMilliseconds,
		);
	}

	async #readHosts(): Promise<void> {
		while (!(await this.#options.readFleet())) {
			await this.#options.timer.sleep(stepMilliseconds * 4);
		}
	}

	/**
	 * Removes the record of a host that has not registered again since its lease was ended: it is gone for good, and each
	 * further change would wait for it. Until then a host without access to the store may count it for its majority.
	 */
	#removeLater(name: string, revision: number): void {
		const {timer, fleet, store, log} = this.#options;
		timer.schedule(witnessedMilliseconds + authorityMilliseconds, () => {
			if (fleet.hosts.get(name)?.revision !== revision) {
				return;
			}

			const key = `${hostPrefix}${name}`;
			void (async () => {
				const outcome = await store.commit({expected: [{key, revision}], writes: [], removals: [key]}, callTimeoutMilliseconds);
				log.write('host-removed', {host: name, outcome: outcome.isOk() ? String(outcome.value.committed) : outcome.error.message});
			})();
		});
	}

	/** Ends the lease of a host that has not confirmed, and notes when. */
	async #endLease(name: string, endedAt: Map<string, number>): Promise<void> {
		const {store, timer, fleet} = this.#options;
		const host = fleet.hosts.get(name);
		const lease = host?.record.lease ?? 0;
		const outcome = lease === 0 ? undefined : await store.endLease(lease, callTimeoutMilliseconds);
		if (outcome?.isErr()) {
			return;
		}

		endedAt.set(name, timer.now());
		if (host && lease !== 0) {
			this.#removeLater(name, host.revision);
		}
	}

	async #answers(known: KnownInstance): Promise<boolean> {
		const status = await this.#readStatus(known);
		return status?.isPrimary === true;
	}

	async #chooseCandidate(group: InstanceGroupState, announced: GroupRecord, isPlanned: boolean): Promise<KnownInstance | undefined> {
		const {timer} = this.#options;
		const until = timer.now() + catchUpMilliseconds;
		const primary = group.instances.get(announced.primary);
		const primaryStatus = isPlanned && primary ? await this.#readStatus(primary) : undefined;
		for (;;) {
			const instances = [...group.instances.values()].filter(known => known !== primary);
			const statuses = await Promise.all(instances.map(async known => ({known, status: await this.#readStatus(known)})));
			const usable = statuses.filter((entry): entry is {known: KnownInstance; status: InstanceStatus} => entry.status !== undefined);
			const best = usable.toSorted((left, right) =>
				Number(left.known.pool.instance.leaving) - Number(right.known.pool.instance.leaving)
				|| compareLogPositions(right.status.received, left.status.received))[0];
			const isCaughtUp = best && (!primaryStatus || compareLogPositions(best.status.received, primaryStatus.received) >= 0);
			if (isCaughtUp || (best && timer.now() >= until)) {
				return best.known;
			}

			if (timer.now() >= until) {
				return undefined;
			}

			await timer.sleep(stepMilliseconds);
		}
	}

	async #waitUntilPrimary(known: KnownInstance, previousTerm: number): Promise<InstanceStatus | undefined> {
		const {timer, dialer} = this.#options;
		const until = timer.now() + promotionTimeoutMilliseconds;
		let channel: UpstreamChannel | undefined;
		try {
			while (timer.now() < until) {
				if (!channel || channel.closed) {
					const dialled = await dialer.dial(known.pool.instance, statusTimeoutMilliseconds);
					channel = dialled.isOk() ? dialled.value : undefined;
				}

				const status = await channel?.readStatus(timer.now() + statusTimeoutMilliseconds);
				if (status?.isOk() && status.value.isPrimary && status.value.term > previousTerm) {
					return status.value;
				}

				await timer.sleep(stepMilliseconds);
			}
		} finally {
			channel?.[Symbol.dispose]();
		}

		return undefined;
	}

	async #readStatus(known: KnownInstance): Promise<InstanceStatus | undefined> {
		const {dialer, timer} = this.#options;
		const dialled = await dialer.dial(known.pool.instance, statusTimeoutMilliseconds);
		if (dialled.isErr()) {
			return undefined;
		}

		using channel = dialled.value;
		const status = await channel.readStatus(timer.now() + statusTimeoutMilliseconds);
		return status.isOk() ? status.value : undefined;
	}

	/** Tells a replaced primary to become a replica. It also learns this by itself once it reaches the new primary. */
	async #demote(known: KnownInstance, term: number): Promise<void> {
		const {dialer, timer, log} = this.#options;
		const dialled = await dialer.dial(known.pool.instance, callTimeoutMilliseconds);
		if (dialled.isErr()) {
			log.write('demotion-failed', {instance: known.pool.instance.id, reason: dialled.error.message});
			return;
		}

		using channel = dialled.value;
		const outcome = await channel.demote(term, timer.now() + callTimeoutMilliseconds);
		log.write('demoted', {instance: known.pool.instance.id, term, outcome: outcome.isOk() ? 'accepted' : outcome.error.message});
	}
}

function parsePromoter(text: string): PromoterRecord | undefined {
	try {
		const value = JSON.parse(text) as Partial<PromoterRecord>;
		return typeof value.host === 'string' && typeof value.incarnation === 'string' && typeof value.fencingToken === 'number'
			? value as PromoterRecord
			: undefined;
	} catch {
		return undefined;
	}
}
