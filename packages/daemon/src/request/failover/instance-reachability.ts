import {type ControlError, ControlErrorKind} from './instance-control.js';

/** What this host knows about the reachability of an instance since its last answer. */
export class InstanceReachability {
	/** Time at which the oldest question was asked that no later answer followed. */
	#unansweredSince: number | undefined;
	readonly #refusedAttempts = new Set<number>();

	/** Number of connection attempts that were refused since the last answer. */
	get refusedAttempts(): number {
		return this.#refusedAttempts.size;
	}

	/** Whether a question failed since the last answer. */
	get failing(): boolean {
		return this.#failing;
	}

	#failing = false;

	/**
	 * Records that a question was sent.
	 *
	 * @param now - Time of the question.
	 */
	recordRequest(now: number): void {
		this.#unansweredSince ??= now;
	}

	/** Records an answer to any question. */
	recordResponse(): void {
		this.#unansweredSince = undefined;
		this.#refusedAttempts.clear();
		this.#failing = false;
	}

	/**
	 * Records a failed question.
	 *
	 * @param error - Reason.
	 */
	recordFailure(error: ControlError): void {
		if (error.kind === ControlErrorKind.Rejected) {
			// The process answered, so it is alive, whatever it said.
			this.recordResponse();
			return;
		}

		this.#failing = true;
		if (error.kind === ControlErrorKind.Refused) {
			this.#refusedAttempts.add(error.connectionAttempt);
		}
	}

	/** Forgets all failures. */
	reset(): void {
		this.recordResponse();
	}

	/**
	 * Returns for how long questions have remained without an answer.
	 *
	 * @param now - Present time.
	 */
	getUnansweredMilliseconds(now: number): number {
		return this.#unansweredSince === undefined ? 0 : now - this.#unansweredSince;
	}
}
