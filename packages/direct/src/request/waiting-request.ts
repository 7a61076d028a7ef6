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

/** Priority of status requests: before all clients, because every read that waits depends on it. */
export const statusPriority = -1;

/** Ranks by which a late request loses. It is worth a tenth, which is less than the next rank's but more than the one after. */
const latePriorityPenalty = 1.5;

/**
 * Orders waiting requests by rank and age. A late request is put behind the next rank, because its response is worth a
 * fraction and the other one can still be on time.
 *
 * @param left - First request.
 * @param right - Second request.
 * @param now - Present monotonic time.
 * @returns A negative number if `left` is served first.
 */
export function compareWaiting(left: WaitingRequest, right: WaitingRequest, now: number): number {
	return (getEffectivePriority(left, now) - getEffectivePriority(right, now)) || (left.arrivedAt - right.arrivedAt);
}

function getEffectivePriority({priority, onTimeUntil}: WaitingRequest, now: number): number {
	return priority + (onTimeUntil <= now ? latePriorityPenalty : 0);
}
