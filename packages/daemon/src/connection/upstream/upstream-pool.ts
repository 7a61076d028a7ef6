import {type TimerService} from '@tarragonstack/core';
import {err, ok, type Result} from 'neverthrow';
import {
	ConnectionError, type ConnectionPool, type StatementConnection,
} from '../../request/scheduling/statement-connection.js';
import {type UpstreamConnectionError} from './upstream-connection.js';

/** Connections of each instance reserved for control connections: 3 members of the group with two owners each. */
const reservedConnections = 6;

/**
 * Maximum number of hosts that consider themselves the owner of an instance at the same time, which occurs while hosts
 * disagree on which hosts are live.
 */
const maximumOwners = 2;

/** Maximum number of concurrent logins. Bounds the burst of logins after a failover. */
const maximumParallelOpens = 4;

const minimumBackOffMilliseconds = 50;
const maximumBackOffMilliseconds = 2000;

/** Connection that a pool can manage. */
export type PoolableConnection = StatementConnection & {
	/** Whether the connection can be reused for another unit. */
	readonly isClean: boolean;
	/** Resolves when no cancel request is in progress. */
	readonly cancelFinished: Promise<void>;
	/** Resolves when the socket is closed and the server therefore no longer counts the connection. */
	readonly closed: Promise<void>;
};

/** Options of an upstream pool. */
export type UpstreamPoolOptions = {
	readonly timerService: TimerService;
	readonly slots: number;
	readonly connectionLimit: number;
	/** Opens a connection. */
	readonly open: () => Promise<Result<PoolableConnection, UpstreamConnectionError>>;
	/** Called for each failed attempt to open a connection. */
	readonly onOpenFailed?: (error: UpstreamConnectionError) => void;
};

type Waiter = {
	readonly resolve: (result: Result<StatementConnection, ConnectionError>) => void;
	readonly timeout: Disposable;
};

/**
 * Returns the maximum number of connections that one owner may hold to an instance.
 *
 * @param connectionLimit - Connection limit of the instance.
 */
export function getPoolCapacity(connectionLimit: number): number {
	return Math.max(1, Math.floor((connectionLimit - reservedConnections) / maximumOwners));
}

/** Bounded pool of clean connections to one instance. */
export class UpstreamPool implements ConnectionPool {
	readonly #options: UpstreamPoolOptions;
	readonly #idle: PoolableConnection[] = [];
	/** All idle and used connections whose socket is not closed yet. */
	readonly #connections = new Set<PoolableConnection>();
	readonly #waiters = new Set<Waiter>();
	#capacity: number;
	#minimumConnections: number;
	#openingCount = 0;
	#failureCount = 0;
	#backOff: Disposable | undefined;
	#isClosed = false;

	constructor(options: UpstreamPoolOptions) {
		this.#options = options;
		this.#capacity = getPoolCapacity(options.connectionLimit);
		this.#minimumConnections = options.slots + 1;
		this.#openMissingConnections();
	}

	/** @inheritdoc */
	get capacity(): number {
		return this.#capacity;
	}

	/** Number of connections that are open or being opened. */
	get connectionCount(): number {
		return this.#connections.size + this.#openingCount;
	}

	/** @inheritdoc */
	resize(slots: number, connectionLimit: number): void {
		this.#capacity = getPoolCapacity(connectionLimit);
		this.#minimumConnections = slots + 1;
		while (this.connectionCount > this.#capacity && this.#idle.length > 0) {
			this.#idle.pop()!.close();
		}

		this.#openMissingConnections();
	}

	/** @inheritdoc */
	async acquire(timeoutMilliseconds: number): Promise<Result<StatementConnection, ConnectionError>> {
		if (this.#isClosed) {
			return err(ConnectionError.Closed);
		}

		const idle = this.#popIdle();
		if (idle) {
			return ok(idle);
		}

		if (this.#backOff && this.#connections.size === 0) {
			return err(ConnectionError.Unavailable);
		}

		return new Promise(resolve => {
			const waiter: Waiter = {
				resolve,
				timeout: this.#options.timerService.schedule(timeoutMilliseconds, () => {
					this.#waiters.delete(waiter);
					resolve(err(ConnectionError.TimedOut));
				}),
			};
			this.#waiters.add(waiter);
			this.#openMissingConnections();
		});
	}

	/** @inheritdoc */
	release(connection: StatementConnection): void {
		void this.#reclaim(connection as PoolableConnection);
	}

	/** Closes all connections, including those in use. */
	async [Symbol.asyncDispose](): Promise<void> {
		this.#isClosed = true;
		this.#backOff?.[Symbol.dispose]();
		this.#failWaiters(ConnectionError.Closed);
		this.#idle.length = 0;
		const connections = [...this.#connections];
		for (const connection of connections) {
			connection.close();
		}

		await Promise.all(connections.map(connection => connection.closed));
	}

	#popIdle(): PoolableConnection | undefined {
		for (;;) {
			// The most recently used connection is preferred, because the caches of its server process are warm.
			const connection = this.#idle.pop();
			if (!connection || connection.isClean) {
				return connection;
			}

			connection.close();
		}
	}

	async #reclaim(connection: PoolableConnection): Promise<void> {
		await connection.cancelFinished;
		if (!connection.isClean || this.#isClosed || this.connectionCount > this.#capacity) {
			connection.close();
			return;
		}

		this.#makeAvailable(connection);
	}

	#makeAvailable(connection: PoolableConnection): void {
		const [waiter] = this.#waiters;
		if (!waiter) {
			this.#idle.push(connection);
			return;
		}

		this.#waiters.delete(waiter);
		waiter.timeout[Symbol.dispose]();
		waiter.resolve(ok(connection));
	}

	#openMissingConnections(): void {
		if (this.#isClosed || this.#backOff) {
			return;
		}

		const targetCount = Math.min(
			this.#capacity,
			Math.max(this.#minimumConnections, this.#connections.size - this.#idle.length + this.#waiters.size),
		);
		const missingCount = targetCount - this.connectionCount;
		for (let count = 0; count < missingCount && this.#openingCount < maximumParallelOpens; count++) {
			void this.#openConnection();
		}
	}

	async #openConnection(): Promise<void> {
		this.#openingCount++;
		const result = await this.#options.open();
		this.#openingCount--;
		if (result.isErr()) {
			this.#options.onOpenFailed?.(result.error);
			this.#startBackOff();
			return;
		}

		const connection = result.value;
		if (this.#isClosed) {
			connection.close();
			return;
		}

		this.#failureCount = 0;
		this.#connections.add(connection);
		void this.#removeWhenClosed(connection);
		this.#makeAvailable(connection);
		this.#openMissingConnections();
	}

	async #removeWhenClosed(connection: PoolableConnection): Promise<void> {
		await connection.closed;
		this.#connections.delete(connection);
		const index = this.#idle.indexOf(connection);
		if (index !== -1) {
			this.#idle.splice(index, 1);
		}

		this.#openMissingConnections();
	}

	#startBackOff(): void {
		if (this.#connections.size === 0) {
			// The instance does not accept connections, but another instance may be able to serve the waiting requests.
			this.#failWaiters(ConnectionError.Unavailable);
		}

		if (this.#backOff !== undefined || this.#isClosed) {
			return;
		}

		const delay = Math.min(maximumBackOffMilliseconds, minimumBackOffMilliseconds * (2 ** this.#failureCount));
		this.#failureCount++;
		this.#backOff = this.#options.timerService.schedule(delay, () => {
			this.#backOff = undefined;
			this.#openMissingConnections();
		});
	}

	#failWaiters(error: ConnectionError): void {
		for (const waiter of this.#waiters) {
			waiter.timeout[Symbol.dispose]();
			waiter.resolve(err(error));
		}

		this.#waiters.clear();
	}
}
