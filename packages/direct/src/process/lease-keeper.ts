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

/** Maximum delay before a lease is requested again, in milliseconds. */
const maximumRetryDelayMilliseconds = 800;

/** Dependencies of a `LeaseKeeper`. */
export type LeaseKeeperOptions = {
	readonly store: SharedStore;
	readonly timer: TimerService;
	readonly log: EventLog;
	readonly registration: HostRegistration;
	readonly authority: PrimaryAuthority;
	/** Reads the records of the fleet; returns whether the store responded. */
	readFleet(): Promise<boolean>;
	/** Called when a lease has been acquired. */
	handleLeaseGained(): void;
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
	#abort = new AbortController();
	#sleepAbort = new AbortController();
	#isRunning = false;
	/** Lease that is being renewed, or `undefined` if there is none. */
	#lease: number | undefined;

	/**
	 * @param options - Dependencies.
	 */
	constructor(options: LeaseKeeperOptions) {
		this.#options = options;
	}

	/** Acquires a lease and renews it until `stop` is called. */
	start(): void {
		this.stop();
		this.#isRunning = true;
		this.#abort = new AbortController();
		void this.#run(this.#abort.signal);
	}

	/** Stops renewing. The lease is not ended, but the authority that it gave is. */
	stop(): void {
		this.#isRunning = false;
		this.#abort.abort();
		this.#sleepAbort.abort();
		this.#endLease();
	}

	/**
	 * Handles a new era of the store, which has no leases. Acquires a lease at once: a renewal that was sent before may stay
	 * without a response until its timeout.
	 */
	handleEraEntered(): void {
		if (this.#isRunning) {
			this.start();
		}
	}

	/** Renews the lease immediately. */
	renewNow(): void {
		this.#sleepAbort.abort();
	}

	async #run(signal: AbortSignal): Promise<void> {
		const {timer, log} = this.#options;
		let retryMilliseconds = retryDelayMilliseconds;
		while (!signal.aborted) {
			const lease = await this.#acquire(signal);
			if (signal.aborted) {
				return;
			}

			if (lease === undefined) {
				await timer.sleep(retryMilliseconds, signal);
				retryMilliseconds = Math.min(maximumRetryDelayMilliseconds, retryMilliseconds * 2);
				continue;
			}

			retryMilliseconds = retryDelayMilliseconds;
			this.#lease = lease;
			log.write('lease-gained', {lease});
			this.#options.handleLeaseGained();
			await this.#renew(lease, signal);
			if (signal.aborted) {
				return;
			}

			this.#endLease();
		}
	}

	/** Ends the authority that the lease gave. */
	#endLease(): void {
		this.#options.authority.handleLeaseEnded();
		if (this.#lease !== undefined) {
			this.#options.log.write('lease-lost', {lease: this.#lease});
			this.#lease = undefined;
		}
	}

	/** Creates a lease and returns it once it is stored in the record and the records of the fleet have been read. */
	async #acquire(signal: AbortSignal): Promise<number | undefined> {
		const {store, registration, readFleet, log} = this.#options;
		const lease = await store.createLease(timeToLiveMilliseconds, renewalTimeoutMilliseconds);
		if (lease.isErr()) {
			log.write('lease-unavailable', {reason: lease.error.message});
			return undefined;
		}

		if (signal.aborted) {
			return undefined;
		}

		return await registration.updateAndWait({lease: lease.value}) && await readFleet() ? lease.value : undefined;
	}

	/** Renews a lease until it has ended, or the host is no longer registered. */
	async #renew(lease: number, signal: AbortSignal): Promise<void> {
		const {store, timer, log, registration, authority, handleStoreRegained} = this.#options;
		let failures = 0;
		while (!signal.aborted) {
			this.#sleepAbort = new AbortController();
			const requestedAt = timer.now();
			const outcome = await store.renewLease(lease, renewalTimeoutMilliseconds);
			if (signal.aborted || (outcome.isOk() && !outcome.value) || !registration.isRegistered) {
				return;
			}

			if (outcome.isOk()) {
				authority.handleLeaseRenewed(requestedAt);
				if (failures > 0) {
					log.write('lease-renewal-regained', {lease, failures});
					handleStoreRegained();
				}

				failures = 0;
			} else {
				failures++;
				if (failures === 1) {
					log.write('lease-renewal-failed', {lease, reason: outcome.error.message});
				}
			}

			await timer.sleep(outcome.isOk() ? renewalIntervalMilliseconds : retryDelayMilliseconds, this.#sleepAbort.signal);
		}
	}
}
