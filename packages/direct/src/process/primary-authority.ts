import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type SuspensionDetector} from './suspension-detector.js';

/**
 * Time for which a renewal of its lease allows a host to use primaries, in milliseconds. A promoter ends the leases of
 * hosts that do not confirm a change, and then waits as long.
 */
export const authorityMilliseconds = 800;

/** Time by which the hosts' clocks may drift apart, and timers fire late, within `authorityMilliseconds`, in milliseconds. */
export const authorityMarginMilliseconds = 100;

/**
 * Permission of this host to send work to primaries.
 *
 * A promotion is ordered only after each host has confirmed the announced change, or its lease has been ended and its
 * permission has run out.
 */
export class PrimaryAuthority {
	readonly #timer: TimerService;
	readonly #suspension: SuspensionDetector;
	readonly #requestRenewal: () => void;
	#validUntil = Number.NEGATIVE_INFINITY;
	#leaseRenewedAt = Number.NEGATIVE_INFINITY;

	/**
	 * @param timer - Monotonic clock.
	 * @param suspension - Detects that the monotonic clock stood still.
	 * @param requestRenewal - Called when the lease has to be renewed at once.
	 */
	constructor(timer: TimerService, suspension: SuspensionDetector, requestRenewal: () => void) {
		this.#timer = timer;
		this.#suspension = suspension;
		this.#requestRenewal = requestRenewal;
	}

	/** Monotonic time until which the permission holds. */
	get validUntil(): number {
		return this.#validUntil;
	}

	/** Monotonic time of the last renewal. */
	get renewedAt(): number {
		return this.#validUntil - authorityMilliseconds;
	}

	/** Monotonic time before the last successful renewal of the lease; without a lease it lies infinitely far back. */
	get leaseRenewedAt(): number {
		return this.#leaseRenewedAt;
	}

	/**
	 * Notes a renewal of the lease, which renews the permission.
	 *
	 * @param requestedAt - Monotonic time before the lease was renewed.
	 */
	handleLeaseRenewed(requestedAt: number): void {
		this.#leaseRenewedAt = requestedAt;
		this.renew(requestedAt);
	}

	/** Notes that the lease has ended. The permission ends as well. */
	handleLeaseEnded(): void {
		this.#leaseRenewedAt = Number.NEGATIVE_INFINITY;
		this.#validUntil = Number.NEGATIVE_INFINITY;
	}

	/**
	 * Renews the permission.
	 *
	 * @param requestedAt - Monotonic time before the lease was renewed, or other hosts were asked.
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

	/** Returns whether the permission holds or has run out by less than the margin that promoters leave. */
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
