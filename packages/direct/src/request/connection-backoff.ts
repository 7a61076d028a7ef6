import {GrowingDelay} from './growing-delay.js';

/** Bounds of the interval between new connections to a peer that does not respond, in milliseconds. */
const initialIntervalMilliseconds = 250;
const maximumIntervalMilliseconds = 1000;

/**
 * Decides when another connection to a peer may be opened.
 *
 * A peer under load accepts connections late, and has to accept those as well that its callers have closed. If every request
 * without a response opened another one, it would accept fewer than arrive, and never respond again. Therefore, while new
 * connections get no response, they are opened one at a time, at growing intervals.
 */
export class ConnectionBackoff {
	readonly #intervals = new GrowingDelay(initialIntervalMilliseconds, maximumIntervalMilliseconds);
	#isUnresponsive = false;
	#nextAt = Number.NEGATIVE_INFINITY;

	/**
	 * Returns the time until a connection may be opened, in milliseconds.
	 *
	 * @param now - Monotonic time, in milliseconds.
	 */
	getDelay(now: number): number {
		return this.#isUnresponsive ? Math.max(0, this.#nextAt - now) : 0;
	}

	/**
	 * Handles a new connection.
	 *
	 * @param now - Monotonic time, in milliseconds.
	 */
	handleOpened(now: number): void {
		if (this.#isUnresponsive) {
			this.#nextAt = now + this.#intervals.next();
		}
	}

	/**
	 * Handles a request on a new connection that got no response in time.
	 *
	 * @param now - Monotonic time, in milliseconds.
	 */
	handleNoResponse(now: number): void {
		if (!this.#isUnresponsive) {
			this.#isUnresponsive = true;
			this.#nextAt = now + this.#intervals.next();
		}
	}

	/** Handles the first response on a connection, in time or late. Responses on older ones do not show that new ones get any. */
	handleResponse(): void {
		this.#isUnresponsive = false;
		this.#intervals.reset();
	}
}
