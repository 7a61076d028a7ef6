import {createServer, type Server} from 'node:net';
import {type ClientCodec} from './client-codec.js';
import {ClientConnection, type ClientServices, type SessionHost} from './client-connection.js';

/** Length of the accept queue. SYN packets must not be dropped when all clients reconnect at the same time. */
const backlog = 1024;

/** File descriptors that are reserved for instances, the store, the listeners and files. */
const reservedDescriptors = 600;

/** Accepts client connections. */
export class ClientListener {
	readonly #server: Server;
	readonly #connections = new Set<ClientConnection>();

	/**
	 * @param host - Host that serves the clients.
	 * @param services - Event log for failures, and monotonic clock.
	 * @param createCodec - Creates the protocol codec of a connection.
	 */
	constructor(host: SessionHost, services: ClientServices, createCodec: () => ClientCodec) {
		this.#server = createServer(socket => {
			const connection = new ClientConnection(socket, createCodec(), host, services);
			this.#connections.add(connection);
			socket.on('close', () => {
				this.#connections.delete(connection);
			});
		});
	}

	/** Number of open connections. */
	get connectionCount(): number {
		return this.#connections.size;
	}

	/** Number of connections on which a request is being executed or a transaction is open. */
	get busyConnections(): number {
		return [...this.#connections].filter(connection => connection.isBusy).length;
	}

	/** Number of connections on which a request is being executed. */
	get executingConnections(): number {
		return [...this.#connections].filter(connection => connection.isExecuting).length;
	}

	/**
	 * Listens on an address.
	 *
	 * @param address - IP address.
	 * @param port - Port.
	 * @param descriptors - File descriptors that the process may open. Excess client connections are refused immediately.
	 */
	async listen(address: string, port: number, descriptors: number): Promise<void> {
		this.#server.maxConnections = Math.max(1, descriptors - reservedDescriptors);
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({host: address, port, backlog}, resolve);
		});
	}

	/** Closes each open connection as soon as it is idle. */
	closeIdle(): void {
		for (const connection of this.#connections) {
			connection.closeWhenIdle();
		}
	}

	/** Rolls back each open transaction as soon as none of its statements is running, and refuses further ones. */
	refuseTransactions(): void {
		for (const connection of this.#connections) {
			connection.refuseTransactions();
		}
	}

	/** Closes all connections after what is left to send. */
	endAll(): void {
		for (const connection of this.#connections) {
			connection.end();
		}
	}

	/** Closes the listener and all connections immediately. */
	destroy(): void {
		this.#server.close();
		for (const connection of this.#connections) {
			connection.destroy();
		}
	}
}
