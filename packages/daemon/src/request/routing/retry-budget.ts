import {type TimerService} from '@tarragonstack/core';

/** Share of recent requests that may be retried. With a higher share, retries could sustain an overload. */
const retryShare = 0.1;

/** Number of retries allowed in addition, so that a host with few requests can retry too. */
const minimumRetries = 5;

/** Length of each of the two windows in which requests are counted, in milliseconds. */
const windowMilliseconds = 5000;

/** Limits retries to a share of the requests of the last 5 to 10 seconds. */
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
	 * Takes one retry from the budget.
	 *
	 * @returns False if the budget is exhausted and the request must not be retried.
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
