import {getBatchingDelay} from '../request/batching-delay.js';
import {isMajority} from '../request/majority.js';
import {peerRenewalLimitMilliseconds} from './peer-authority-renewer.js';
import {type VersionedGroupRecord} from './group-record.js';
import {type InstanceGroupState} from './instance-group-state.js';
import {readInstanceStatus} from './instance-status.js';
import {authorityMarginMilliseconds, authorityMilliseconds} from './primary-authority.js';
import {callTimeoutMilliseconds, pollIntervalMilliseconds, type PromotionContext} from './promotion-context.js';
import {hostPrefix} from './store-keys.js';

/**
 * Time for which hosts may confirm a change before their leases are ended, in milliseconds. The batching delay is added,
 * because hosts of large fleets may learn of the change only after it.
 */
const confirmationTimeoutMilliseconds = 75;

/** Delay before the records of the fleet are read again after the store did not respond, in milliseconds. */
const retryDelayMilliseconds = 100;

/** Outcome of a wait for confirmations. */
export enum ConfirmationOutcome {
	/** No host uses the primary any longer. */
	Released = 'released',
	/** The primary responds again, so the change may be abandoned. */
	PrimaryAnswers = 'primary-answers',
}

/** Waits until no host uses a primary: each has confirmed the announced change, or its authority has expired. */
export class ConfirmationWait {
	readonly #context: PromotionContext;
	readonly #group: InstanceGroupState;
	readonly #announced: VersionedGroupRecord;
	readonly #startedAt: number;
	/** Monotonic times at which leases were ended, by host. */
	readonly #leasesEndedAt = new Map<string, number>();
	#awaited: string[] = [];
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
	}

	/**
	 * Waits for the confirmations. Ends the leases of hosts that do not confirm in time.
	 *
	 * @param mayGiveUp - Whether to return early when the primary responds again.
	 */
	async run(mayGiveUp: boolean): Promise<ConfirmationOutcome> {
		const {timer, fleet, readFleet} = this.#context;
		// Hosts that register after this read will see the announcement when they read the records themselves.
		while (!(await readFleet())) {
			await timer.sleep(retryDelayMilliseconds);
		}

		this.#awaited = [...fleet.hosts.keys()];
		if (mayGiveUp) {
			void this.#watchPrimary();
		}

		for (;;) {
			const blocking = this.#findBlockingHosts();
			if (blocking.length === 0 || this.#hasPrimaryAnswered) {
				this.#isFinished = true;
				this.#logEndedLeases();
				return blocking.length === 0 ? ConfirmationOutcome.Released : ConfirmationOutcome.PrimaryAnswers;
			}

			if (timer.now() - this.#startedAt >= confirmationTimeoutMilliseconds + getBatchingDelay(this.#awaited.length)) {
				await Promise.all(blocking.filter(name => !this.#leasesEndedAt.has(name)).map(async name => this.#endLease(name)));
			}

			await timer.sleep(pollIntervalMilliseconds);
		}
	}

	/** Returns the hosts that may still use the primary. A host without a record has no authority. */
	#findBlockingHosts(): string[] {
		const {timer, fleet} = this.#context;
		const unconfirmed = this.#awaited.filter(name => {
			const host = fleet.hosts.get(name);
			return host !== undefined && host.record.confirmed[this.#group.name] !== this.#announced.changeIdentifier;
		});
		if (isMajority(this.#awaited.length - unconfirmed.length, this.#awaited.length)) {
			this.#majorityAt ??= timer.now();
		}

		return unconfirmed.filter(name => timer.now() < this.#getExpiry(name));
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
		const {timer, fleet, store, log} = this.#context;
		const remove = async () => {
			const key = `${hostPrefix}${name}`;
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
