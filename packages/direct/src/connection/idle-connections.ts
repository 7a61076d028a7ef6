import {findUnprovenConnections} from '../request/unproven-connections.js';
import {type PooledConnection, type SessionContext} from './pooled-connection.js';

/** Idle connections of a pool, in the order of their last use. */
export class IdleConnections {
	readonly #connections: PooledConnection[] = [];

	/** Number of idle connections. */
	get size(): number {
		return this.#connections.length;
	}

	/** Adds a connection that was just used. It is removed by itself when it closes. */
	add(connection: PooledConnection): void {
		connection.channel.onClose = () => {
			this.#remove(connection);
		};

		this.#connections.push(connection);
	}

	/**
	 * Takes a connection of the session's workspace, preferably one that has the session's state already.
	 *
	 * @param context - Session that needs a connection.
	 * @param gateway - Name of the gateway that the connection must use, if any.
	 * @returns The connection, or `undefined` if there is none of the workspace.
	 */
	take(context: SessionContext, gateway?: string): PooledConnection | undefined {
		for (;;) {
			const serves = (candidate: PooledConnection) => candidate.serves(context) && (gateway === undefined || candidate.channel.gateway === gateway);
			const connection = this.#connections.findLast(candidate => serves(candidate) && candidate.matchesSession(context))
				?? this.#connections.findLast(candidate => serves(candidate));
			if (!connection) {
				return undefined;
			}

			this.#remove(connection);
			if (!connection.channel.closed) {
				connection.channel.onClose = undefined;
				return connection;
			}
		}
	}

	/**
	 * Closes a connection of the workspace that has the most idle ones: that which was not used for the longest time. A workspace
	 * that floods uses its connections most recently, and would otherwise displace those of all others, which need new ones then.
	 *
	 * @returns Whether there was one.
	 */
	closeSurplus(): boolean {
		const counts = new Map<string | undefined, number>();
		for (const {workspace} of this.#connections) {
			counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
		}

		const most = Math.max(...counts.values());
		const connection = this.#connections.find(({workspace}) => counts.get(workspace) === most);
		if (connection) {
			this.#remove(connection);
			connection.channel[Symbol.dispose]();
		}

		return connection !== undefined;
	}

	/** Closes the connections that may have gone silent together with one on which a request got no response. */
	closeUnproven(failedRequestSentAt: number): void {
		for (const {channel} of findUnprovenConnections(this.#connections, failedRequestSentAt)) {
			channel[Symbol.dispose]();
		}
	}

	/** Closes all connections. */
	closeAll(): void {
		for (const {channel} of this.#connections.splice(0)) {
			channel[Symbol.dispose]();
		}
	}

	#remove(connection: PooledConnection): void {
		const index = this.#connections.indexOf(connection);
		if (index !== -1) {
			this.#connections.splice(index, 1);
		}
	}
}
