/** Request that waits for a connection to an instance. */
export type WaitingRequest = {
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Monotonic time of arrival. */
	readonly arrivedAt: number;
	/** Monotonic time until which the response is on time. */
	readonly onTimeUntil: number;
	/** Monotonic time after which the request is given up. */
	readonly deadline: number;
};

/**
 * Orders waiting requests. Requests that can still be on time precede late ones, because a late response is worth a
 * fraction; among these the urgent precede, then the older.
 *
 * @param left - First request.
 * @param right - Second request.
 * @param now - Present monotonic time.
 * @returns A negative number if `left` is served first.
 */
export function compareWaiting(left: WaitingRequest, right: WaitingRequest, now: number): number {
	const lateness = Number(left.onTimeUntil <= now) - Number(right.onTimeUntil <= now);
	return lateness || left.priority - right.priority || left.arrivedAt - right.arrivedAt;
}
