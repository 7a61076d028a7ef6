import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type EventLog} from '../process/event-log.js';
import {type HostMetrics} from '../process/host-metrics.js';
import {type InstanceEntry} from '../process/instance-entry.js';
import {CongestionWindow} from '../request/congestion-window.js';
import {FailureRate} from '../request/failure-rate.js';
import {findUnprovenConnections} from '../request/unproven-connections.js';
import {compareWaiting, type WaitingRequest} from '../request/waiting-request.js';
import {PooledConnection, type SessionContext} from './pooled-connection.js';
import {ChannelFailure, type ChannelError, type UpstreamDialer} from './upstream-channel.js';

/** Timeout of a connection attempt, in milliseconds. A handshake takes 12 ms on an idle instance. */
const dialTimeoutMilliseconds = 1000;

/** Delay before the next connection attempt after a failed one, in milliseconds. */
const dialBackoffMilliseconds = 100;

/** Delay before the next connection attempt after the instance has reached its connection limit, in milliseconds. */
const connectionLimitBackoffMilliseconds = 250;

/** Delay before another gateway is tried after a failed one, in milliseconds. */
const gatewayBackoffMilliseconds = 20;

/**
 * Time without a response after which requests are sent to other instances if possible, in milliseconds: several times
 * the duration of a typical statement. It is much shorter than the time after which a primary is replaced, because a
 * false positive costs little: new requests are sent elsewhere, and waiting ones are rejected before anything was sent.
 */
const unresponsiveThresholdMilliseconds = 250;

/**
 * Time without a response after which a connection is opened to check the reachability, in milliseconds. A new connection takes
 * a slot of the instance for half as long as a statement, so statements that queue must not cause one each. The check has to
 * start one interval of the periodic checks and a round trip before `unresponsiveThresholdMilliseconds`.
 */
const probeThresholdMilliseconds = 180;

/** The same time for a primary that another host suspects, in milliseconds. This host would soon suspect it as well. */
const doubtedProbeThresholdMilliseconds = 120;

/** Time after the last activity of an instance in which it is not probed, in milliseconds. */
const minimumIdleBeforeProbeMilliseconds = 100;

/** Weight of a new sample in the exponential moving average of the response time. */
const responseTimeWeight = 0.1;

/** Response time that is assumed before the first sample, in milliseconds. */
const initialResponseTimeMilliseconds = 20;

/** Reasons why no connection was granted. */
export enum AcquireFailure {
	/** The deadline of the request passed. */
	Expired = 'expired',
	/** The instance does not respond, or the pool is closed. */
	Unavailable = 'closed',
}

/** Route from a host to an instance. */
export type InstanceRoute = {
	/** Maximum number of connections. */
	readonly maximumConnections: number;
	/** Opens connections through gateways; missing if the host connects to the instance directly. */
	readonly gatewayDialer?: UpstreamDialer | undefined;
};

type Waiter = {
	readonly request: WaitingRequest;
	readonly context: SessionContext;
	readonly resolve: (outcome: PooledConnection | AcquireFailure) => void;
};

/** Pool of this host's connections to one instance, with the queue of requests that wait for a connection. */
export class InstancePool implements Disposable {
	/** Latest entry of the instance to which the pool connects. */
	instance: InstanceEntry;
	/** Whether another host suspects that the instance has failed. */
	isDoubted = false;
	readonly #dialer: UpstreamDialer;
	readonly #timer: TimerService;
	readonly #log: EventLog;
	readonly #metrics: HostMetrics;
	#route: InstanceRoute;
	readonly #idle: PooledConnection[] = [];
	/**
	 * Connections in use, with the monotonic time at which the running statement was sent, or at which the connection was
	 * granted if nothing was sent since; 0 between statements.
	 */
	readonly #busy = new Map<PooledConnection, number>();
	#waiting: Waiter[] = [];
	/** Number of connection attempts in progress. */
	#pendingDials = 0;
	#dialBlockedUntil = 0;
	#closed = false;
	#disposed = false;
	#lastActivityAt: number;
	#unreachableSince: number | undefined;
	#readOnlySince: number | undefined;
	/**
	 * Monotonic time since which the instance has not responded, or `undefined` if no response is outstanding: the time of the
	 * first statement, granted connection or direct connection attempt, or of a later activity of the instance.
	 */
	#unansweredSince: number | undefined;
	#responseTime = initialResponseTimeMilliseconds;
	readonly #congestionWindow = new CongestionWindow(() => this.#route.maximumConnections);
	readonly #failures = new FailureRate();
	#resolveDrained: (() => void) | undefined;

	/**
	 * @param instance - Instance to connect to.
	 * @param dialer - Opens direct connections.
	 * @param options - Services and the initial route.
	 */
	constructor(instance: InstanceEntry, dialer: UpstreamDialer, options: {timer: TimerService; log: EventLog; metrics: HostMetrics; route: InstanceRoute}) {
		this.instance = instance;
		this.#dialer = dialer;
		this.#timer = options.timer;
		this.#log = options.log;
		this.#metrics = options.metrics;
		this.#route = options.route;
		this.#lastActivityAt = options.timer.now();
	}

	/** Monotonic time since which connection attempts have failed, or `undefined`. */
	get unreachableSince(): number | undefined {
		return this.#unreachableSince;
	}

	/** Monotonic time since which the instance has refused statements because it is not the primary, or `undefined`. */
	get readOnlySince(): number | undefined {
		return this.#readOnlySince;
	}

	/** Whether the pool is closed because the instance is being replaced as the primary. */
	get closed(): boolean {
		return this.#closed;
	}

	/** Moving average of the time from sending a statement to its response, in milliseconds. */
	get responseTime(): number {
		return this.#responseTime;
	}

	/** Share of recent statements that failed because of the instance, from 0 to 1. */
	get failureRate(): number {
		return this.#failures.get(this.#timer.now());
	}

	/** Number of requests that use a connection or wait for one. */
	get load(): number {
		return this.#busy.size + this.#waiting.length;
	}

	/** Whether statements are sent through gateways. */
	get usesGateway(): boolean {
		return this.#route.gatewayDialer !== undefined;
	}

	/** Changes the route. Connections in use that do not match it are closed when they are released. */
	setRoute(route: InstanceRoute): void {
		const {usesGateway: usedGateway} = this;
		this.#route = route;
		if (usedGateway !== this.usesGateway) {
			this.#log.write('instance-route', {instance: this.instance.id, group: this.instance.group, relayed: this.usesGateway});
			this.#closeIdle();
			this.#dialIfNeeded();
		}
	}

	/**
	 * Returns for how long the instance has not responded to anything that was sent to it. Also records the activity that is
	 * evident from bytes received on connections in use.
	 *
	 * @param now - Current monotonic time.
	 * @returns Milliseconds; 0 if no response is outstanding.
	 */
	getUnansweredMilliseconds(now: number): number {
		for (const connection of this.#busy.keys()) {
			if (connection.channel.lastReceivedAt > this.#lastActivityAt) {
				this.#recordActivity(connection.channel.lastReceivedAt);
			}
		}

		return this.#unansweredSince === undefined ? 0 : now - this.#unansweredSince;
	}

	/** Returns whether to send requests to this instance that other instances can serve as well. */
	isResponsive(now: number): boolean {
		return this.#unreachableSince === undefined && this.getUnansweredMilliseconds(now) < unresponsiveThresholdMilliseconds;
	}

	/**
	 * Acquires a connection. Waiting requests are served in order of urgency.
	 *
	 * @param request - Urgency and deadline.
	 * @param context - Session whose state the connection should preferably have already.
	 */
	async acquire(request: WaitingRequest, context: SessionContext): Promise<PooledConnection | AcquireFailure> {
		if (this.#closed || this.#disposed) {
			return AcquireFailure.Unavailable;
		}

		const idle = this.#waiting.length === 0 && this.#hasSendCapacity() ? this.#takeIdle(context) : undefined;
		if (idle) {
			this.recordSend(idle);
			return idle;
		}

		return new Promise(resolve => {
			this.#waiting.push({request, context, resolve});
			this.#dialIfNeeded();
		});
	}

	/** Records that a statement is sent on a connection, or that the connection is granted to a request that will send one. */
	recordSend(connection: PooledConnection): void {
		const now = this.#timer.now();
		this.#busy.set(connection, now);
		this.#unansweredSince ??= now;
	}

	/**
	 * Records the response to a statement.
	 *
	 * @param connection - Connection on which the statement ran.
	 * @param durationMilliseconds - Time from sending to the response; `undefined` if it does not depend on the load.
	 */
	recordResponse(connection: PooledConnection, durationMilliseconds?: number): void {
		this.#busy.set(connection, 0);
		this.#recordActivity();
		if (durationMilliseconds !== undefined) {
			this.#responseTime += responseTimeWeight * (durationMilliseconds - this.#responseTime);
			this.#congestionWindow.add(durationMilliseconds);
			this.#metrics.countInstanceResponse(this.instance.group, this.instance.id, durationMilliseconds);
		}

		// A transaction that is idle between two statements does not count against the congestion window.
		this.#serveWaiting();
	}

	/** Records whether a statement failed because of the instance. */
	recordOutcome(failed: boolean): void {
		this.#failures.add(failed, this.#timer.now());
	}

	/** Records whether the instance accepted a statement that only a primary runs. */
	recordRole(isPrimary: boolean): void {
		this.#readOnlySince = isPrimary ? undefined : this.#readOnlySince ?? this.#timer.now();
	}

	/** Releases a connection for the next request, or closes it if it is no longer usable. */
	release(connection: PooledConnection): void {
		const unansweredSentAt = this.#busy.get(connection) ?? 0;
		this.#busy.delete(connection);
		if (connection.channel.closed && unansweredSentAt > 0) {
			this.#close(findUnprovenConnections(this.#idle, unansweredSentAt));
		}

		if (connection.channel.closed || this.#disposed || this.#closed || connection.usesGateway !== this.usesGateway
			|| this.#idle.length + this.#busy.size >= this.#route.maximumConnections) {
			connection.channel[Symbol.dispose]();
		} else {
			connection.channel.onClose = () => {
				this.#removeIdle(connection);
			};

			this.#idle.push(connection);
		}

		this.#serveWaiting();
		this.#resolveDrainedIfUnused();
	}

	/**
	 * Stops granting connections. Waiting requests are rejected with `Unavailable`.
	 *
	 * @param graceMilliseconds - Time after which connections in use are closed.
	 * @returns Resolves when no connection is in use, or after the grace time.
	 */
	async close(graceMilliseconds: number): Promise<void> {
		this.#closed = true;
		this.#rejectWaiting(AcquireFailure.Unavailable);
		this.#closeIdle();
		if (this.#busy.size === 0) {
			return;
		}

		const drained = new Promise<void>(resolve => {
			this.#resolveDrained = resolve;
		});
		using _timer = this.#timer.schedule(graceMilliseconds, () => {
			for (const connection of this.#busy.keys()) {
				connection.channel[Symbol.dispose]();
			}

			this.#resolveDrained?.();
		});
		await drained;
	}

	/**
	 * Grants connections again after `close`. Discards the times since which the instance has not responded, has been
	 * unreachable or has refused writes, which no longer describe it. The response time and the failure rate are kept.
	 */
	reopen(): void {
		this.#closed = false;
		this.#unansweredSince = undefined;
		this.#unreachableSince = undefined;
		this.#readOnlySince = undefined;
	}

	/** Opens a connection in advance if the pool has none. */
	warmUp(): void {
		if (this.#idle.length + this.#busy.size + this.#pendingDials === 0 && !this.#closed) {
			void this.#dial();
		}
	}

	/** Opens a connection to check whether the instance responds, unless a response is outstanding anyway. */
	probe(): void {
		const isRecent = this.#timer.now() - this.#lastActivityAt < minimumIdleBeforeProbeMilliseconds;
		if (this.#unansweredSince === undefined && !isRecent && !this.#closed && !this.#disposed) {
			void this.#dialDirectly();
		}
	}

	/**
	 * Rejects requests whose deadline has passed, or all waiting ones if the instance is unresponsive. Retries connection
	 * attempts and probes the instance. Called periodically.
	 */
	sweep(now: number): void {
		if (this.#waiting.length > 0 && !this.isResponsive(now)) {
			this.#rejectWaiting(AcquireFailure.Unavailable);
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

		// A slow instance still accepts connections, which counts as activity; an unreachable one does not.
		const probeThreshold = this.isDoubted ? doubtedProbeThresholdMilliseconds : probeThresholdMilliseconds;
		if (this.getUnansweredMilliseconds(now) >= probeThreshold && this.#pendingDials === 0 && now >= this.#dialBlockedUntil && !this.#closed) {
			void this.#dialDirectly();
		}
	}

	/** Closes the pool and all its connections. Requests that wait or run are answered as far as their outcome is known. */
	abandon(): void {
		this[Symbol.dispose]();
		for (const connection of this.#busy.keys()) {
			connection.channel[Symbol.dispose]();
		}
	}

	[Symbol.dispose](): void {
		this.#disposed = true;
		this.#rejectWaiting(AcquireFailure.Unavailable);
		this.#closeIdle();
	}

	#closeIdle(): void {
		this.#close(this.#idle.splice(0));
	}

	#close(connections: readonly PooledConnection[]): void {
		for (const {channel} of connections) {
			channel[Symbol.dispose]();
		}
	}

	#rejectWaiting(failure: AcquireFailure): void {
		for (const waiter of this.#waiting.splice(0)) {
			waiter.resolve(failure);
		}
	}

	#takeIdle(context: SessionContext): PooledConnection | undefined {
		while (this.#idle.length > 0) {
			let index = this.#idle.findIndex(connection => connection.matchesSession(context));
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

	/** Whether the congestion window permits another statement now. */
	#hasSendCapacity(): boolean {
		let sent = 0;
		for (const sentAt of this.#busy.values()) {
			sent += Number(sentAt > 0);
		}

		return sent < this.#congestionWindow.size;
	}

	#removeIdle(connection: PooledConnection): void {
		const index = this.#idle.indexOf(connection);
		if (index !== -1) {
			this.#idle.splice(index, 1);
		}
	}

	#serveWaiting(): void {
		while (this.#waiting.length > 0 && this.#idle.length > 0 && this.#hasSendCapacity()) {
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
			this.recordSend(connection);
			waiter.resolve(connection);
		}

		this.#dialIfNeeded();
	}

	#dialIfNeeded(): void {
		while (!this.#closed && !this.#disposed
			&& this.#waiting.length > this.#pendingDials
			&& this.#hasSendCapacity()
			&& this.#idle.length + this.#busy.size + this.#pendingDials < this.#route.maximumConnections
			&& this.#timer.now() >= this.#dialBlockedUntil) {
			void this.#dial();
		}
	}

	async #dial(): Promise<void> {
		await (this.#route.gatewayDialer ? this.#dialThroughGateway(this.#route.gatewayDialer) : this.#dialDirectly());
	}

	/** Opens a direct connection. If statements are sent through gateways, it only checks whether the instance responds. */
	async #dialDirectly(): Promise<void> {
		const startedAt = this.#timer.now();
		this.#pendingDials++;
		this.#unansweredSince ??= startedAt;
		const outcome = await this.#dialer.dial(this.instance, dialTimeoutMilliseconds, () => {
			this.#recordActivity();
		});
		this.#pendingDials--;
		this.#metrics.countConnection(this.instance.group, outcome.isOk() ? 'opened' : outcome.error.failure);
		if (outcome.isErr()) {
			this.#handleDialFailure(outcome.error, startedAt);
			return;
		}

		this.#recordActivity();
		this.#addConnection(new PooledConnection(outcome.value));
	}

	/** Opens a connection through a gateway. A failure does not count as a failure of the instance. */
	async #dialThroughGateway(gatewayDialer: UpstreamDialer): Promise<void> {
		this.#pendingDials++;
		const outcome = await gatewayDialer.dial(this.instance, dialTimeoutMilliseconds);
		this.#pendingDials--;
		this.#metrics.countConnection(this.instance.group, outcome.isOk() ? 'relayed' : 'not-relayed');
		if (outcome.isErr()) {
			this.#dialBlockedUntil = this.#timer.now() + gatewayBackoffMilliseconds;
			return;
		}

		this.#addConnection(new PooledConnection(outcome.value, true));
	}

	#addConnection(connection: PooledConnection): void {
		this.#busy.set(connection, 0);
		this.release(connection);
	}

	#handleDialFailure(error: ChannelError, startedAt: number): void {
		const now = this.#timer.now();
		if (error.failure === ChannelFailure.TooManyConnections) {
			this.#recordActivity();
			this.#dialBlockedUntil = now + connectionLimitBackoffMilliseconds;
		} else {
			this.#dialBlockedUntil = now + dialBackoffMilliseconds;
			if (this.#unreachableSince === undefined) {
				this.#unreachableSince = startedAt;
				this.#log.write('instance-unreachable', {instance: this.instance.id, group: this.instance.group, reason: error.message});
			}
		}

		if (this.#idle.length + this.#busy.size === 0 && error.failure !== ChannelFailure.TooManyConnections) {
			this.#rejectWaiting(AcquireFailure.Unavailable);
		}
	}

	#recordActivity(at = this.#timer.now()): void {
		this.#lastActivityAt = at;
		const hasOutstanding = this.#pendingDials > 0 || [...this.#busy.values()].some(sentAt => sentAt > 0);
		this.#unansweredSince = hasOutstanding ? at : undefined;
		if (this.#unreachableSince !== undefined) {
			this.#log.write('instance-reachable', {
				instance: this.instance.id, group: this.instance.group, unreachableMilliseconds: Math.round(this.#lastActivityAt - this.#unreachableSince),
			});
			this.#unreachableSince = undefined;
		}
	}

	#resolveDrainedIfUnused(): void {
		if (this.#busy.size === 0) {
			this.#resolveDrained?.();
			this.#resolveDrained = undefined;
		}
	}
}
