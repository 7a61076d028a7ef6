/** Fleet size up to which changes are not batched. One store call per change of another host is cheap in a small fleet. */
const maximumUnbatchedHosts = 8;

/**
 * Delay in larger fleets, in milliseconds. When a fleet starts, the records of all hosts change, and without batching each
 * host that watches the store would make a billed call for each other host. A host may learn of an announced change of a
 * primary this much later.
 */
const delayMilliseconds = 250;

/**
 * Returns for how long a host lets changes of other hosts' records accumulate before it requests them from the store.
 *
 * @param hosts - Number of registered hosts.
 * @returns Delay in milliseconds.
 */
export function getBatchingDelay(hosts: number): number {
	return hosts <= maximumUnbatchedHosts ? 0 : delayMilliseconds;
}
