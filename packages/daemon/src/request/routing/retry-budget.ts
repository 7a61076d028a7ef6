import {type TimerService} from '@tarragonstack/core';

/** Share of recent requests that may be retried. A higher share would let retries keep an overload alive. */
const retryShare = 0.1;

/** Retries that are allowed even when there were few recent requests. */
const minimumRetries = 5;

/** Length of one of the two windows in which requests are counted, in milliseconds. */
const windowMilliseconds = 5000;

/** Limits the retries of one group to a share of its requests of the last 5 to 10 seconds. */
export class RetryBudget {
	readonly #timerService: TimerService;
	#windowStart: number;
	#current = {requests: 0, retries: 0};
	#previous = {requests: 0, retries: 0};

	/**
	 * @param timerService - Source of time.
	 */
	constructor(timerService: TimerService) {
		this.#timerService = timerService;
		this.#windowStart = timerService.now();
	}

	/** Counts a request that is sent for the first time. */
	countRequest(): void {
		this.#rotate();
		this.#current.requests++;
	}

	/**
	 * Takes one retry out of the budget.
	 *
	 * @returns False when the budget is used up and the request must not be retried.
	 */
	tryTakeRetry(): boolean {
		this.#rotate();
		const requests = this.#current.requests + this.#previous.requests;
		const retries = this.#current.retries + this.#previous.retries;
		if (retries >= minimumRetries + (requests * retryShare)) {
			return false;
		}

		this.#current.retries++;
		return true;
	}

	#rotate(): void {
		const elapsed = this.#timerService.now() - this.#windowStart;
		if (elapsed < windowMilliseconds) {
			return;
		}

		this.#previous = elapsed < 2 * windowMilliseconds ? this.#current : {requests: 0, retries: 0};
		this.#current = {requests: 0, retries: 0};
		this.#windowStart = this.#timerService.now();
	}
}
