import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type EventLog} from '../process/event-log.js';
import {type HostMetrics, type InstanceSample} from '../process/host-metrics.js';
import {type InstanceEntry} from '../process/instance-entry.js';
import {ClassTimes} from '../request/class-times.js';
import {FailureRate} from '../request/failure-rate.js';
import {type InstanceCapacity} from '../request/instance-capacity.js';
import {type WaitingRequest} from '../request/waiting-request.js';
import {CapacityRecorder, type InstanceResponse} from './capacity-recorder.js';
import {AcquireFailure, ConnectionQueue, type Waiter} from './connection-queue.js';
import {ConnectionOpener} from './connection-opener.js';
import {FlowUsage} from './flow-usage.js';
import {IdleConnections} from './idle-connections.js';
import {InstanceActivity} from './instance-activity.js';
import {type InstanceRoute} from './instance-route.js';
import {type PooledConnection, type SessionContext} from './pooled-connection.js';
import {type DirectDialer} from './upstream-channel.js';

/** Pool of this host's connections to one instance, with the queue of requests that wait for a connection. */
export class InstancePool implements Disposable {
	/** Latest entry of the instance to which the pool connects. */
	instance: InstanceEntry;
	/** Whether another host suspects that the instance has failed. */
	isDoubted = false;
	readonly #timer: TimerService;
	readonly #services: {readonly log: EventLog; readonly metrics: HostMetrics};
	#route: InstanceRoute;
	readonly #idle = new IdleConnections();
	readonly #queue: ConnectionQueue;
	readonly #usage = new FlowUsage();
	readonly #activity: InstanceActivity;
	readonly #opener: ConnectionOpener;
	#closed = false;
	#disposed = false;
	#readOnlySince: number | undefined;
	readonly #capacityRecorder: CapacityRecorder;
	readonly #failures = new FailureRate();
	#resolveDrained: (() => void) | undefined;

	/**
	 * @param instance - Instance to connect to.
	 * @param dialer - Opens direct connections.
	 * @param options - Services, the initial route and the usual service times of the group.
	 */
	constructor(instance: InstanceEntry, dialer: DirectDialer, options: {timer: TimerService; log: EventLog; metrics: HostMetrics; route: InstanceRoute; groupTimes?: ClassTimes}) {
		this.instance = instance;
		this.#timer = options.timer;
		this.#services = options;
		this.#route = options.route;
		this.#capacityRecorder = new CapacityRecorder({
			log: options.log, metrics: options.metrics, groupTimes: options.groupTimes ?? new ClassTimes(),
			getMaximum: () => Math.min(this.#route.maximumConnections, this.#route.maximumInFlight ?? Number.POSITIVE_INFINITY),
			getInstance: () => this.instance,
		});
		this.#queue = new ConnectionQueue(reason => {
			options.metrics.countRefusal(instance.group, reason);
		});
		this.#activity = new InstanceActivity({
			timer: options.timer, log: options.log, getInstance: () => this.instance, isDialing: () => this.#opener.pending > 0,
		});
		this.#opener = new ConnectionOpener({
			dialer, timer: options.timer, metrics: options.metrics, activity: this.#activity,
			getInstance: () => this.instance,
			getRoute: () => this.#route,
			recordRoundTrip: milliseconds => {
				this.capacity.recordRoundTrip(milliseconds);
			},
			handleOpened: connection => {
				this.#activity.recordIdleInUse(connection);
				this.release(connection);
			},
			handleUnreachable: () => {
				if (this.#idle.size + this.#activity.busyCount === 0) {
					this.#queue.rejectAll();
				}
			},
		});
	}

	/** Monotonic time since which connection attempts have failed, or `undefined`. */
	get unreachableSince(): number | undefined {
		return this.#activity.unreachableSince;
	}

	/** Monotonic time since which the instance has refused statements because it is not the primary, or `undefined`. */
	get readOnlySince(): number | undefined {
		return this.#readOnlySince;
	}

	/** Whether the pool is closed because the instance is being replaced as the primary. */
	get closed(): boolean {
		return this.#closed;
	}

	/** What this host has learned about the capacity of the instance. */
	get capacity(): InstanceCapacity {
		return this.#capacityRecorder.capacity;
	}

	/** Share of recent statements that failed because of the instance, from 0 to 1. */
	get failureRate(): number {
		return this.#failures.get(this.#timer.now());
	}

	/** Time after which the request that was refused last, as `Overloaded`, may return, in milliseconds. */
	get returnMilliseconds(): number {
		return this.#queue.returnMilliseconds;
	}

	/** Number of requests that use a connection or wait for one. */
	get load(): number {
		return this.#activity.busyCount + this.#queue.size;
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
			this.#services.log.write('instance-route', {instance: this.instance.id, group: this.instance.group, relayed: this.usesGateway});
			this.#idle.closeAll();
			this.#serveWaiting();
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
		return this.#activity.getUnansweredMilliseconds(now);
	}

	/** Returns whether to send requests to this instance that other instances can serve as well. */
	isResponsive(now: number): boolean {
		return this.#activity.isResponsive(now);
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

		const idle = this.#queue.size === 0 && this.#mayGrant(request, context) ? this.#takeIdle(context) : undefined;
		if (idle) {
			return this.#grant(idle, request, context);
		}

		return new Promise(resolve => {
			// Only where hosts share gateways are so many requests in one queue that it can be foreseen which come too late.
			const isForeseeable = this.usesGateway || this.#route.maximumInFlight !== undefined;
			this.#queue.add({request, context, resolve}, this.#timer.now(), isForeseeable ? this.#sendLimit / Math.max(1, this.capacity.responseTime) : undefined);
			this.#serveWaiting();
		});
	}

	/** Records that a statement is sent on a connection, or that the connection is granted to a request that will send one. */
	recordSend(connection: PooledConnection): void {
		this.#activity.recordSend(connection);
	}

	/**
	 * Records the response to a statement.
	 *
	 * @param connection - Connection on which the statement ran.
	 * @param response - Duration and class of the statement; `undefined` if the duration does not depend on the load.
	 */
	recordResponse(connection: PooledConnection, response?: InstanceResponse): void {
		const inFlight = response ? this.#activity.sentCount : 0;
		this.#activity.recordIdleInUse(connection);
		this.#activity.recordActivity();
		if (response) {
			this.#capacityRecorder.record(response, inFlight, this.#timer.now());
		}

		// A transaction that is idle between two statements does not count against the congestion window.
		this.#serveWaiting();
	}

	/** Records that a read is sent to the instance by choice among replicas. */
	recordRead(): void {
		this.#services.metrics.countRead(this.instance.group, this.instance.id);
	}

	/** Records whether a statement failed because of the instance. */
	recordOutcome(failed: boolean): void {
		this.#failures.add(failed, this.#timer.now());
	}

	/** Records whether the instance accepted a statement that only a primary runs. */
	recordRole(isPrimary: boolean): void {
		this.#readOnlySince = isPrimary ? undefined : this.#readOnlySince ?? this.#timer.now();
	}

	/** Returns the state of the instance for the metrics of a host in a zone. */
	sample(availabilityZone: string): Omit<InstanceSample, 'group' | 'instance'> {
		const {capacity, load} = this;
		const now = this.#timer.now();
		return {
			load, serviceTimeMilliseconds: capacity.responseTime, silenceMilliseconds: this.getUnansweredMilliseconds(now),
			limit: capacity.instanceLimit, inFlight: this.#activity.sentCount, queueingMilliseconds: capacity.getQueueingMilliseconds(now),
			slowness: capacity.slowness, distanceMilliseconds: capacity.getDistance(this.instance.availabilityZone === availabilityZone),
		};
	}

	/** Releases a connection for the next request, or closes it if it is no longer usable. */
	release(connection: PooledConnection): void {
		this.#usage.remove(connection);
		const unansweredSentAt = this.#activity.recordRelease(connection);
		if (connection.channel.closed && unansweredSentAt > 0) {
			this.#idle.closeUnproven(unansweredSentAt);
		}

		if (connection.channel.closed || this.#disposed || this.#closed || connection.usesGateway !== this.usesGateway
			|| this.#idle.size + this.#activity.busyCount >= this.#route.maximumConnections) {
			connection.channel[Symbol.dispose]();
		} else {
			this.#idle.add(connection);
		}

		this.#serveWaiting();
		if (this.#activity.busyCount === 0) {
			this.#resolveDrained?.();
			this.#resolveDrained = undefined;
		}
	}

	/**
	 * Stops granting connections. Waiting requests are rejected with `Unavailable`.
	 *
	 * @param graceMilliseconds - Time after which connections in use are closed.
	 * @returns Resolves when no connection is in use, or after the grace time.
	 */
	async close(graceMilliseconds: number): Promise<void> {
		this.#closed = true;
		this.#queue.rejectAll();
		this.#idle.closeAll();
		if (this.#activity.busyCount === 0) {
			return;
		}

		const drained = new Promise<void>(resolve => {
			this.#resolveDrained = resolve;
		});
		using _timer = this.#timer.schedule(graceMilliseconds, () => {
			this.#activity.closeBusy();
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
		this.#activity.reset();
		this.#readOnlySince = undefined;
	}

	/** Opens a connection in advance if the pool has none. */
	warmUp(): void {
		if (this.#openConnections === 0 && !this.#closed) {
			void this.#opener.open(undefined);
		}
	}

	/** Opens a connection to check whether the instance responds, unless a response is outstanding anyway. */
	probe(): void {
		if (this.#activity.isIdle(this.#timer.now()) && !this.#closed && !this.#disposed) {
			void this.#opener.probe(!this.usesGateway && this.#openConnections < this.#route.maximumConnections);
		}
	}

	/**
	 * Rejects requests whose deadline has passed, or all waiting ones if the instance is unresponsive. Retries connection
	 * attempts and probes the instance. Called periodically.
	 */
	sweep(now: number): void {
		if (this.#queue.size > 0 && !this.isResponsive(now)) {
			this.#queue.rejectAll();
		}

		if (this.#queue.size > 0) {
			this.#queue.rejectExpired(now);
			this.#serveWaiting();
		}

		if (this.#activity.isProbeDue(now, this.isDoubted) && this.#opener.pending === 0 && !this.#opener.isBlocked && !this.#closed) {
			void this.#opener.probe(!this.usesGateway && this.#openConnections < this.#route.maximumConnections);
		}
	}

	/** Closes the pool and all its connections. Requests that wait or run are answered as far as their outcome is known. */
	abandon(): void {
		this[Symbol.dispose]();
		this.#activity.closeBusy();
	}

	[Symbol.dispose](): void {
		this.#disposed = true;
		this.#queue.rejectAll();
		this.#idle.closeAll();
	}

	/** Number of connections that are open or about to be opened. */
	get #openConnections(): number {
		return this.#idle.size + this.#activity.busyCount + this.#opener.pending;
	}

	/**
	 * Statements and connection attempts that may be in flight now. Statements that are sent to a gateway wait there, where those
	 * of all hosts are ordered, so only the number of connections limits them.
	 */
	get #sendLimit(): number {
		return this.usesGateway ? this.#route.maximumConnections : this.capacity.limit;
	}

	/** Whether a request may be granted a connection now, if there is one. */
	#mayGrant(request: WaitingRequest, context: SessionContext): boolean {
		return this.#hasSendCapacity() && this.#usage.count(request, context) < (this.#route.maximumPerFlow ?? Number.POSITIVE_INFINITY);
	}

	#grant(connection: PooledConnection, request: WaitingRequest, context: SessionContext): PooledConnection {
		this.#usage.add(connection, request, context);
		this.recordSend(connection);
		return connection;
	}

	/** Whether another statement may be sent now. */
	#hasSendCapacity(): boolean {
		return this.#activity.sentCount < this.#sendLimit;
	}

	/**
	 * Takes an idle connection of the session's workspace. If statements are sent through gateways, the workspace keeps to one of
	 * them, and uses a connection through another one only if none can be opened now.
	 */
	#takeIdle(context: SessionContext): PooledConnection | undefined {
		const gateway = this.#route.gatewayDialer?.getPreferredGateway?.(this.instance.id, context.workspace);
		return this.#idle.take(context, gateway) ?? (gateway === undefined || (this.#mayAttempt() && this.#openConnections < this.#route.maximumConnections) ? undefined : this.#idle.take(context));
	}

	/** Whether a connection attempt is permitted now. It counts like a statement, because it takes a slot of the instance. */
	#mayAttempt(): boolean {
		return !this.#closed && !this.#disposed && !this.#opener.isBlocked && this.#activity.sentCount + this.#opener.pending < this.#sendLimit;
	}

	/**
	 * Grants connections to the waiting requests in order, and opens connections for those whose workspace has none. Each
	 * connection attempt takes a slot of the instance, so it counts against the congestion window like a statement.
	 */
	#serveWaiting(): void {
		if (this.#queue.size === 0) {
			return;
		}

		const expectedDials = this.#opener.copyCounts();
		const order = this.#queue.inOrder(this.#timer.now());
		for (let next = order.next(); !next.done && this.#hasSendCapacity();) {
			next = order.next(this.#serve(next.value, expectedDials));
		}
	}

	/** Serves a waiting request if possible. Returns whether nothing can be done now for others of its workspace and priority. */
	#serve(waiter: Waiter, expectedDials: Map<string | undefined, number>): boolean {
		const {request, context} = waiter;
		if (!this.#mayGrant(request, context)) {
			return true;
		}

		const connection = this.#takeIdle(context);
		if (connection) {
			this.#queue.remove(waiter);
			waiter.resolve(this.#grant(connection, request, context));
			return false;
		}

		const workspace = this.usesGateway ? undefined : context.workspace;
		const expected = expectedDials.get(workspace) ?? 0;
		if (expected > 0) {
			expectedDials.set(workspace, expected - 1);
			return false;
		}

		return !this.#openFor(context.workspace);
	}

	/** Opens a connection for a workspace if possible. If the pool is full, it closes an idle one of the workspace that has the most. */
	#openFor(workspace: string | undefined): boolean {
		const isPossible = this.#mayAttempt() && (this.#openConnections < this.#route.maximumConnections || this.#idle.closeSurplus());
		if (isPossible) {
			void this.#opener.open(workspace);
		}

		return isPossible;
	}
}
