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
 * The authority is a local right, unlike the lease, which the store grants. A host obtains it by each renewal of its lease or,
 * while the store does not respond, by reports of a majority of the hosts; this part ends with the lease. In a large fleet, a
 * host without a lease obtains it from a delegate. All of it ends when the process may have been suspended.
 *
 * A new era of the store ends the lease, and authority that was obtained before is no longer renewed.
 *
 * A promotion is ordered only after each host has confirmed the announced change, or its lease has been ended and its
 * authority has expired.
 */
export class PrimaryAuthority {
	/** Called when the authority that this host obtained itself has been renewed. */
	onRenewed: (() => void) | undefined;
	/** Called when authority has been renewed or granted. */
	onObtained: (() => void) | undefined;
	readonly #timer: TimerService;
	readonly #suspension: SuspensionDetector;
	readonly #requestRenewal: () => void;
	#ownValidUntil = Number.NEGATIVE_INFINITY;
	#grantedUntil = Number.NEGATIVE_INFINITY;
	/** Expiry of the authority that was obtained in earlier eras of the store. */
	#inheritedUntil = Number.NEGATIVE_INFINITY;
	#leaseRenewalRequestedAt = Number.NEGATIVE_INFINITY;
	/** Time of the proof behind the last grants. */
	#grantProvenAt = Number.NEGATIVE_INFINITY;
	/** Monotonic time of the last check that detected a suspension. What was sent before it is older than this clock tells. */
	#suspensionDetectedAt = Number.NEGATIVE_INFINITY;

	/**
	 * @param timer - Monotonic clock.
	 * @param suspension - Detects suspensions, during which the monotonic clock does not advance.
	 * @param requestRenewal - Called when the lease has to be renewed, or a grant requested, immediately.
	 */
	constructor(timer: TimerService, suspension: SuspensionDetector, requestRenewal: () => void) {
		this.#timer = timer;
		this.#suspension = suspension;
		this.#requestRenewal = requestRenewal;
	}

	/** Monotonic time at which the authority expires, in milliseconds; negative infinity if there is none. */
	get validUntil(): number {
		return Math.max(this.#ownValidUntil, this.#grantedUntil, this.#inheritedUntil);
	}

	/**
	 * Monotonic time at which the authority expires that this host obtained itself, in milliseconds; negative infinity if there
	 * is none. Only this part may be granted to others, because a promoter waits for this host to release the primary.
	 */
	get ownValidUntil(): number {
		return this.#ownValidUntil;
	}

	/**
	 * Monotonic time at which the last renewal of the authority was requested, in milliseconds; negative infinity if there is
	 * no authority.
	 */
	get renewalRequestedAt(): number {
		return this.validUntil - authorityMilliseconds;
	}

	/**
	 * Monotonic time at which the last successful lease renewal was requested, in milliseconds; negative infinity without a
	 * lease.
	 */
	get leaseRenewalRequestedAt(): number {
		return this.#leaseRenewalRequestedAt;
	}

	/**
	 * Monotonic time of the last proof that promoters wait for this host or for its delegate, in milliseconds: the last lease
	 * renewal of this host, or the one behind a grant.
	 */
	get provenAt(): number {
		const provenAt = Math.max(this.#leaseRenewalRequestedAt, this.#grantProvenAt);
		return provenAt >= this.#suspensionDetectedAt ? provenAt : Number.NEGATIVE_INFINITY;
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

	/** Handles the end of the lease, which also ends the authority that this host obtained itself. */
	handleLeaseEnded(): void {
		this.#leaseRenewalRequestedAt = Number.NEGATIVE_INFINITY;
		this.#ownValidUntil = Number.NEGATIVE_INFINITY;
	}

	/**
	 * Handles a new era of the store, which has no leases. Authority of the earlier era expires as before but is not renewed: a
	 * promoter of the new era waits for it unless this host has registered again.
	 */
	handleEraEntered(): void {
		this.#inheritedUntil = Math.max(this.#inheritedUntil, this.#ownValidUntil, this.#grantedUntil);
		this.#grantedUntil = Number.NEGATIVE_INFINITY;
		this.#grantProvenAt = Number.NEGATIVE_INFINITY;
		this.handleLeaseEnded();
	}

	/**
	 * Accepts authority that a delegate granted, unless the process may have been suspended.
	 *
	 * @param until - Monotonic time at which the grant expires, in milliseconds.
	 * @param provenAt - Monotonic time of the proof behind the grant, in milliseconds. A host that obtained its authority by
	 * reports has no newer proof, so hosts that grant to each other cannot renew it.
	 */
	acceptGrant(until: number, provenAt: number): void {
		if (!this.checkSuspension()) {
			this.#grantedUntil = Math.max(this.#grantedUntil, until);
			this.#grantProvenAt = Math.max(this.#grantProvenAt, provenAt);
			this.onObtained?.();
		}
	}

	/**
	 * Renews the authority. If the process may have been suspended since the last check, ends it instead and requests a
	 * renewal of the lease. A renewal that was requested before a suspension has no effect.
	 *
	 * @param requestedAt - Monotonic time at which the lease renewal was requested or other hosts were queried, in
	 * milliseconds.
	 */
	renew(requestedAt: number): void {
		if (!this.checkSuspension() && requestedAt >= this.#suspensionDetectedAt) {
			this.#ownValidUntil = Math.max(this.#ownValidUntil, requestedAt + authorityMilliseconds);
			this.onRenewed?.();
			this.onObtained?.();
		}
	}

	/**
	 * Ends the authority and requests a renewal of the lease if the process may have been suspended since the last check.
	 *
	 * @returns Whether the process may have been suspended.
	 */
	checkSuspension(): boolean {
		if (!this.#suspension.check()) {
			return false;
		}

		this.#suspensionDetectedAt = this.#timer.now();
		this.#ownValidUntil = Number.NEGATIVE_INFINITY;
		this.#grantedUntil = Number.NEGATIVE_INFINITY;
		this.#inheritedUntil = Number.NEGATIVE_INFINITY;
		this.#requestRenewal();
		return true;
	}

	/** Returns whether primaries may be used now. Ends the authority if the process may have been suspended. */
	isValid(): boolean {
		return !this.checkSuspension() && this.#timer.now() < this.validUntil;
	}

	/** Returns whether this host may grant authority now. Ends the authority if the process may have been suspended. */
	isOwnValid(): boolean {
		return !this.checkSuspension() && this.#timer.now() < this.#ownValidUntil;
	}

	/**
	 * Returns whether the authority is valid or expired less than `authorityMarginMilliseconds` ago. Ends the authority if the
	 * process may have been suspended.
	 */
	isWithinMargin(): boolean {
		return !this.checkSuspension() && this.#timer.now() < this.validUntil + authorityMarginMilliseconds;
	}
}
