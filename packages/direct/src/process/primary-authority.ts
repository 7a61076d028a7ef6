import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type SuspensionDetector} from './suspension-detector.js';

/**
 * Time for which a read of the fleet's records allows a host to use the primaries that they name, in milliseconds.
 * It bridges outages of the store of a few seconds. A promoter waits as long for hosts that do not confirm.
 */
export const authorityMilliseconds = 5000;

/** Time by which the hosts' clocks may drift apart within `authorityMilliseconds`, in milliseconds. */
export const authorityMarginMilliseconds = 100;

/**
 * Permission of this host to send work to primaries.
 *
 * A promotion is ordered only after each host has confirmed the announced change or its permission has run out.
 */
export class PrimaryAuthority {
	readonly #timer: TimerService;
	readonly #suspension: SuspensionDetector;
	readonly #requestConfirmation: () => void;
	#validUntil = 0;

	/**
	 * @param timer - Monotonic clock.
	 * @param suspension - Detects that the monotonic clock stood still.
	 * @param requestConfirmation - Called when the records have to be read again at once.
	 */
	constructor(timer: TimerService, suspension: SuspensionDetector, requestConfirmation: () => void) {
		this.#timer = timer;
		this.#suspension = suspension;
		this.#requestConfirmation = requestConfirmation;
	}

	/** Monotonic time until which the permission holds. */
	get validUntil(): number {
		return this.#validUntil;
	}

	/**
	 * Renews the permission.
	 *
	 * @param readStartedAt - Monotonic time before the records were read. They named this host as registered.
	 */
	renew(readStartedAt: number): void {
		if (!this.#checkSuspension()) {
			this.#validUntil = Math.max(this.#validUntil, readStartedAt + authorityMilliseconds);
		}
	}

	/** Returns whether primaries may be used now. */
	isValid(): boolean {
		return !this.#checkSuspension() && this.#timer.now() < this.#validUntil;
	}

	#checkSuspension(): boolean {
		if (!this.#suspension.check()) {
			return false;
		}

		this.#validUntil = 0;
		this.#requestConfirmation();
		return true;
	}
}
