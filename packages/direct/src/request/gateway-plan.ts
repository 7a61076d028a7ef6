import {getRendezvousWeight} from '@tarragonstack/core/request/rendezvous-hash';
import {getConnectionShare, reservedConnections} from './connection-share.js';

/**
 * Connections that a host must be able to keep to an instance to use it directly. With a single one, a transaction that
 * rests between two statements would hold up all others of its host.
 */
const minimumConnections = 2;

/** Host that may serve as a gateway. */
export type GatewayCandidate = {
	readonly name: string;
	readonly availabilityZone: string;
};

/** How the hosts share the connections of one instance. */
export type ConnectionPlan = {
	/** Connections that a host with a connection of its own may keep. */
	readonly connections: number;
	/** Names of the hosts with connections of their own, or `undefined` if all hosts have them. */
	readonly gateways?: ReadonlySet<string>;
};

/**
 * Plans who connects to an instance. If the instance has too few connections for all hosts, some hosts of each zone
 * connect to it and run the statements of the others. All hosts that know the same hosts choose the same gateways.
 *
 * @param instance - Identifier of the instance.
 * @param connectionLimit - Connections that the instance accepts from all hosts together.
 * @param hosts - Registered hosts.
 */
export function planConnections(instance: string, connectionLimit: number, hosts: readonly GatewayCandidate[]): ConnectionPlan {
	const share = getConnectionShare(connectionLimit, hosts.length);
	if (share >= minimumConnections || hosts.length === 0) {
		return {connections: share};
	}

	const total = Math.max(1, Math.floor((connectionLimit - reservedConnections) / minimumConnections));
	const gateways = new Set<string>();
	for (const zone of new Set(hosts.map(({availabilityZone}) => availabilityZone))) {
		const names = hosts.filter(({availabilityZone}) => availabilityZone === zone).map(({name}) => name);
		const quota = Math.max(1, Math.floor(total * names.length / hosts.length));
		for (const name of rankByWeight(instance, names).slice(0, quota)) {
			gateways.add(name);
		}
	}

	return {connections: minimumConnections, gateways};
}

/** What a host needs to know to choose a gateway. */
export type GatewayChoice = {
	readonly hostName: string;
	readonly availabilityZone: string;
	readonly instance: string;
	/** Returns whether a gateway has failed recently. */
	isAvoided(name: string): boolean;
};

/**
 * Chooses the gateway through which a host reaches an instance. Gateways of the own zone come first, because bytes
 * between zones are priced and a zone may be cut off. The hosts of a zone spread over its gateways.
 *
 * @param gateways - Gateways of the instance.
 * @param choice - Host that chooses.
 * @returns The gateway, or `undefined` if there is none that has not failed recently.
 */
export function chooseGateway<Gateway extends GatewayCandidate>(gateways: readonly Gateway[], choice: GatewayChoice): Gateway | undefined {
	const usable = gateways.filter(({name}) => name !== choice.hostName && !choice.isAvoided(name));
	const local = usable.filter(({availabilityZone}) => availabilityZone === choice.availabilityZone);
	const candidates = new Map((local.length > 0 ? local : usable).map(gateway => [gateway.name, gateway]));
	const [first] = rankByWeight(`${choice.hostName} ${choice.instance}`, [...candidates.keys()]);
	return first === undefined ? undefined : candidates.get(first);
}

/** Orders names by their weight for a key, the greatest first. */
function rankByWeight(key: string, names: readonly string[]): string[] {
	return names
		.map(name => ({name, weight: getRendezvousWeight(key, name)}))
		.toSorted((left, right) => (right.weight - left.weight) || (left.name < right.name ? -1 : 1))
		.map(({name}) => name);
}
