import {connect} from 'node:net';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {err, ok, type Result} from 'neverthrow';
import {type EventLog} from '../process/event-log.js';
import {type InstanceEntry} from '../process/instance-entry.js';
import {chooseGateway, type GatewayCandidate} from '../request/gateway-plan.js';
import {RelayChannel} from './relay-channel.js';
import {ChannelFailure, type ChannelError, type UpstreamChannel, type UpstreamDialer} from './upstream-channel.js';

/** Timeout for opening a channel through a gateway, in milliseconds. The latency between hosts is a few milliseconds. */
const openTimeoutMilliseconds = 200;

/** Time for which a failed gateway is not chosen, in milliseconds. A restart of its process takes about as long. */
const avoidanceMilliseconds = 1000;

/**
 * Time after which a gateway that refused is asked again if no other one is left, in milliseconds. It may have learned of the
 * instance since.
 */
const refusalMilliseconds = 100;

type Avoidance = {
	/** Monotonic time until which other gateways are preferred. */
	readonly until: number;
	/** Monotonic time until which the gateway is not chosen even if there is no other one. */
	readonly excludedUntil: number;
};

/** Gateway candidate with its address. */
export type Gateway = GatewayCandidate & {
	/** Address of its peer listener, in the form `host:port`. */
	readonly address: string;
};

/** Services of a `RelayDialer`. */
export type RelayDialerOptions = {
	readonly hostName: string;
	readonly availabilityZone: string;
	readonly timer: TimerService;
	readonly log: EventLog;
	/** Returns the gateways of an instance. */
	getGateways(instance: string): readonly Gateway[];
};

/** Opens connections to instances through gateways. */
export class RelayDialer implements UpstreamDialer {
	readonly #options: RelayDialerOptions;
	/** Gateways that failed, by name. */
	readonly #avoidances = new Map<string, Avoidance>();

	/**
	 * @param options - Services.
	 */
	constructor(options: RelayDialerOptions) {
		this.#options = options;
	}

	/** @inheritdoc */
	async dial(instance: InstanceEntry): Promise<Result<UpstreamChannel, ChannelError>> {
		const {timer, hostName, availabilityZone, getGateways} = this.#options;
		const now = timer.now();
		const gateways = getGateways(instance.id);
		const query = {hostName, availabilityZone, instance: instance.id};
		const gateway = chooseGateway(gateways, {...query, isAvoided: name => now < (this.#avoidances.get(name)?.until ?? 0)})
			?? chooseGateway(gateways, {...query, isAvoided: name => now < (this.#avoidances.get(name)?.excludedUntil ?? 0)});
		if (!gateway) {
			return err({failure: ChannelFailure.NotRelayed, message: 'no gateway is available'});
		}

		const separator = gateway.address.lastIndexOf(':');
		const socket = connect({host: gateway.address.slice(0, separator), port: Number(gateway.address.slice(separator + 1))});
		const channel = new RelayChannel(socket, timer);
		channel.onTimeout = () => {
			this.#avoid(gateway.name, instance.id, {reason: 'no response in time', exclusionMilliseconds: avoidanceMilliseconds});
		};

		const outcome = await channel.open(instance.id, now + openTimeoutMilliseconds);
		if (outcome.isErr()) {
			const {failure, message} = outcome.error;
			this.#avoid(gateway.name, instance.id, {
				reason: message, exclusionMilliseconds: failure === ChannelFailure.NotRelayed ? refusalMilliseconds : avoidanceMilliseconds,
			});
			return err(outcome.error);
		}

		return ok(channel);
	}

	#avoid(gateway: string, instance: string, {reason, exclusionMilliseconds}: {reason: string; exclusionMilliseconds: number}): void {
		const now = this.#options.timer.now();
		this.#avoidances.set(gateway, {until: now + avoidanceMilliseconds, excludedUntil: now + exclusionMilliseconds});
		this.#options.log.write('gateway-avoided', {gateway, instance, reason});
	}
}
