import {getRendezvousWeight} from '@tarragonstack/core/request/rendezvous-hash';

/**
 * Fleet size from which hosts use delegates. In a smaller fleet the calls of all hosts cost little, and a host that depends
 * on another one loses more than it saves.
 */
const minimumDelegatedHosts = 12;

/** Host that may act as a delegate. */
export type DelegateCandidate = {
	readonly name: string;
	readonly availabilityZone: string;
	/** Processor time that the host may use, in cores. */
	readonly capacity: number;
};

/**
 * Returns whether the hosts of a fleet follow the shared store through delegates. Answers the load on the store, and the
 * price of its calls, that grow with the number of hosts.
 *
 * @param hosts - Number of registered hosts.
 */
export function usesDelegates(hosts: number): boolean {
	return hosts >= minimumDelegatedHosts;
}

/**
 * Ranks the hosts of an availability zone as delegates of that zone: those with the greatest capacity first, and otherwise by
 * their rendezvous weight. Hosts with the same view of the fleet obtain the same order.
 *
 * @param availabilityZone - Zone that needs a delegate.
 * @param candidates - Registered hosts of all zones.
 * @returns Names of the hosts of the zone.
 */
export function rankDelegates(availabilityZone: string, candidates: readonly DelegateCandidate[]): string[] {
	return candidates
		.filter(candidate => candidate.availabilityZone === availabilityZone)
		.map(({name, capacity}) => ({name, capacity, weight: getRendezvousWeight(`delegate ${availabilityZone}`, name)}))
		.toSorted((left, right) => (right.capacity - left.capacity) || (right.weight - left.weight) || (left.name < right.name ? -1 : 1))
		.map(({name}) => name);
}
