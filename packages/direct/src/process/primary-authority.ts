import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type SuspensionDetector} from './suspension-detector.js';

/**
 * Time for which a renewal authorizes a host to use primaries, from the request of the renewal, in milliseconds. A promoter
 * ends the leases of hosts that do not confirm a change, and then waits for this time and `authorityMarginMilliseconds`. It
 * waits longer while the reports of other hosts may have renewed the authority.
 */
export const authorityMilliseconds = 800;

/** Allowance for clock drift between hosts and late timers within `authorityMilliseconds`, in milliseconds. */
export const authorityMarginMilliseconds = 100;

/**
 * Time-limited authority of this host to send statements to primaries.
 *
 * The authority is a local right, unlike the lease, which the store grants. It is renewed by each renewal of the lease or,
 * while the store does not respond, by reports of a majority of the hosts. It ends with the lease, and when the process may
 * have been suspended.
 *
 * A promotion is ordered only after each host has confirmed the announced change, or its lease has been ended and its
 * authority has expired.
 */
export class PrimaryAuthority {
	readonly #timer: TimerService;
	readonly #suspension: SuspensionDetector;
	readonly #requestRenewal: () => void;
	#validUntil = Number.NEGATIVE_INFINITY;
	#leaseRenewalRequestedAt = Number.NEGATIVE_INFINITY;

	/**
	 * @param timer - Monotonic clock.
	 * @param suspension - Detects suspensions, during which the monotonic clock does not advance.
	 * @param requestRenewal - Called when the lease has to be renewed immediately.
	 */
	constructor(timer: TimerService, suspension: SuspensionDetector, requestRenewal: () => void) {
		this.#timer = timer;
		this.#suspension = suspension;
		this.#requestRenewal = requestRenewal;
	}

	/** Monotonic time at which the authority expires, in milliseconds; negative infinity if there is none. */
	get validUntil(): number {
		return this.#validUntil;
	}

	/**
	 * Monotonic time at which the last renewal of the authority was requested, in milliseconds; negative infinity if there is
	 * no authority.
	 */
	get renewalRequestedAt(): number {
		return this.#validUntil - authorityMilliseconds;
	}

	/**
	 * Monotonic time at which the last successful lease renewal was requested, in milliseconds; negative infinity without a
	 * lease.
	 */
	get leaseRenewalRequestedAt(): number {
		return this.#leaseRenewalRequestedAt;
	}

	/**
	 * Handles a renewal of the lease, which renews the authority unless the process may have been suspended.
	 *
	 * @param requestedAt - Monotonic time at which the renewal was requested, in milliseconds.
	 */
	handleLeaseRenewed(requestedAt: number): void {
		this.#leaseRenewalRequestedAt = requestedAt;
		this.renew(requestedAt);
	}

	/** Handles the end of the lease, which also ends the authority. */
	handleLeaseEnded(): void {
		this.#leaseRenewalRequestedAt = Number.NEGATIVE_INFINITY;
		this.#validUntil = Number.NEGATIVE_INFINITY;
	}

	/**
	 * Renews the authority. If the process may have been suspended since the last check, ends it instead and requests a
	 * renewal of the lease.
	 *
	 * @param requestedAt - Monotonic time at which the lease renewal was requested or other hosts were queried, in
	 * milliseconds.
	 */
	renew(requestedAt: number): void {
		if (!this.#checkSuspension()) {
			this.#validUntil = Math.max(this.#validUntil, requestedAt + authorityMilliseconds);
		}
	}

	/** Returns whether primaries may be used now. Ends the authority if the process may have been suspended. */
	isValid(): boolean {
		return !this.#checkSuspension() && this.#timer.now() < this.#validUntil;
	}

	/**
	 * Returns whether the authority is valid or expired less than `authorityMarginMilliseconds` ago. Ends the authority if the
	 * process may have been suspended.
	 */
	isWithinMargin(): boolean {
		return !this.#checkSuspension() && this.#timer.now() < this.#validUntil + authorityMarginMilliseconds;
	}

	/**
	 * Ends the authority and requests a renewal of the lease if the process may have been suspended since the last check.
	 *
	 * @returns Whether the process may have been suspended.
	 */
	#checkSuspension(): boolean {
		if (!this.#suspension.check()) {
			return false;
		}

		this.#validUntil = Number.NEGATIVE_INFINITY;
		this.#requestRenewal();
		return true;
	}
}
