/** Hosts up to which each change is followed at once: a call for each change of another host is cheap then. */
const maximumUnbatchedHosts = 8;

/**
 * Pause per registered host in larger fleets, in milliseconds. The records of all hosts change when a primary is replaced
 * or a fleet starts, and each host would be told of each other one by a priced call.
 */
const delayPerHostMilliseconds = 4;

/** Longest pause, in milliseconds; an announced change of a primary waits for it. */
const maximumDelayMilliseconds = 250;

/**
 * Returns for how long a host gathers changes of other hosts' records before it asks for them.
 *
 * @param hosts - Registered hosts.
 * @returns Milliseconds.
 */
export function getBatchingDelay(hosts: number): number {
	return hosts <= maximumUnbatchedHosts ? 0 : Math.min(maximumDelayMilliseconds, hosts * delayPerHostMilliseconds);
}
