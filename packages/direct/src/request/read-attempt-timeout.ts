/** Minimum time after which a read without a response is retried on another instance, in milliseconds. */
const minimumTimeoutMilliseconds = 250;

/** Fraction of the route's target time after which a read is retried, so that the retry can still meet the target. */
const targetFraction = 0.5;

/**
 * Returns how long to wait for the response to a read before it is retried on another instance.
 *
 * Some reads take several times as long as usual on every instance. The timeout doubles with each attempt, so that such
 * a read does not time out on every attempt.
 *
 * @param targetMilliseconds - Time within which the route's operations should complete.
 * @param attempt - Number of the attempt, starting at 1.
 */
export function getReadAttemptTimeout(targetMilliseconds: number, attempt: number): number {
	return Math.max(minimumTimeoutMilliseconds, targetMilliseconds * targetFraction) * (2 ** (attempt - 1));
}
