import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type InstanceRoute} from '../connection/instance-route.js';
import {type Gateway, RelayDialer} from '../connection/relay-dialer.js';
import {type ConnectionPlan, planConnections, type PlannedInstance} from '../request/gateway-plan.js';
import {RendezvousWeights} from '../request/rendezvous-weights.js';
import {type EventLog} from './event-log.js';
import {type FleetView} from './fleet-view.js';
import {type InstanceEntry} from './instance-entry.js';

/**
 * Maximum connections of a host to one instance through gateways; each runs, or waits for, one statement or transaction at a
 * time. There are enough that statements wait at the gateway, in the order of all hosts, and not at the host that sends them.
 */
const relayedConnections = 32;

/** Those that the statements of one workspace and priority may use. The others remain for what is more urgent than a flood. */
const relayedConnectionsPerFlow = 8;

/** Dependencies of `ConnectionRoutes`. */
export type ConnectionRoutesOptions = {
	readonly hostName: string;
	readonly availabilityZone: string;
	readonly timer: TimerService;
	readonly log: EventLog;
	readonly fleet: FleetView;
};

type CachedPlan = {
	readonly plan: ConnectionPlan;
	readonly instance: PlannedInstance;
	/** Value of `FleetView.membershipChanges` for which the plan was made. */
	readonly membershipChanges: number;
};

/** Determines whether this host connects to an instance directly or through gateways. */
export class ConnectionRoutes {
	readonly #options: ConnectionRoutesOptions;
	readonly #plans = new Map<string, CachedPlan>();
	readonly #weights = new RendezvousWeights();
	readonly #gatewayDialer: RelayDialer;

	/**
	 * @param options - Identity of the host and dependencies.
	 */
	constructor(options: ConnectionRoutesOptions) {
		this.#options = options;
		this.#gatewayDialer = new RelayDialer({...options, getGateways: instance => this.#getGateways(instance)});
	}

	/**
	 * Returns the route to an instance.
	 *
	 * @param instance - Entry of the instance.
	 * @param connectionLimit - Connections that the instance accepts from all hosts together.
	 */
	getRoute({id, slots}: InstanceEntry, connectionLimit: number): InstanceRoute {
		const {connections, relay} = this.#getPlan({id, slots, connectionLimit});
		if (!relay) {
			return {maximumConnections: connections};
		}

		return relay.gateways.has(this.#options.hostName)
			? {maximumConnections: connections, maximumInFlight: relay.inFlight}
			: {maximumConnections: relayedConnections, maximumPerFlow: relayedConnectionsPerFlow, gatewayDialer: this.#gatewayDialer};
	}

	/**
	 * Returns the route on which this host sends statements of other hosts to an instance that it reaches through gateways
	 * itself, or `undefined` if all hosts connect to the instance directly.
	 *
	 * @param id - Identifier of the instance.
	 */
	getSubstituteRoute(id: string): InstanceRoute | undefined {
		const relay = this.#plans.get(id)?.plan.relay;
		return relay && {maximumConnections: relay.substituteConnections, maximumInFlight: relay.inFlight};
	}

	/** Discards the cached plan of an instance that was removed. */
	forget(instance: string): void {
		this.#plans.delete(instance);
		this.#weights.forget(instance);
	}

	#getPlan(instance: PlannedInstance): ConnectionPlan {
		const {fleet: {hosts, membershipChanges}} = this.#options;
		const cached = this.#plans.get(instance.id);
		if (cached?.membershipChanges === membershipChanges && cached.instance.connectionLimit === instance.connectionLimit && cached.instance.slots === instance.slots) {
			return cached.plan;
		}

		const candidates = [...hosts].map(([name, {record: {availabilityZone, capacity}}]) => ({name, availabilityZone, capacity}));
		const plan = planConnections(instance, candidates, (key, candidate) => this.#weights.get(key, candidate));
		this.#plans.set(instance.id, {plan, instance, membershipChanges});
		return plan;
	}

	#getGateways(instance: string): Gateway[] {
		const {hosts} = this.#options.fleet;
		const relay = this.#plans.get(instance)?.plan.relay;
		const names = relay ? [...relay.gateways, ...relay.substituteRanks.keys()] : [];
		return names.flatMap(name => {
			const record = hosts.get(name)?.record;
			const substituteRank = relay?.substituteRanks.get(name) ?? 0;
			return record ? [{name, availabilityZone: record.availabilityZone, capacity: record.capacity, address: record.peerAddress, substituteRank}] : [];
		});
	}
}
