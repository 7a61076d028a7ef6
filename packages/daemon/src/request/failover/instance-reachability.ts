import {type ControlError, ControlErrorKind} from './instance-control.js';

/** Reachability of an instance, derived from the requests since its last response. */
export class InstanceReachability {
	/** Time of the oldest request after the last response. */
	#unansweredSince: number | undefined;
	readonly #refusedAttempts = new Set<number>();

	/** Number of connection attempts refused since the last response. */
	get refusedAttempts(): number {
		return this.#refusedAttempts.size;
	}

	/** Whether a request has failed since the last response. */
	get failing(): boolean {
		return this.#failing;
	}

	#failing = false;

	/**
	 * Records a sent request.
	 *
	 * @param now - Time of the request.
	 */
	recordRequest(now: number): void {
		this.#unansweredSince ??= now;
	}

	/** Records a response to any request. */
	recordResponse(): void {
		this.#unansweredSince = undefined;
		this.#refusedAttempts.clear();
		this.#failing = false;
	}

	/**
	 * Records a failed request.
	 *
	 * @param error - Cause of the failure.
	 */
	recordFailure(error: ControlError): void {
		if (error.kind === ControlErrorKind.Rejected) {
			// Any response, even an error, proves that the process is alive.
			this.recordResponse();
			return;
		}

		this.#failing = true;
		if (error.kind === ControlErrorKind.Refused) {
			this.#refusedAttempts.add(error.connectionAttempt);
		}
	}

	/** Discards all recorded failures. */
	reset(): void {
		this.recordResponse();
	}

	/**
	 * Returns the time since the oldest request that was sent after the last response, or 0 if there is none.
	 *
	 * @param now - Current time.
	 */
	getUnansweredMilliseconds(now: number): number {
		return this.#unansweredSince === undefined ? 0 : now - this.#unansweredSince;
	}
}
