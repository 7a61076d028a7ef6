import {type SharedStore} from '@tarragonstack/core/adapters/shared-store';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type EventLog} from './event-log.js';
import {type HostRegistration} from './host-registration.js';
import {type PrimaryAuthority} from './primary-authority.js';

/** Time to live of a lease without renewals, in milliseconds. It is longer than usual outages of the store. */
const timeToLiveMilliseconds = 20_000;

/** Interval between renewals, in milliseconds. Two renewals may fail before the authority expires. */
const renewalIntervalMilliseconds = 200;

/** Timeout of a renewal, in milliseconds. */
const renewalTimeoutMilliseconds = 600;

/** Delay after a failed call, in milliseconds. Failed calls are billed as well. */
const retryDelayMilliseconds = 200;

/** Dependencies of a `LeaseKeeper`. */
export type LeaseKeeperOptions = {
	readonly store: SharedStore;
	readonly timer: TimerService;
	readonly log: EventLog;
	readonly registration: HostRegistration;
	readonly authority: PrimaryAuthority;
	/** Reads the records of the fleet; returns whether the store responded. */
	readFleet(): Promise<boolean>;
	/** Called when a renewal succeeds after one that failed. */
	handleStoreRegained(): void;
};

/**
 * Acquires and renews the lease that authorizes this host to use primaries.
 *
 * The host writes the lease to its record and then reads the records of the fleet. A primary change that this read does
 * not return is announced later, so its promoter finds the lease in the record and ends it unless the host confirms the
 * change. A successful renewal therefore proves that no unconfirmed change had passed that step.
 */
export class LeaseKeeper {
	readonly #options: LeaseKeeperOptions;
	readonly #abort = new AbortController();
	#sleepAbort = new AbortController();

	/**
	 * @param options - Dependencies.
	 */
	constructor(options: LeaseKeeperOptions) {
		this.#options = options;
	}

	/** Acquires a lease and renews it until `stop` is called. */
	start(): void {
		void this.#run();
	}

	/** Stops renewing. The lease is not ended. */
	stop(): void {
		this.#abort.abort();
		this.#sleepAbort.abort();
	}

	/** Renews the lease immediately. */
	renewNow(): void {
		this.#sleepAbort.abort();
	}

	async #run(): Promise<void> {
		const {timer, log, authority} = this.#options;
		while (!this.#abort.signal.aborted) {
			const lease = await this.#acquire();
			if (lease === undefined) {
				await timer.sleep(retryDelayMilliseconds, this.#abort.signal);
				continue;
			}

			log.write('lease-gained', {lease});
			await this.#renew(lease);
			authority.handleLeaseEnded();
			log.write('lease-lost', {lease});
		}
	}

	/** Creates a lease and returns it once it is stored in the record and the records of the fleet have been read. */
	async #acquire(): Promise<number | undefined> {
		const {store, registration, readFleet, log} = this.#options;
		const lease = await store.createLease(timeToLiveMilliseconds, renewalTimeoutMilliseconds);
		if (lease.isErr()) {
			log.write('lease-unavailable', {reason: lease.error.message});
			return undefined;
		}

		return await registration.updateAndWait({lease: lease.value}) && await readFleet() ? lease.value : undefined;
	}

	/** Renews a lease until it has ended or the host is no longer registered. */
	async #renew(lease: number): Promise<void> {
		const {store, timer, registration, authority, handleStoreRegained} = this.#options;
		let hasFailed = false;
		while (!this.#abort.signal.aborted) {
			this.#sleepAbort = new AbortController();
			const requestedAt = timer.now();
			const outcome = await store.renewLease(lease, renewalTimeoutMilliseconds);
			if (outcome.isOk() && !outcome.value) {
				return;
			}

			if (!registration.isRegistered) {
				return;
			}

			if (outcome.isOk()) {
				authority.handleLeaseRenewed(requestedAt);
				if (hasFailed) {
					handleStoreRegained();
				}
			}

			hasFailed = outcome.isErr();

			await timer.sleep(outcome.isOk() ? renewalIntervalMilliseconds : retryDelayMilliseconds, this.#sleepAbort.signal);
		}
	}
}
