import {getEra} from '@tarragonstack/core/adapters/store-revision';
import {getBatchingDelay} from '../request/batching-delay.js';
import {isMajority} from '../request/majority.js';
import {peerRenewalLimitMilliseconds} from './peer-authority-renewer.js';
import {commitGroupRecord} from './commit-group-record.js';
import {type VersionedGroupRecord} from './group-record.js';
import {type InstanceGroupState} from './instance-group-state.js';
import {readInstanceStatus} from './instance-status.js';
import {authorityMarginMilliseconds, authorityMilliseconds} from './primary-authority.js';
import {callTimeoutMilliseconds, pollIntervalMilliseconds, type PromotionContext} from './promotion-context.js';

/**
 * Time for which hosts may confirm a change before their leases are ended, in milliseconds. The batching delay is added,
 * because hosts of large fleets may learn of the change only after it.
 */
const confirmationTimeoutMilliseconds = 75;

/**
 * Additional time for a lease holder that has learned of the change and waits for its followers, in milliseconds. The authority
 * of a follower that does not respond has expired by then, so ending the lease would only interrupt the other followers.
 */
const followerWaitMilliseconds = authorityMilliseconds + authorityMarginMilliseconds + 100;

/** Delay before the records of the fleet are read again after the store did not respond, in milliseconds. */
const retryDelayMilliseconds = 100;

/** Interval between renewals of the announcement, in milliseconds. Other hosts take over a change whose record has not changed for longer. */
const announcementRenewalMilliseconds = 1500;

/** Outcome of a wait for confirmations. */
export enum ConfirmationOutcome {
	/** No host uses the primary any longer. */
	Released = 'released',
	/** The primary responds again, so the change may be abandoned. */
	PrimaryAnswers = 'primary-answers',
	/** The store has lost the announcement, so hosts no longer confirm it. */
	AnnouncementLost = 'announcement-lost',
}

/** Waits until no host uses a primary: each has confirmed the announced change, or its authority has expired. */
export class ConfirmationWait {
	readonly #context: PromotionContext;
	readonly #group: InstanceGroupState;
	#announced: VersionedGroupRecord;
	readonly #startedAt: number;
	#renewedAt: number;
	/** Monotonic times at which leases were ended, by host. */
	readonly #leasesEndedAt = new Map<string, number>();
	/** Hosts that may hold a lease. */
	#awaited: string[] = [];
	/** Hosts whose authority was granted by lease holders. */
	#delegated: string[] = [];
	/** Monotonic time at which no lease holder used the primary any longer. */
	#holdersReleasedAt: number | undefined;
	#majorityAt: number | undefined;
	#hasPrimaryAnswered = false;
	#isFinished = false;

	/**
	 * @param context - Dependencies.
	 * @param group - Group whose primary changes.
	 * @param announced - Announced record that the hosts have to confirm.
	 */
	constructor(context: PromotionContext, group: InstanceGroupState, announced: VersionedGroupRecord) {
		this.#context = context;
		this.#group = group;
		this.#announced = announced;
		this.#startedAt = context.timer.now();
		this.#renewedAt = this.#startedAt;
	}

	/** Newest known record of the announced change. */
	get announced(): VersionedGroupRecord {
		return this.#announced;
	}

	/**
	 * Waits for the confirmations. Ends the leases of hosts that do not confirm in time.
	 *
	 * @param mayGiveUp - Whether to return early when the primary responds again.
	 */
	async run(mayGiveUp: boolean): Promise<ConfirmationOutcome> {
		const {timer, fleet, readFleet} = this.#context;
		// Hosts that register after this read will see the announcement when they read the records themselves.
		while (!(await readFleet()) && this.#isAnnouncementKnown) {
			await timer.sleep(retryDelayMilliseconds);
		}

		this.#awaited = fleet.leaseHolders;
		this.#delegated = [...fleet.hosts.keys()].filter(name => !this.#awaited.includes(name));
		if (mayGiveUp) {
			void this.#watchPrimary();
		}

		for (;;) {
			if (!this.#isAnnouncementKnown) {
				this.#isFinished = true;
				return ConfirmationOutcome.AnnouncementLost;
			}

			const blocking = this.#findBlockingHosts();
			if (blocking.length === 0 || this.#hasPrimaryAnswered) {
				this.#isFinished = true;
				this.#logEndedLeases();
				return blocking.length === 0 ? ConfirmationOutcome.Released : ConfirmationOutcome.PrimaryAnswers;
			}

			const overdue = blocking.filter(name => this.#awaited.includes(name) && !this.#leasesEndedAt.has(name) && timer.now() - this.#startedAt >= this.#getTimeout(name));
			await Promise.all(overdue.map(async name => this.#endLease(name)));
			await this.#renewAnnouncementIfDue();

			await timer.sleep(pollIntervalMilliseconds);
		}
	}

	/**
	 * Writes the announced record again unchanged. Without it, the other lease holders would take a long wait for a promoter that
	 * makes no progress, and each of them would announce a change of its own and begin the wait anew.
	 */
	async #renewAnnouncementIfDue(): Promise<void> {
		const {timer} = this.#context;
		if (timer.now() - this.#renewedAt < announcementRenewalMilliseconds) {
			return;
		}

		this.#renewedAt = timer.now();
		const {revision, learntAt: _, ...record} = this.#announced;
		const renewed = await commitGroupRecord(this.#context, this.#group, revision, record);
		// A renewal whose reply was lost is known from the watch.
		const known = renewed ?? this.#group.record;
		if (known?.changeIdentifier === record.changeIdentifier) {
			this.#announced = known;
		}
	}

	get #isAnnouncementKnown(): boolean {
		return getEra(this.#announced.revision) === this.#context.era.number;
	}

	/** Returns the hosts that may still use the primary. A host without a record has no authority. */
	#findBlockingHosts(): string[] {
		const {timer} = this.#context;
		const now = timer.now();
		const confirmed = this.#getConfirmedHosts();
		if (isMajority(confirmed.size, this.#awaited.length + this.#delegated.length)) {
			this.#majorityAt ??= now;
		}

		const holders = this.#findUnconfirmed(this.#awaited, confirmed).filter(name => now < this.#getExpiry(name));
		if (holders.length > 0) {
			return holders;
		}

		this.#holdersReleasedAt ??= now;
		return now < this.#getDelegatedExpiry(this.#holdersReleasedAt) ? this.#findUnconfirmed(this.#delegated, confirmed) : [];
	}

	#findUnconfirmed(names: readonly string[], confirmed: ReadonlySet<string>): string[] {
		return names.filter(name => this.#context.fleet.hosts.has(name) && !confirmed.has(name));
	}

	/** Returns the hosts that comply with the change, including those that followed a confirming lease holder. */
	#getConfirmedHosts(): ReadonlySet<string> {
		const {fleet} = this.#context;
		const holders = [...fleet.hosts].filter(([, {record}]) => record.confirmed[this.#group.name] === this.#announced.changeIdentifier);
		return new Set(holders.flatMap(([name, {record}]) => [name, ...(record.followers.confirmed[this.#group.name] ?? [])]));
	}

	/**
	 * Returns the monotonic time at which the authority of hosts without a lease expires. When no lease holder uses the primary,
	 * neither does a host that has a grant. One that has lost its delegate may have renewed its authority by reports of other
	 * hosts until a majority complied with the change.
	 */
	#getDelegatedExpiry(holdersReleasedAt: number): number {
		return authorityMarginMilliseconds + authorityMilliseconds + Math.min(
			holdersReleasedAt + peerRenewalLimitMilliseconds,
			Math.max(this.#startedAt, this.#majorityAt ?? Number.POSITIVE_INFINITY),
		);
	}

	/** Returns the time after the start at which the lease of a host is ended, in milliseconds. */
	#getTimeout(name: string): number {
		const hasNoticed = this.#context.fleet.hosts.get(name)?.record.noticed[this.#group.name] === this.#announced.changeIdentifier;
		return confirmationTimeoutMilliseconds + getBatchingDelay(this.#awaited.length + this.#delegated.length) + (hasNoticed ? followerWaitMilliseconds : 0);
	}

	/** Returns the monotonic time at which the authority of a host expires. */
	#getExpiry(name: string): number {
		const endedAt = this.#leasesEndedAt.get(name);
		if (endedAt === undefined) {
			return Number.POSITIVE_INFINITY;
		}

		// Until a majority complies with the change, the reports of other hosts may have renewed the host's authority.
		return authorityMarginMilliseconds + authorityMilliseconds + Math.min(
			endedAt + peerRenewalLimitMilliseconds,
			Math.max(endedAt, this.#majorityAt ?? Number.POSITIVE_INFINITY),
		);
	}

	async #watchPrimary(): Promise<void> {
		const {timer, dialer} = this.#context;
		const primary = this.#group.instances.get(this.#announced.primary);
		if (!primary) {
			return;
		}

		while (!this.#isFinished && !this.#hasPrimaryAnswered) {
			const status = await readInstanceStatus(primary.pool.instance, dialer, timer);
			this.#hasPrimaryAnswered = status?.isPrimary === true;
			await timer.sleep(pollIntervalMilliseconds);
		}
	}

	/** Ends the lease of a host that has not confirmed. */
	async #endLease(name: string): Promise<void> {
		const {store, timer, fleet, log} = this.#context;
		const host = fleet.hosts.get(name);
		const lease = host?.record.lease ?? 0;
		// A host without a lease in its record reads the announcement before it obtains authority.
		const outcome = lease === 0 ? undefined : await store.endLease(lease, callTimeoutMilliseconds);
		if (outcome?.isErr()) {
			log.write('lease-not-ended', {host: name, reason: outcome.error.message});
			return;
		}

		this.#leasesEndedAt.set(name, timer.now());
		if (host && lease !== 0) {
			this.#scheduleRecordRemoval(name, host.revision);
		}
	}

	/**
	 * Removes the record of a host that has not registered again since its lease was ended. Such a host is permanently gone,
	 * and each further change would wait for it. The removal is delayed because hosts without access to the store may still
	 * count the host towards a majority.
	 */
	#scheduleRecordRemoval(name: string, revision: number): void {
		const {timer, fleet, store, log, era} = this.#context;
		const remove = async () => {
			const key = `${era.keys.hostPrefix}${name}`;
			const outcome = await store.commit({expected: [{key, revision}], writes: [], removals: [key]}, callTimeoutMilliseconds);
			log.write('host-removed', {host: name, outcome: outcome.isOk() ? String(outcome.value.committed) : outcome.error.message});
		};

		timer.schedule(peerRenewalLimitMilliseconds + authorityMilliseconds, () => {
			if (fleet.hosts.get(name)?.revision === revision) {
				void remove();
			}
		});
	}

	#logEndedLeases(): void {
		const {timer, log} = this.#context;
		if (this.#leasesEndedAt.size > 0) {
			log.write('leases-ended', {
				group: this.#group.name, hosts: [...this.#leasesEndedAt.keys()].join(','), waitedMilliseconds: Math.round(timer.now() - this.#startedAt),
				majority: this.#majorityAt !== undefined,
			});
		}
	}
}
