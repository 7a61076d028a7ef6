/** Shortest interval between two status polls of an instance, in milliseconds; holds for the current deployments. */
export const minimumStatusPollIntervalMilliseconds = 50;

/**
 * Bytes of one poll on the wire in both directions: 77 for the request, about 550 for the row of 12 columns with its
 * description, and 80 for TCP/IP headers, rounded up.
 */
export const statusPollBytes = 720;

/** Number of instances for which the traffic budget of design section 1.7 holds. */
export const targetInstanceCount = 1100;

/**
 * Bytes per second that a host may use for status polls at the target size. Two thirds of the 3 KB/s of design
 * section 1.7; the remainder is reserved for heartbeats.
 */
export const statusPollBudgetBytesPerSecond = 2000;

/**
 * Calculates the interval between two polls of one instance.
 *
 * The budget of a host is `2000 B/s * max(1, 1100 / configured instances)`, so the traffic of the whole fleet does not
 * grow with the number of instances. The interval is the time in which the budget allows one poll of each polled
 * instance, but at least 50 ms. At the target size, a host owns 1100 / 480 = 2.3 instances, polls 6.9 instances and
 * polls each of them every 2.5 s. With 9 instances the minimum of 50 ms applies.
 *
 * @param polledInstances - Number of instances that this host polls.
 * @param configuredInstances - Number of instances in the configuration.
 * @returns The interval in milliseconds.
 */
export function getStatusPollIntervalMilliseconds(polledInstances: number, configuredInstances: number): number {
	const budget = statusPollBudgetBytesPerSecond * Math.max(1, targetInstanceCount / Math.max(1, configuredInstances));
	return Math.max(minimumStatusPollIntervalMilliseconds, polledInstances * statusPollBytes * 1000 / budget);
}
