/** Shortest time after which a read without a response is sent to another instance, in milliseconds. */
const minimumTimeoutMilliseconds = 250;

/** Share of the route's target after which it is sent to another instance, so that the other one can still be on time. */
const targetFraction = 0.5;

/**
 * Returns how long to wait for the response to a read before it is sent to another instance.
 *
 * Some reads take several times as long as usual at every instance. The time doubles with each attempt, so that such a
 * read is not given up again and again.
 *
 * @param targetMilliseconds - Time within which the route's operations should be answered.
 * @param attempt - Number of the attempt; 1 is the first.
 */
export function getReadAttemptTimeout(targetMilliseconds: number, attempt: number): number {
	return Math.max(minimumTimeoutMilliseconds, targetMilliseconds * targetFraction) * (2 ** (attempt - 1));
}
