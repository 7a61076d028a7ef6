import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type SuspensionDetector} from './suspension-detector.js';

/**
 * Time for which a lease renewal authorizes a host to use primaries, in milliseconds. A promoter ends the leases of hosts
 * that do not confirm a change, and then waits for the same time.
 */
export const authorityMilliseconds = 800;

/** Allowance for clock drift between hosts and late timers within `authorityMilliseconds`, in milliseconds. */
export const authorityMarginMilliseconds = 100;

/**
 * Time-limited authority of this host to send statements to primaries.
 *
 * A promotion is ordered only after each host has confirmed the announced change, or its lease has been ended and its
 * authority has expired.
 */
export class PrimaryAuthority {
	readonly #timer: TimerService;
	readonly #suspension: SuspensionDetector;
	readonly #requestRenewal: () => void;
	#validUntil = Number.NEGATIVE_INFINITY;
	#leaseRenewedAt = Number.NEGATIVE_INFINITY;

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

	/** Monotonic time at which the authority expires. */
	get validUntil(): number {
		return this.#validUntil;
	}

	/** Monotonic time of the last renewal of the authority. */
	get renewedAt(): number {
		return this.#validUntil - authorityMilliseconds;
	}

	/** Monotonic time at which the last successful lease renewal was requested; negative infinity without a lease. */
	get leaseRenewedAt(): number {
		return this.#leaseRenewedAt;
	}

	/**
	 * Handles a renewal of the lease, which renews the authority.
	 *
	 * @param requestedAt - Monotonic time at which the renewal was requested.
	 */
	handleLeaseRenewed(requestedAt: number): void {
		this.#leaseRenewedAt = requestedAt;
		this.renew(requestedAt);
	}

	/** Handles the end of the lease, which also ends the authority. */
	handleLeaseEnded(): void {
		this.#leaseRenewedAt = Number.NEGATIVE_INFINITY;
		this.#validUntil = Number.NEGATIVE_INFINITY;
	}

	/**
	 * Renews the authority.
	 *
	 * @param requestedAt - Monotonic time at which the lease renewal was requested or other hosts were queried.
	 */
	renew(requestedAt: number): void {
		if (!this.#checkSuspension()) {
			this.#validUntil = Math.max(this.#validUntil, requestedAt + authorityMilliseconds);
		}
	}

	/** Returns whether primaries may be used now. */
	isValid(): boolean {
		return !this.#checkSuspension() && this.#timer.now() < this.#validUntil;
	}

	/** Returns whether the authority is valid or expired less than `authorityMarginMilliseconds` ago. */
	isWithinMargin(): boolean {
		return !this.#checkSuspension() && this.#timer.now() < this.#validUntil + authorityMarginMilliseconds;
	}

	#checkSuspension(): boolean {
		if (!this.#suspension.check()) {
			return false;
		}

		this.#validUntil = Number.NEGATIVE_INFINITY;
		this.#requestRenewal();
		return true;
	}
}
