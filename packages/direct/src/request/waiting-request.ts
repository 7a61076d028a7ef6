/** Request that waits for a connection to an instance. */
export type WaitingRequest = {
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Monotonic time of arrival. */
	readonly arrivedAt: number;
	/** Monotonic time until which a response meets the target. */
	readonly onTimeUntil: number;
	/** Monotonic time at which the request fails. */
	readonly deadline: number;
};

/** Priority of status requests. They precede all client requests, because waiting reads depend on their result. */
export const statusPriority = -1;

/**
 * Number of priorities by which a late request is demoted. Its response is worth a tenth, which is less than that of the
 * next priority but more than that of the one after.
 */
const latePriorityPenalty = 1.5;

/**
 * Returns the priority of a waiting request. A late request is served after the next priority, because its response is worth
 * only a fraction, while a request of that priority can still be on time.
 *
 * @param request - Request.
 * @param now - Current monotonic time.
 */
export function getEffectivePriority({priority, onTimeUntil}: WaitingRequest, now: number): number {
	return priority + (onTimeUntil <= now ? latePriorityPenalty : 0);
}
