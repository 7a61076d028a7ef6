import {createServer, type Server} from 'node:net';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type EventLog} from '../process/event-log.js';
import {RelayServerConnection, type RelayHost} from './relay-server-connection.js';

/** Accepts connections from hosts that use this host as a gateway. */
export class RelayListener {
	readonly #server: Server;
	readonly #connections = new Set<RelayServerConnection>();

	/**
	 * @param host - Host whose connections to instances the other hosts use.
	 * @param services - Services.
	 */
	constructor(host: RelayHost, services: {timer: TimerService; log: EventLog}) {
		this.#server = createServer(socket => {
			const connection = new RelayServerConnection(socket, {host, ...services});
			this.#connections.add(connection);
			socket.on('close', () => {
				this.#connections.delete(connection);
			});
		});
	}

	/** Number of connections on which a request is running or a transaction is open. */
	get busyConnections(): number {
		return [...this.#connections].filter(connection => connection.isBusy).length;
	}

	/** Listens on an address. */
	async listen(address: string, port: number): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({host: address, port}, resolve);
		});
	}

	/** Asks the other hosts to use another gateway. They close each connection when no transaction needs it any more. */
	announceLeaving(): void {
		for (const connection of this.#connections) {
			connection.announceLeaving();
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
