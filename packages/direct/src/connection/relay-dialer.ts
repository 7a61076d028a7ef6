import {connect} from 'node:net';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {err, ok, type Result} from 'neverthrow';
import {type EventLog} from '../process/event-log.js';
import {type InstanceEntry} from '../process/instance-entry.js';
import {chooseGateway, type RankedGateway} from '../request/gateway-plan.js';
import {RelayChannel} from './relay-channel.js';
import {type GatewayDialer} from './instance-route.js';
import {ChannelFailure, type ChannelError, type DialOptions, type UpstreamChannel} from './upstream-channel.js';

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
export type Gateway = RankedGateway & {
	/** Address of its peer listener, in the form `host:port`. */
	readonly address: string;
};

/** Services of a `RelayDialer`. */
export type RelayDialerOptions = {
	readonly hostName: string;
	readonly availabilityZone: string;
	readonly timer: TimerService;
	readonly log: EventLog;
	/** Returns the gateways of an instance and their substitutes. */
	getGateways(instance: string): readonly Gateway[];
};

/** Opens connections to instances through gateways. */
export class RelayDialer implements GatewayDialer {
	readonly #options: RelayDialerOptions;
	/** Gateways that failed, by name. */
	readonly #avoidances = new Map<string, Avoidance>();
	/** Monotonic time of the last message of each gateway. */
	readonly #heardAt = new Map<string, number>();

	/**
	 * @param options - Services.
	 */
	constructor(options: RelayDialerOptions) {
		this.#options = options;
	}

	/** @inheritdoc */
	async dial(instance: InstanceEntry, _timeoutMilliseconds?: number, options?: DialOptions): Promise<Result<UpstreamChannel, ChannelError>> {
		const {timer} = this.#options;
		const gateway = this.#choose(this.#options.getGateways(instance.id), instance.id, options?.workspace);
		if (!gateway) {
			return err({failure: ChannelFailure.NotRelayed, message: 'no gateway is available'});
		}

		const separator = gateway.address.lastIndexOf(':');
		const socket = connect({host: gateway.address.slice(0, separator), port: Number(gateway.address.slice(separator + 1))});
		const channel = new RelayChannel(socket, timer, gateway.name);
		channel.onReceive = () => {
			this.#heardAt.set(gateway.name, timer.now());
		};

		channel.onTimeout = sentAt => {
			// A gateway that answered others meanwhile works; the statement has waited there, or the instance has not responded.
			if ((this.#heardAt.get(gateway.name) ?? Number.NEGATIVE_INFINITY) < sentAt) {
				this.#avoid(gateway.name, instance.id, {reason: 'no response in time', exclusionMilliseconds: avoidanceMilliseconds});
			}
		};

		const outcome = await channel.open(instance.id, timer.now() + openTimeoutMilliseconds);
		if (outcome.isErr()) {
			const {failure, message} = outcome.error;
			this.#avoid(gateway.name, instance.id, {
				reason: message, exclusionMilliseconds: failure === ChannelFailure.NotRelayed ? refusalMilliseconds : avoidanceMilliseconds,
			});
			return err(outcome.error);
		}

		return ok(channel);
	}

	/** @inheritdoc */
	getPreferredGateway(instance: string, workspace: string | undefined): string | undefined {
		return workspace === undefined ? undefined : this.#choose(this.#options.getGateways(instance), instance, workspace)?.name;
	}

	/** Chooses a gateway that has not failed recently, or else one that may be asked again. */
	#choose(gateways: readonly Gateway[], instance: string, workspace: string | undefined): Gateway | undefined {
		const {timer, hostName, availabilityZone} = this.#options;
		const now = timer.now();
		const query = {hostName, availabilityZone, instance, workspace};
		return chooseGateway(gateways, {...query, isAvoided: name => now < (this.#avoidances.get(name)?.until ?? 0)})
			?? chooseGateway(gateways, {...query, isAvoided: name => now < (this.#avoidances.get(name)?.excludedUntil ?? 0)});
	}

	#avoid(gateway: string, instance: string, {reason, exclusionMilliseconds}: {reason: string; exclusionMilliseconds: number}): void {
		const now = this.#options.timer.now();
		this.#avoidances.set(gateway, {until: now + avoidanceMilliseconds, excludedUntil: now + exclusionMilliseconds});
		this.#options.log.write('gateway-avoided', {gateway, instance, reason});
	}
}
