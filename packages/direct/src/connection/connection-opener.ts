import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type HostMetrics} from '../process/host-metrics.js';
import {type InstanceEntry} from '../process/instance-entry.js';
import {ConnectionAttempts} from './connection-attempts.js';
import {type InstanceActivity} from './instance-activity.js';
import {type GatewayDialer, type InstanceRoute} from './instance-route.js';
import {PooledConnection} from './pooled-connection.js';
import {ChannelFailure, type ChannelError, type DirectDialer} from './upstream-channel.js';

/** Timeout of a connection attempt, in milliseconds. A handshake takes 12 ms on an idle instance. */
const dialTimeoutMilliseconds = 1000;

/** Delay before the next connection attempt after a failed one, in milliseconds. */
const dialBackoffMilliseconds = 100;

/** Delay before the next connection attempt after the instance has reached its connection limit, in milliseconds. */
const connectionLimitBackoffMilliseconds = 250;

/** Delay before another gateway is tried after a failed one, in milliseconds. */
const gatewayBackoffMilliseconds = 20;

/** Dependencies of a `ConnectionOpener`. */
export type ConnectionOpenerOptions = {
	/** Opens direct connections. */
	readonly dialer: DirectDialer;
	readonly timer: TimerService;
	readonly metrics: HostMetrics;
	readonly activity: InstanceActivity;
	/** Returns the instance. */
	getInstance(): InstanceEntry;
	/** Returns the present route to the instance. */
	getRoute(): InstanceRoute;
	/** Records the time until a connection was accepted, in milliseconds. */
	recordRoundTrip(milliseconds: number): void;
	/** Called with each new connection. */
	handleOpened(connection: PooledConnection): void;
	/** Called when the instance did not accept a connection for another reason than its connection limit. */
	handleUnreachable(): void;
};

/** Opens connections of a pool to an instance, directly or through gateways. */
export class ConnectionOpener {
	readonly #options: ConnectionOpenerOptions;
	readonly #attempts = new ConnectionAttempts();

	/**
	 * @param options - Dependencies.
	 */
	constructor(options: ConnectionOpenerOptions) {
		this.#options = options;
	}

	/** Number of connection attempts in progress. */
	get pending(): number {
		return this.#attempts.pending;
	}

	/** Whether no attempt may be made now, because one has just failed. */
	get isBlocked(): boolean {
		return this.#options.timer.now() < this.#attempts.blockedUntil;
	}

	/** Returns a copy of the number of attempts in progress by workspace, `undefined` for the host's own. */
	copyCounts(): Map<string | undefined, number> {
		return this.#attempts.copyCounts();
	}

	/**
	 * Opens a connection.
	 *
	 * @param workspace - Workspace that needs it. A connection through a gateway serves all of them.
	 */
	async open(workspace: string | undefined): Promise<void> {
		const {gatewayDialer} = this.#options.getRoute();
		const key = gatewayDialer ? undefined : workspace;
		this.#attempts.begin(key);
		const endAttempt = () => {
			this.#attempts.end(key);
		};

		await (gatewayDialer ? this.#dialThroughGateway(gatewayDialer, workspace, endAttempt) : this.#dialDirectly(workspace, endAttempt));
	}

	/**
	 * Checks whether the instance responds, with a connection that is kept if the pool has room for it. While statements queue at
	 * an instance, each host checks it several times a second, so a check must not take a slot there for a connection that would
	 * be closed at once.
	 *
	 * @param hasRoom - Whether the pool has room for another direct connection.
	 */
	async probe(hasRoom: boolean): Promise<void> {
		this.#attempts.beginProbe();
		const endAttempt = () => {
			this.#attempts.endProbe();
		};

		await (hasRoom ? this.#dialDirectly(undefined, endAttempt) : this.#check(endAttempt));
	}

	async #check(endAttempt: () => void): Promise<void> {
		const {dialer, timer, metrics, activity, getInstance} = this.#options;
		const startedAt = timer.now();
		activity.recordDial();
		const outcome = await dialer.check(getInstance(), dialTimeoutMilliseconds);
		endAttempt();
		metrics.countConnection(getInstance().group, outcome.isOk() ? 'checked' : outcome.error.failure);
		if (outcome.isErr()) {
			this.#handleFailure(outcome.error, startedAt);
			return;
		}

		activity.recordActivity();
	}

	async #dialDirectly(workspace: string | undefined, endAttempt: () => void): Promise<void> {
		const {dialer, timer, metrics, activity, getInstance, getRoute, recordRoundTrip, handleOpened} = this.#options;
		const startedAt = timer.now();
		activity.recordDial();
		const outcome = await dialer.dial(getInstance(), dialTimeoutMilliseconds, {
			workspace,
			onConnected() {
				// A host that uses gateways needs the distance to these.
				if (!getRoute().gatewayDialer) {
					recordRoundTrip(timer.now() - startedAt);
				}

				activity.recordActivity();
			},
		});
		endAttempt();
		metrics.countConnection(getInstance().group, outcome.isOk() ? 'opened' : outcome.error.failure);
		if (outcome.isErr()) {
			this.#handleFailure(outcome.error, startedAt);
			return;
		}

		activity.recordActivity();
		handleOpened(new PooledConnection(outcome.value, {workspace}));
	}

	/** Opens a connection through a gateway. A failure does not count as a failure of the instance. */
	async #dialThroughGateway(gatewayDialer: GatewayDialer, workspace: string | undefined, endAttempt: () => void): Promise<void> {
		const {timer, metrics, getInstance, recordRoundTrip, handleOpened} = this.#options;
		const startedAt = timer.now();
		const outcome = await gatewayDialer.dial(getInstance(), dialTimeoutMilliseconds, {workspace});
		endAttempt();
		metrics.countConnection(getInstance().group, outcome.isOk() ? 'relayed' : 'not-relayed');
		if (outcome.isErr()) {
			this.#attempts.blockedUntil = timer.now() + gatewayBackoffMilliseconds;
			return;
		}

		// The connection and the selection of the instance take a round trip each.
		recordRoundTrip((timer.now() - startedAt) / 2);
		handleOpened(new PooledConnection(outcome.value, {usesGateway: true}));
	}

	#handleFailure(error: ChannelError, startedAt: number): void {
		const {timer, activity, handleUnreachable} = this.#options;
		const now = timer.now();
		if (error.failure === ChannelFailure.TooManyConnections) {
			activity.recordActivity();
			this.#attempts.blockedUntil = now + connectionLimitBackoffMilliseconds;
		} else {
			this.#attempts.blockedUntil = now + dialBackoffMilliseconds;
			activity.recordUnreachable(startedAt, error.message);
			handleUnreachable();
		}
	}
}
