import {getRendezvousWeight} from '@tarragonstack/core/request/rendezvous-hash';

/** Number of peers that a host monitors at most. */
export const maximumMonitoredPeers = 4;

/** Interval of heartbeats in a small fleet, in milliseconds. */
export const shortestHeartbeatIntervalMilliseconds = 100;

/** Fleet size up to which the shortest interval applies. */
const smallFleetHosts = 48;

/** Fleet size and interval that bound the control traffic (see `FleetDirectory`). */
const largeFleetHosts = 480;
const largeFleetIntervalMilliseconds = 1200;

/**
 * Chooses the peers that a host monitors. The hosts form a ring in the order of a hash of their names. A host monitors
 * the peers at the offsets 1, n^(1/4), n^(1/2) and n^(3/4): each host is monitored by as many hosts as it monitors, and
 * news crosses the ring in about 2 n^(1/4) steps, where consecutive peers would take n/8.
 *
 * @param ownName - Name of this host.
 * @param names - Names of all hosts to monitor; may contain the own name.
 * @param weights - Weights that were computed before, by name; new ones are added.
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
 * Returns the interval of heartbeats to each monitored peer.
 *
 * @param hosts - Number of hosts of the fleet.
 */
export function getHeartbeatInterval(hosts: number): number {
	const share = (hosts - smallFleetHosts) / (largeFleetHosts - smallFleetHosts);
	const added = (largeFleetIntervalMilliseconds - shortestHeartbeatIntervalMilliseconds) * Math.max(0, share);
	return shortestHeartbeatIntervalMilliseconds + added;
}
