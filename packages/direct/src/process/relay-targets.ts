import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {InstancePool} from '../connection/instance-pool.js';
import {type RelayTarget} from '../connection/relay-server-connection.js';
import {type DirectDialer} from '../connection/upstream-channel.js';
import {type ConnectionRoutes} from './connection-routes.js';
import {type EventLog} from './event-log.js';
import {type HostMetrics} from './host-metrics.js';
import {type InstanceGroupState, type KnownInstance} from './instance-group-state.js';

/**
 * Time without use after which the connections of a substitute are closed, in milliseconds. Hosts return to their gateways
 * within 2 s, and may need the substitute again if these are still lost.
 */
const unusedMilliseconds = 5000;

/** Dependencies of `RelayTargets`. */
export type RelayTargetsOptions = {
	/** Opens direct connections. */
	readonly dialer: DirectDialer;
	readonly timer: TimerService;
	readonly log: EventLog;
	readonly metrics: HostMetrics;
	readonly routes: ConnectionRoutes;
	/** Configured groups by name. */
	readonly groups: ReadonlyMap<string, InstanceGroupState>;
};

/**
 * Connections that this host makes available to other hosts. A host that is no gateway by its own plan accepts as a substitute,
 * because the gateways may be lost, or the other host may have another view of the fleet. It opens a few direct connections
 * of its own for that: if it used its gateways, two hosts could relay a statement back and forth.
 */
export class RelayTargets {
	readonly #options: RelayTargetsOptions;

	/**
	 * @param options - Dependencies.
	 */
	constructor(options: RelayTargetsOptions) {
		this.#options = options;
	}

	/** Returns the direct connections to an instance, or `undefined` if the instance is unknown or being replaced as the primary. */
	findTarget(instance: string): RelayTarget | undefined {
		for (const group of this.#options.groups.values()) {
			const known = group.instances.get(instance);
			if (known) {
				const substitute = known.pool.usesGateway ? this.#getSubstitute(known) : undefined;
				const pool = known.pool.usesGateway ? substitute : known.pool;
				return pool && {pool, isSubstitute: substitute !== undefined, isReignCurrent: reign => group.isReignCurrent(reign)};
			}
		}

		return undefined;
	}

	/** Checks the connections of substitutes, and closes those that are no longer used. Called periodically. */
	sweep(now: number): void {
		for (const group of this.#options.groups.values()) {
			for (const known of group.instances.values()) {
				const {substitute} = known;
				if (!substitute) {
					continue;
				}

				substitute.pool.sweep(now);
				if (substitute.pool.load > 0) {
					substitute.usedAt = now;
				} else if (now - substitute.usedAt > unusedMilliseconds) {
					substitute.pool[Symbol.dispose]();
					delete known.substitute;
				}
			}
		}
	}

	#getSubstitute(known: KnownInstance): InstancePool | undefined {
		const {dialer, timer, log, metrics, routes} = this.#options;
		const {instance, closed} = known.pool;
		const route = routes.getSubstituteRoute(instance.id);
		if (closed || !route) {
			return undefined;
		}

		if (!known.substitute) {
			log.write('gateway-substituted', {instance: instance.id, group: instance.group, connections: route.maximumConnections});
			known.substitute = {pool: new InstancePool(instance, dialer, {timer, log, metrics, route}), usedAt: timer.now()};
		}

		known.substitute.usedAt = timer.now();
		return known.substitute.pool;
	}
}
