import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type EventLog} from '../process/event-log.js';
import {type HostMetrics} from '../process/host-metrics.js';
import {type InstanceEntry} from '../process/instance-entry.js';
import {CongestionWindow} from '../request/congestion-window.js';
import {FailureRate} from '../request/failure-rate.js';
import {compareWaiting, type WaitingRequest} from '../request/waiting-request.js';
import {PooledConnection, type SessionContext} from './pooled-connection.js';
import {ChannelFailure, type ChannelError, type UpstreamDialer} from './upstream-channel.js';

/** Time that a connection attempt may take, in milliseconds: a handshake takes 12 ms on a calm instance. */
const dialTimeoutMilliseconds = 1000;

/** Delay before another attempt after a failed one, in milliseconds. */
const dialBackoffMilliseconds = 100;

/** Delay before another attempt when the instance has no connection to spare, in milliseconds. */
const fullBackoffMilliseconds = 250;

/** Delay before another gateway is tried after one failed, in milliseconds. */
const relayBackoffMilliseconds = 20;

/**
 * Silence after which requests go elsewhere if they can, in milliseconds: several times a usual statement. It is much
 * shorter than the silence after which a primary is replaced, because a wrong guess costs only a detour.
 */
const unresponsiveMilliseconds = 250;

/** Silence after which a connection is opened to find out whether the instance can be reached, in milliseconds. */
const probeSilenceMilliseconds = 120;

/** Time after a sign of life in which an instance is not asked for another one, in milliseconds. */
const probeSpacingMilliseconds = 100;

/** Weight of a new measurement in the average of the service time. */
const serviceTimeWeight = 0.1;

/** Service time that is assumed before the first measurement, in milliseconds. */
const initialServiceTimeMilliseconds = 20;

/** Reasons why no connection was granted. */
export enum AcquireFailure {
	/** The deadline of the request passed. */
	Expired = 'expired',
	/** The instance is not reachable or gets no work at present. */
	Closed = 'closed',
}

/** How a host reaches an instance. */
export type InstanceRoute = {
	/** Greatest number of connections. */
	readonly maximumConnections: number;
	/** Opens connections through gateways; missing if the host connects to the instance itself. */
	readonly relay?: UpstreamDialer | undefined;
};

type Waiter = {
	readonly request: WaitingRequest;
	readonly context: SessionContext;
	readonly resolve: (outcome: PooledConnection | AcquireFailure) => void;
};

/** Connections of this host to one instance, and the requests that wait for one. */
export class InstancePool implements Disposable {
	/** Newest entry of the instance to which the connections lead. */
	instance: InstanceEntry;
	readonly #dialer: UpstreamDialer;
	readonly #timer: TimerService;
	readonly #log: EventLog;
	readonly #metrics: HostMetrics;
	#route: InstanceRoute;
	readonly #idle: PooledConnection[] = [];
	/** Connections in use, with the monotonic time at which the statement under way was sent; 0 between statements. */
	readonly #busy = new Map<PooledConnection, number>();
	#waiting: Waiter[] = [];
	/** Connection attempts that are under way. */
	#dialing = 0;
	#dialBlockedUntil = 0;
	#closed = false;
	#disposed = false;
	#lastHeardAt: number;
	#unreachableSince: number | undefined;
	/** Monotonic time of the first statement or connection attempt since the last sign of life. */
	#unansweredSince: number | undefined;
	#serviceTime = initialServiceTimeMilliseconds;
	readonly #window = new CongestionWindow(() => this.#route.maximumConnections);
	readonly #failures = new FailureRate();
	#drained: (() => void) | undefined;

	/**
	 * @param instance - Instance to connect to.
	 * @param dialer - Opens connections of this host.
	 * @param options - Services and the first route.
	 */
	constructor(instance: InstanceEntry, dialer: UpstreamDialer, options: {timer: TimerService; log: EventLog; metrics: HostMetrics; route: InstanceRoute}) {
		this.instance = instance;
		this.#dialer = dialer;
		this.#timer = options.timer;
		this.#log = options.log;
		this.#metrics = options.metrics;
		this.#route = options.route;
		this.#lastHeardAt = options.timer.now();
	}

	/** Monotonic time since which connection attempts have failed, or `undefined`. */
	get unreachableSince(): number | undefined {
		return this.#unreachableSince;
	}

	/** Whether the pool grants no connections because the instance is being replaced as the primary. */
	get closed(): boolean {
		return this.#closed;
	}

	/** Average time of a statement in milliseconds. */
	get serviceTime(): number {
		return this.#serviceTime;
	}

	/** Share of the statements that the instance failed lately, from 0 to 1. */
	get failureShare(): number {
		return this.#failures.get(this.#timer.now());
	}

	/** Requests of this host that use or await a connection. */
	get load(): number {
		return this.#busy.size + this.#waiting.length;
	}

	/** Whether gateways run the statements of this host. */
	get isRelayed(): boolean {
		return this.#route.relay !== undefined;
	}

	/** Changes the route; connections that do not belong to it are closed when they are returned. */
	setRoute(route: InstanceRoute): void {
		const {isRelayed} = this;
		this.#route = route;
		if (isRelayed !== this.isRelayed) {
			this.#log.write('instance-route', {instance: this.instance.id, group: this.instance.group, relayed: this.isRelayed});
			this.#closeIdle();
			this.#dialIfNeeded();
		}
	}

	/**
	 * Returns for how long the instance has answered nothing that was sent to it.
	 *
	 * @param now - Present monotonic time.
	 * @returns Milliseconds; 0 if nothing was sent since its last answer.
	 */
	getSilence(now: number): number {
		for (const connection of this.#busy.keys()) {
			if (connection.channel.lastReceivedAt > this.#lastHeardAt) {
				this.#heard(connection.channel.lastReceivedAt);
			}
		}

		return this.#unansweredSince === undefined ? 0 : now - this.#unansweredSince;
	}

	/** Returns whether requests that other instances can serve should go to this one. */
	isResponsive(now: number): boolean {
		return this.#unreachableSince === undefined && this.getSilence(now) < unresponsiveMilliseconds;
	}

	/**
	 * Grants a connection, in the order of urgency.
	 *
	 * @param request - Urgency and deadline.
	 * @param context - Session whose values the connection should preferably hold.
	 */
	async acquire(request: WaitingRequest, context: SessionContext): Promise<PooledConnection | AcquireFailure> {
		if (this.#closed || this.#disposed) {
			return AcquireFailure.Closed;
		}

		const idle = this.#waiting.length === 0 && this.#hasRoom() ? this.#takeIdle(context) : undefined;
		if (idle) {
			this.noteSent(idle);
			return idle;
		}

		return new Promise(resolve => {
			this.#waiting.push({request, context, resolve});
			this.#dialIfNeeded();
		});
	}

	/** Notes that a statement is sent on a connection. */
	noteSent(connection: PooledConnection): void {
		const now = this.#timer.now();
		this.#busy.set(connection, now);
		this.#unansweredSince ??= now;
	}

	/**
	 * Notes that a statement was answered.
	 *
	 * @param connection - Connection on which it ran.
	 * @param durationMilliseconds - Time from sending to the response; `undefined` if it says nothing about the load.
	 */
	noteAnswered(connection: PooledConnection, durationMilliseconds?: number): void {
		this.#busy.set(connection, 0);
		this.#heard();
		if (durationMilliseconds !== undefined) {
			this.#serviceTime += serviceTimeWeight * (durationMilliseconds - this.#serviceTime);
			this.#window.add(durationMilliseconds);
			this.#metrics.countInstanceResponse(this.instance.group, this.instance.id, durationMilliseconds);
		}

		// A transaction that rests between its statements leaves its place to others.
		this.#serveWaiting();
	}

	/** Notes whether the instance failed a statement for a reason that lies with it. */
	noteOutcome(failed: boolean): void {
		this.#failures.add(failed, this.#timer.now());
	}

	/** Returns a connection; it serves the next request, or is closed when it can't be used any more. */
	release(connection: PooledConnection): void {
		this.#busy.delete(connection);
		if (connection.channel.closed || this.#disposed || this.#closed || connection.isRelayed !== this.isRelayed
			|| this.#idle.length + this.#busy.size >= this.#route.maximumConnections) {
			connection.channel[Symbol.dispose]();
		} else {
			connection.channel.onClose = () => {
				this.#removeIdle(connection);
			};

			this.#idle.push(connection);
		}

		this.#serveWaiting();
		this.#settleDrain();
	}

	/**
	 * Stops granting connections. Requests that wait are answered `Closed`.
	 *
	 * @param graceMilliseconds - Time after which connections in use are closed.
	 * @returns Resolves when no connection is in use any more.
	 */
	async close(graceMilliseconds: number): Promise<void> {
		this.#closed = true;
		this.#rejectWaiting(AcquireFailure.Closed);
		this.#closeIdle();
		if (this.#busy.size === 0) {
			return;
		}

		const drained = new Promise<void>(resolve => {
			this.#drained = resolve;
		});
		using _timer = this.#timer.schedule(graceMilliseconds, () => {
			for (const connection of this.#busy.keys()) {
				connection.channel[Symbol.dispose]();
			}

			this.#drained?.();
		});
		await drained;
	}

	/** Grants connections again after `close`. What was observed before says nothing about the instance any more. */
	reopen(): void {
		this.#closed = false;
		this.#unansweredSince = undefined;
		this.#unreachableSince = undefined;
	}

	/** Opens a connection in advance if there is none. */
	warmUp(): void {
		if (this.#idle.length + this.#busy.size + this.#dialing === 0 && !this.#closed) {
			void this.#dial();
		}
	}

	/** Opens a connection to find out whether the instance answers, unless something is outstanding anyway. */
	probe(): void {
		const isRecent = this.#timer.now() - this.#lastHeardAt < probeSpacingMilliseconds;
		if (this.#unansweredSince === undefined && !isRecent && !this.#closed && !this.#disposed) {
			void this.#dialDirectly();
		}
	}

	/** Ends waits whose deadline has passed and retries connection attempts. Called at a fixed interval. */
	sweep(now: number): void {
		if (this.#waiting.length > 0 && !this.isResponsive(now)) {
			this.#rejectWaiting(AcquireFailure.Closed);
		}

		if (this.#waiting.length > 0) {
			const expired = this.#waiting.filter(waiter => waiter.request.deadline <= now);
			if (expired.length > 0) {
				this.#waiting = this.#waiting.filter(waiter => waiter.request.deadline > now);
				for (const waiter of expired) {
					waiter.resolve(AcquireFailure.Expired);
				}
			}

			this.#dialIfNeeded();
		}

		// A connection that is accepted tells a slow instance from one that can't be reached.
		if (this.getSilence(now) >= probeSilenceMilliseconds && this.#dialing === 0 && now >= this.#dialBlockedUntil && !this.#closed) {
			void this.#dialDirectly();
		}
	}

	[Symbol.dispose](): void {
		this.#disposed = true;
		this.#rejectWaiting(AcquireFailure.Closed);
		this.#closeIdle();
	}

	#closeIdle(): void {
		for (const connection of this.#idle.splice(0)) {
			connection.channel[Symbol.dispose]();
		}
	}

	#rejectWaiting(failure: AcquireFailure): void {
		for (const waiter of this.#waiting.splice(0)) {
			waiter.resolve(failure);
		}
	}

	#takeIdle(context: SessionContext): PooledConnection | undefined {
		while (this.#idle.length > 0) {
			let index = this.#idle.findIndex(connection => connection.matches(context));
			if (index === -1) {
				index = this.#idle.length - 1;
			}

			const [connection] = this.#idle.splice(index, 1);
			if (connection && !connection.channel.closed) {
				connection.channel.onClose = undefined;
				return connection;
			}
		}

		return undefined;
	}

	/** Whether one more statement may be sent now. */
	#hasRoom(): boolean {
		let sent = 0;
		for (const sentAt of this.#busy.values()) {
			sent += Number(sentAt > 0);
		}

		return sent < this.#window.size;
	}

	#removeIdle(connection: PooledConnection): void {
		const index = this.#idle.indexOf(connection);
		if (index !== -1) {
			this.#idle.splice(index, 1);
		}
	}

	#serveWaiting(): void {
		while (this.#waiting.length > 0 && this.#idle.length > 0 && this.#hasRoom()) {
			const now = this.#timer.now();
			let best = 0;
			for (let index = 1; index < this.#waiting.length; index++) {
				if (compareWaiting(this.#waiting[index]!.request, this.#waiting[best]!.request, now) < 0) {
					best = index;
				}
			}

			const waiter = this.#waiting[best]!;
			const connection = this.#takeIdle(waiter.context);
			if (!connection) {
				break;
			}

			this.#waiting.splice(best, 1);
			this.noteSent(connection);
			waiter.resolve(connection);
		}

		this.#dialIfNeeded();
	}

	#dialIfNeeded(): void {
		while (!this.#closed && !this.#disposed
			&& this.#waiting.length > this.#dialing
			&& this.#hasRoom()
			&& this.#idle.length + this.#busy.size + this.#dialing < this.#route.maximumConnections
			&& this.#timer.now() >= this.#dialBlockedUntil) {
			void this.#dial();
		}
	}

	async #dial(): Promise<void> {
		await (this.#route.relay ? this.#dialGateway(this.#route.relay) : this.#dialDirectly());
	}

	/** Opens a connection of this host. If gateways serve it, the connection only shows whether the instance answers. */
	async #dialDirectly(): Promise<void> {
		const startedAt = this.#timer.now();
		this.#dialing++;
		this.#unansweredSince ??= startedAt;
		const outcome = await this.#dialer.dial(this.instance, dialTimeoutMilliseconds, () => {
			this.#heard();
		});
		this.#dialing--;
		this.#metrics.countConnection(this.instance.group, outcome.isOk() ? 'opened' : outcome.error.failure);
		if (outcome.isErr()) {
			this.#handleDialFailure(outcome.error, startedAt);
			return;
		}

		this.#heard();
		this.#add(new PooledConnection(outcome.value));
	}

	/** Opens a connection through a gateway. Its failure says nothing about the instance. */
	async #dialGateway(relay: UpstreamDialer): Promise<void> {
		this.#dialing++;
		const outcome = await relay.dial(this.instance, dialTimeoutMilliseconds);
		this.#dialing--;
		this.#metrics.countConnection(this.instance.group, outcome.isOk() ? 'relayed' : 'not-relayed');
		if (outcome.isErr()) {
			this.#dialBlockedUntil = this.#timer.now() + relayBackoffMilliseconds;
			return;
		}

		this.#add(new PooledConnection(outcome.value, true));
	}

	#add(connection: PooledConnection): void {
		this.#busy.set(connection, 0);
		this.release(connection);
	}

	#handleDialFailure(error: ChannelError, startedAt: number): void {
		const now = this.#timer.now();
		if (error.failure === ChannelFailure.TooManyConnections) {
			this.#heard();
			this.#dialBlockedUntil = now + fullBackoffMilliseconds;
		} else {
			this.#dialBlockedUntil = now + dialBackoffMilliseconds;
			if (this.#unreachableSince === undefined) {
				this.#unreachableSince = startedAt;
				this.#log.write('instance-unreachable', {instance: this.instance.id, group: this.instance.group, reason: error.message});
			}
		}

		if (this.#idle.length + this.#busy.size === 0 && error.failure !== ChannelFailure.TooManyConnections) {
			this.#rejectWaiting(AcquireFailure.Closed);
		}
	}

	#heard(at = this.#timer.now()): void {
		this.#lastHeardAt = at;
		const isOutstanding = this.#dialing > 0 || [...this.#busy.values()].some(sentAt => sentAt > 0);
		this.#unansweredSince = isOutstanding ? at : undefined;
		if (this.#unreachableSince !== undefined) {
			this.#log.write('instance-reachable', {
				instance: this.instance.id, group: this.instance.group, unreachableMilliseconds: Math.round(this.#lastHeardAt - this.#unreachableSince),
			});
			this.#unreachableSince = undefined;
		}
	}

	#settleDrain(): void {
		if (this.#busy.size === 0) {
			this.#drained?.();
			this.#drained = undefined;
		}
	}
}
