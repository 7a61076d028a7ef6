import {getRendezvousWeight} from '@tarragonstack/core/request/rendezvous-hash';
import {getConnectionShare, reservedConnections} from './connection-share.js';

/**
 * Minimum connections with which a host uses an instance directly. With a single one, a transaction that is idle between
 * two statements would block all other statements of its host.
 */
const minimumConnections = 2;

/**
 * Connections of a gateway per slot of the instance. A third of them run statements; the others are held by transactions
 * that are idle between two statements, or belong to workspaces that have no statement at the moment.
 */
const connectionsPerSlot = 3;

/**
 * Share of the connection limit that is left to substitutes of lost gateways. The instance may count the connections of a
 * lost gateway until it notices the loss.
 */
const substituteShare = 0.25;

/** Substitutes that are planned for each zone. If half of all hosts fail, each of a zone's fails in one of eight cases. */
const substitutesPerZone = 3;

/**
 * Statements that all gateways together may have in flight per slot. With 2 (3 gateways with 4 each at 6 slots), 68% of the
 * second priority were on time at 1.7 times the capacity, with 3 only 59%, and with 1 the slots are idle while one gateway
 * has more than its part of the load.
 */
const inFlightPerSlot = 2;

/** Least number of statements that a gateway may have in flight. */
const minimumInFlight = 2;

/** Capacity of a host that has not stated any, in cores. It is below that of the smallest hosts. */
const minimumCapacity = 0.1;

/** Upper bound of the rendezvous weights, which have 48 bits. */
const weightRange = 2 ** 48;

/** Host that may serve as a gateway to an instance. */
export type GatewayCandidate = {
	readonly name: string;
	readonly availabilityZone: string;
	/** Processor time that the host may use, in cores. */
	readonly capacity: number;
};

/** Instance whose connections the hosts share. */
export type PlannedInstance = {
	readonly id: string;
	/** Connections that the instance accepts from all hosts together. */
	readonly connectionLimit: number;
	/** Number of statements that the instance runs concurrently. */
	readonly slots: number;
};

/** Gateways of an instance, and what takes their place. */
export type GatewayPlan = {
	/** Names of the hosts that connect directly. */
	readonly gateways: ReadonlySet<string>;
	/** Hosts that hosts ask after the gateways of a zone failed, by name; 1 is the first one of a zone. */
	readonly substituteRanks: ReadonlyMap<string, number>;
	/** Statements that a gateway, or a substitute, may have in flight: at most the slots of the instance. */
	readonly inFlight: number;
	/** Connections that a host may open as a substitute. */
	readonly substituteConnections: number;
};

/** How the hosts share the connections of one instance. */
export type ConnectionPlan = {
	/** Connections that a directly connected host may keep open. */
	readonly connections: number;
	/** Gateways, or `undefined` if all hosts connect directly. */
	readonly relay?: GatewayPlan;
};

/**
 * Plans which hosts connect to an instance. If the instance accepts too few connections for all hosts, a few hosts connect
 * to it and forward the statements of the others: as many as keep three connections per slot each, at least one in each
 * zone. The result depends only on the arguments, so hosts with the same view of the fleet choose the same gateways.
 *
 * Answers the load of a fleet that is much larger than an instance (72 hosts at 6 slots), where statements that arrive through
 * many gateways with few connections each are queued by the instance, in order of arrival, instead of by their priority.
 *
 * @param instance - Instance.
 * @param hosts - Registered hosts.
 * @param getWeight - Returns the rendezvous weight of a host for an instance, for example from a cache.
 */
export function planConnections({id, connectionLimit, slots}: PlannedInstance, hosts: readonly GatewayCandidate[], getWeight = getRendezvousWeight): ConnectionPlan {
	const share = getConnectionShare(connectionLimit, hosts.length);
	if (share >= minimumConnections || hosts.length === 0) {
		return {connections: share};
	}

	const available = connectionLimit - reservedConnections;
	const planned = Math.max(1, available - Math.floor(connectionLimit * substituteShare));
	const gatewayCount = Math.floor(planned / (connectionsPerSlot * Math.max(1, slots)));
	const gateways = new Set<string>();
	const substituteRanks = new Map<string, number>();
	const zones = new Set(hosts.map(({availabilityZone}) => availabilityZone));
	for (const zone of zones) {
		const ranked = rankByWeight(id, hosts.filter(({availabilityZone}) => availabilityZone === zone), getWeight);
		const quota = Math.max(1, Math.floor(gatewayCount * ranked.length / hosts.length));
		for (const [index, {name}] of ranked.slice(0, quota + substitutesPerZone).entries()) {
			if (index < quota) {
				gateways.add(name);
			} else {
				substituteRanks.set(name, index - quota + 1);
			}
		}
	}

	const least = Math.min(minimumConnections, Math.floor(available / gateways.size));
	const connections = Math.max(1, least, Math.floor(planned / gateways.size));
	const rest = available - (connections * gateways.size);
	const substituteConnections = Math.max(1, Math.min(slots, Math.floor(rest / zones.size)));
	const inFlight = Math.max(1, Math.min(slots, Math.max(minimumInFlight, Math.ceil(inFlightPerSlot * slots / gateways.size))));
	return {connections, relay: {gateways, substituteRanks, inFlight, substituteConnections}};
}

/** Gateway, or substitute of one, that a host may choose. */
export type RankedGateway = GatewayCandidate & {
	/** Rank among the substitutes of its zone; 0 for a gateway. */
	readonly substituteRank: number;
};

/** Host that needs a gateway, and the instance that it wants to reach. */
export type GatewayQuery = {
	readonly hostName: string;
	readonly availabilityZone: string;
	readonly instance: string;
	/** Workspace whose statements are sent, if any. */
	readonly workspace?: string | undefined;
	/** Returns whether a gateway failed recently and is avoided. */
	isAvoided(name: string): boolean;
};

/**
 * Chooses the gateway through which a host reaches an instance. Hosts of the host's own zone are preferred, because traffic
 * between zones is billed and a partition may isolate a zone: first its gateways, then their substitutes in the order that
 * all hosts share, so that the statements of the zone meet at one of them. The gateways of other zones come after these.
 *
 * Several gateways of a zone divide the workspaces, because a connection to the instance serves a single workspace and a new
 * one occupies a slot for 12 ms. Statements without a workspace are divided by host.
 *
 * @param gateways - Gateways of the instance and their substitutes.
 * @param query - Host that needs a gateway, and the instance.
 * @returns The gateway, or `undefined` if there is none apart from the host itself, or all others failed recently.
 */
export function chooseGateway<Gateway extends RankedGateway>(gateways: readonly Gateway[], query: GatewayQuery): Gateway | undefined {
	const usable = gateways.filter(({name}) => name !== query.hostName && !query.isAvoided(name));
	const local = usable.filter(({availabilityZone}) => availabilityZone === query.availabilityZone);
	const nearest = local.length > 0 ? local : usable;
	const bestRank = Math.min(...nearest.map(({substituteRank}) => substituteRank));
	const key = query.workspace === undefined ? `${query.hostName} ${query.instance}` : `workspace ${query.workspace} ${query.instance}`;
	return rankByWeight(key, nearest.filter(({substituteRank}) => substituteRank === bestRank))[0];
}

/**
 * Sorts hosts by weighted rendezvous hashing, in descending order: a host comes first with a probability that is
 * proportional to its capacity, and a host that leaves changes the order of no others.
 */
function rankByWeight<Candidate extends GatewayCandidate>(key: string, candidates: readonly Candidate[], getWeight = getRendezvousWeight): Candidate[] {
	return candidates
		.map(candidate => ({candidate, score: -Math.max(minimumCapacity, candidate.capacity) / Math.log((getWeight(key, candidate.name) + 1) / (weightRange + 1))}))
		.toSorted((left, right) => (right.score - left.score) || (left.candidate.name < right.candidate.name ? -1 : 1))
		.map(({candidate}) => candidate);
}
