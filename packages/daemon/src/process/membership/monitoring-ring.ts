import {getRendezvousWeight} from '@tarragonstack/core/request/rendezvous-hash';

/** Maximum number of peers that a host monitors. */
export const maximumMonitoredPeers = 4;

/** Heartbeat interval in a small fleet, in milliseconds. */
export const shortestHeartbeatIntervalMilliseconds = 100;

/** Fleet size up to which the shortest interval applies. */
const smallFleetHosts = 48;

/** Fleet size and heartbeat interval for which the control traffic is calculated (see `FleetDirectory`). */
const largeFleetHosts = 480;
const largeFleetIntervalMilliseconds = 1200;

/**
 * Chooses the peers that a host monitors. The hosts form a ring, ordered by a hash of their names, and each host monitors
 * the peers at the offsets 1, n^(1/4), n^(1/2) and n^(3/4). Each host is monitored by as many hosts as it monitors, and a
 * change reaches all hosts in about 2 n^(1/4) steps; with consecutive peers it would take n/8 steps.
 *
 * @param ownName - Name of this host.
 * @param names - Names of the hosts that form the ring; may contain the own name.
 * @param weights - Cache of hash values by name; missing ones are added.
 */
export function chooseMonitoredPeers(ownName: string, names: Iterable<string>, weights = new Map<string, number>()): string[] {
	const ring = [...new Set([...names, ownName])]
		.map(name => {
			const weight = weights.get(name) ?? getRendezvousWeight('monitoring-ring', name);
			weights.set(name, weight);
			return {name, weight};
		})
		.toSorted((left, right) => left.weight - right.weight || (left.name < right.name ? -1 : 1));
	const own = ring.findIndex(({name}) => name === ownName);
	const chosen: string[] = [];
	let offset = 0;
	for (let peer = 0; peer < maximumMonitoredPeers; peer++) {
		offset = Math.max(offset + 1, Math.round(ring.length ** (peer / maximumMonitoredPeers)));
		if (offset >= ring.length) {
			break;
		}

		chosen.push(ring[(own + offset) % ring.length]!.name);
	}

	return chosen;
}

/**
 * Returns the interval between two heartbeats to a monitored peer, in milliseconds.
 *
 * @param hosts - Number of hosts in the fleet.
 */
export function getHeartbeatInterval(hosts: number): number {
	const share = (hosts - smallFleetHosts) / (largeFleetHosts - smallFleetHosts);
	const added = (largeFleetIntervalMilliseconds - shortestHeartbeatIntervalMilliseconds) * Math.max(0, share);
	return shortestHeartbeatIntervalMilliseconds + added;
}
