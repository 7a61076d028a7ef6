import {type TimerService} from '@tarragonstack/core';

/**
 * Requests that are sent per accepted one. Greater than 1, so that the throttle notices when capacity becomes free; every
 * unit above 1 costs the owners one refusal per accepted request.
 */
const sentPerAccepted = 1.3;

/** Number of requests in the windows below which none is refused locally, because the ratio is not significant. */
const minimumRequests = 20;

/** Length of each of the two windows, in milliseconds. Short enough to detect the start and end of a flood within a second. */
const windowMilliseconds = 400;

type Counts = {
	requests: number;
	accepted: number;
};

/**
 * Refuses a share of the requests on the entry host while the owners refuse most of them, by adaptive client-side
 * throttling.
 *
 * A refusal by an owner costs a read index and a call to a peer. Under a load of ten times the capacity, these refusals
 * alone used up the processors of all hosts.
 */
export class AdaptiveThrottle {
	readonly #timerService: TimerService;
	readonly #random: () => number;
	#windowStart: number;
	#current: Counts = {requests: 0, accepted: 0};
	#previous: Counts = {requests: 0, accepted: 0};

	/**
	 * @param timerService - Source of time.
	 * @param random - Returns a random number from 0 (inclusive) to 1 (exclusive).
	 */
	constructor(timerService: TimerService, random: () => number) {
		this.#timerService = timerService;
		this.#random = random;
		this.#windowStart = timerService.now();
	}

	/**
	 * Counts a request and decides whether to refuse it locally.
	 *
	 * @returns Whether to refuse the request without sending it.
	 */
	shouldRefuse(): boolean {
		this.#rotate();
		const requests = this.#current.requests + this.#previous.requests;
		const accepted = this.#current.accepted + this.#previous.accepted;
		this.#current.requests++;
		const share = (requests - (sentPerAccepted * accepted)) / (requests + 1);
		return requests >= minimumRequests && this.#random() < share;
	}

	/** Counts a request that its owner did not refuse because of overload. */
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
