import {type TimerService} from '@tarragonstack/core';

/**
 * Requests that are sent for each accepted one. More than 1, so that the owners' acceptance is noticed when capacity
 * becomes free; every unit above 1 costs the owners one refusal for each accepted request.
 */
const sentPerAccepted = 1.3;

/** Requests in the windows below which nothing is refused locally, because the ratio says little. */
const minimumRequests = 20;

/** Length of one of the two windows, in milliseconds. Short, so that a flood is met and forgotten within a second. */
const windowMilliseconds = 400;

type Counts = {
	requests: number;
	accepted: number;
};

/**
 * Refuses a part of the requests on the entry host while the owners refuse most of them.
 *
 * A refusal by an owner costs a read index and a call to a peer. In a flood of ten times the capacity these refusals
 * alone used up the processors of all hosts. The share to refuse follows the method of adaptive client-side throttling.
 */
export class AdaptiveThrottle {
	readonly #timerService: TimerService;
	readonly #random: () => number;
	#windowStart: number;
	#current: Counts = {requests: 0, accepted: 0};
	#previous: Counts = {requests: 0, accepted: 0};

	/**
	 * @param timerService - Source of time.
	 * @param random - Returns a random number from 0 up to, but without, 1.
	 */
	constructor(timerService: TimerService, random: () => number) {
		this.#timerService = timerService;
		this.#random = random;
		this.#windowStart = timerService.now();
	}

	/**
	 * Counts a request and decides whether to refuse it locally.
	 *
	 * @returns True when the request shall be refused without being sent.
	 */
	shouldRefuse(): boolean {
		this.#rotate();
		const requests = this.#current.requests + this.#previous.requests;
		const accepted = this.#current.accepted + this.#previous.accepted;
		this.#current.requests++;
		const share = (requests - (sentPerAccepted * accepted)) / (requests + 1);
		return requests >= minimumRequests && this.#random() < share;
	}

	/** Counts a request that was not refused because of overload. */
	countAccepted(): void {
		this.#rotate();
		this.#current.accepted++;
	}

	#rotate(): void {
		const elapsed = this.#timerService.now() - this.#windowStart;
		if (elapsed >= windowMilliseconds) {
			this.#previous = elapsed < 2 * windowMilliseconds ? this.#current : {requests: 0, accepted: 0};
			this.#current = {requests: 0, accepted: 0};
			this.#windowStart = this.#timerService.now();
		}
	}
}
