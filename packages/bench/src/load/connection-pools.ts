import pg from 'pg';

/** Time after which a caller gives up to wait for a connection. */
const connectTimeoutMilliseconds = 5000;

/** Time after which a caller gives up to wait for a response. */
const queryTimeoutMilliseconds = 30_000;

/** Connections of callers to the hosts, one pool for each host and group. */
export class ConnectionPools implements AsyncDisposable {
	readonly #getConnectionString: (host: string, group: string) => string;
	readonly #connectionsPerPool: number;
	readonly #pools = new Map<string, pg.Pool>();

	/**
	 * @param getConnectionString - Connection string for a host and a group.
	 * @param connectionsPerPool - Greatest number of connections to a host for one group. An open-loop load needs enough for
	 * all requests that wait at the same time; further requests wait for a connection, which counts as latency.
	 */
	constructor(getConnectionString: (host: string, group: string) => string, connectionsPerPool: number) {
		this.#getConnectionString = getConnectionString;
		this.#connectionsPerPool = connectionsPerPool;
	}

	/**
	 * Opens connections before the load begins.
	 *
	 * @param hosts - Names of the hosts.
	 * @param groups - Names of the groups.
	 * @param count - Connections in each pool.
	 */
	async warmUp(hosts: readonly string[], groups: readonly string[], count: number): Promise<void> {
		await Promise.all(hosts.flatMap(host => groups.map(async group => {
			const pool = this.#getPool(host, group);
			const clients = await Promise.all(Array.from({length: Math.min(count, this.#connectionsPerPool)}, async () => pool.connect()));
			for (const client of clients) {
				client.release();
			}
		})));
	}

	/**
	 * Runs a statement on any connection to a host.
	 *
	 * @param host - Name of the host.
	 * @param group - Name of the group.
	 * @param statement - Statement.
	 * @returns The number of returned rows.
	 */
	async query(host: string, group: string, statement: string): Promise<number> {
		const result = await this.#getPool(host, group).query(statement);
		return result.rows.length;
	}

	/** @inheritdoc */
	async [Symbol.asyncDispose](): Promise<void> {
		await Promise.all([...this.#pools.values()].map(async pool => pool.end()));
	}

	#getPool(host: string, group: string): pg.Pool {
		const name = `${host}/${group}`;
		let pool = this.#pools.get(name);
		if (!pool) {
			pool = new pg.Pool({
				connectionString: this.#getConnectionString(host, group),
				max: this.#connectionsPerPool,
				connectionTimeoutMillis: connectTimeoutMilliseconds,
				query_timeout: queryTimeoutMilliseconds,
				// Connections stay open, so that the cost of a login does not depend on the pauses of the load.
				idleTimeoutMillis: 0,
			});
			// An idle connection that is lost is replaced with the next request.
			pool.on('error', () => {});
			this.#pools.set(name, pool);
		}

		return pool;
	}
}
