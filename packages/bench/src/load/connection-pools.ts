import pg from 'pg';

/** Time limit for obtaining a connection from a pool. */
const connectTimeoutMilliseconds = 5000;

/** Time limit for the response to a query. */
const queryTimeoutMilliseconds = 30_000;

/** Client connections to the hosts, with one pool per host and group. */
export class ConnectionPools implements AsyncDisposable {
	readonly #getConnectionString: (host: string, group: string) => string;
	readonly #connectionsPerPool: number;
	readonly #pools = new Map<string, pg.Pool>();

	/**
	 * @param getConnectionString - Returns the connection string for a host and a group.
	 * @param connectionsPerPool - Maximum number of connections per host and group. An open-loop load needs one for each request
	 * that is pending at the same time; further requests wait for a connection, and the wait counts as latency.
	 */
	constructor(getConnectionString: (host: string, group: string) => string, connectionsPerPool: number) {
		this.#getConnectionString = getConnectionString;
		this.#connectionsPerPool = connectionsPerPool;
	}

	/**
	 * Opens connections before the load starts.
	 *
	 * @param hosts - Names of the hosts.
	 * @param groups - Names of the groups.
	 * @param count - Number of connections to open in each pool, limited to the size of the pool.
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
	 * Runs a statement on a pooled connection to a host.
	 *
	 * @param host - Name of the host.
	 * @param group - Name of the group.
	 * @param statement - Statement.
	 * @returns The number of rows in the result.
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
				// Idle connections stay open, so that pauses in the load do not add login costs to later requests.
				idleTimeoutMillis: 0,
			});
			// The pool discards a lost idle connection and opens another one for a later request.
			pool.on('error', () => {});
			this.#pools.set(name, pool);
		}

		return pool;
	}
}
