/** Fleet size up to which changes are not batched. One store call per change of another host is cheap in a small fleet. */
const maximumUnbatchedHosts = 8;

/**
 * Delay per registered host in larger fleets, in milliseconds. When a primary is replaced or a fleet starts, the records
 * of all hosts change, and without batching each host would make a billed store call for each other host.
 */
const delayPerHostMilliseconds = 4;

/** Maximum delay, in milliseconds. Hosts may learn of an announced change of a primary this much later. */
const maximumDelayMilliseconds = 250;

/**
 * Returns for how long a host lets changes of other hosts' records accumulate before it requests them from the store.
 *
 * @param hosts - Number of registered hosts.
 * @returns Delay in milliseconds.
 */
export function getBatchingDelay(hosts: number): number {
	return hosts <= maximumUnbatchedHosts ? 0 : Math.min(maximumDelayMilliseconds, hosts * delayPerHostMilliseconds);
}
