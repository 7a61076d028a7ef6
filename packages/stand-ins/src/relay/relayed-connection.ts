import {connect, type Socket} from 'node:net';
import {Direction} from './direction.js';
import {type Effect, type Endpoint} from './rule.js';

/** Settings of a `RelayedConnection`. */
export type RelayedConnectionOptions = {
	readonly client: Socket;
	readonly source: Endpoint;
	readonly destination: Endpoint;
	/** IP address and port to connect to. */
	readonly target: string;
	/** IP address of the outgoing connection. */
	readonly localAddress: string;
	/** Combines the rules for a direction. */
	readonly getEffect: (from: Endpoint, to: Endpoint) => Effect;
	/** Called for bytes that one end sent to the other. */
	readonly onBytes: (from: Endpoint, to: Endpoint, bytes: number) => void;
	readonly onClose: () => void;
};

/** Connection of a source through the relay to a destination. */
export class RelayedConnection {
	readonly #options: RelayedConnectionOptions;
	#server: Socket | undefined;
	#request: Direction | undefined;
	#response: Direction | undefined;
	#isClosed = false;

	/** @param options - Settings. */
	constructor(options: RelayedConnectionOptions) {
		this.#options = options;
		const {client} = options;
		client.setNoDelay(true);
		client.pause();
		client.on('error', () => {
			this.#close();
		});
		client.on('close', () => {
			this.#close();
		});
		this.update();
	}

	/** Source of the connection. */
	get source(): Endpoint {
		return this.#options.source;
	}

	/** Destination of the connection. */
	get destination(): Endpoint {
		return this.#options.destination;
	}

	/** Applies the present rules. A connection that a partition kept from its destination is opened when it ends. */
	update(): void {
		const {source, destination, getEffect} = this.#options;
		const requestEffect = getEffect(source, destination);
		const responseEffect = getEffect(destination, source);
		if (this.#request && this.#response) {
			this.#request.setEffect(requestEffect);
			this.#response.setEffect(responseEffect);
		} else if (!requestEffect.isPartition && !this.#isClosed) {
			this.#open(requestEffect, responseEffect);
		}
	}

	/** Resets both sides. */
	reset(): void {
		this.#options.client.resetAndDestroy();
		this.#server?.resetAndDestroy();
		this.#close();
	}

	#open(requestEffect: Effect, responseEffect: Effect): void {
		const {client, target, localAddress, source, destination, onBytes} = this.#options;
		const [host, port] = target.split(':');
		const server = connect({
			host: host!, port: Number(port), localAddress, allowHalfOpen: true, noDelay: true,
		});
		this.#server = server;
		this.#request = new Direction(client, server, requestEffect, {
			onReset() {},
			onBytes(bytes) {
				onBytes(source, destination, bytes);
			},
		});
		this.#response = new Direction(server, client, responseEffect, {
			onReset: () => {
				this.reset();
			},
			onBytes(bytes) {
				onBytes(destination, source, bytes);
			},
		});
		// A refused or reset connection is passed on as a reset.
		server.on('error', () => {
			this.reset();
		});
		client.resume();
	}

	#close(): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#request?.close();
		this.#response?.close();
		this.#server?.destroy();
		this.#options.onClose();
	}
}
