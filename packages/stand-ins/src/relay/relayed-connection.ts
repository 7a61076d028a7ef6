import {connect, type Socket} from 'node:net';
import {StreamForwarder} from './stream-forwarder.js';
import {type EffectiveRule, type Endpoint} from './rule.js';

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
	readonly getEffectiveRule: (from: Endpoint, to: Endpoint) => EffectiveRule;
	/** Called for bytes that one end sent to the other. */
	readonly onBytes: (from: Endpoint, to: Endpoint, bytes: number) => void;
	readonly onClose: () => void;
};

/** Connection of a source through the relay to a destination. */
export class RelayedConnection {
	readonly #options: RelayedConnectionOptions;
	#server: Socket | undefined;
	#requestForwarder: StreamForwarder | undefined;
	#responseForwarder: StreamForwarder | undefined;
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
		this.applyRules();
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
	applyRules(): void {
		const {source, destination, getEffectiveRule} = this.#options;
		const requestRule = getEffectiveRule(source, destination);
		const responseRule = getEffectiveRule(destination, source);
		if (this.#requestForwarder && this.#responseForwarder) {
			this.#requestForwarder.setRule(requestRule);
			this.#responseForwarder.setRule(responseRule);
		} else if (!requestRule.isPartition && !this.#isClosed) {
			this.#open(requestRule, responseRule);
		}
	}

	/** Resets both sides. */
	reset(): void {
		this.#options.client.resetAndDestroy();
		this.#server?.resetAndDestroy();
		this.#close();
	}

	#open(requestRule: EffectiveRule, responseRule: EffectiveRule): void {
		const {client, target, localAddress, source, destination, onBytes} = this.#options;
		const [host, port] = target.split(':');
		const server = connect({
			host: host!, port: Number(port), localAddress, allowHalfOpen: true, noDelay: true,
		});
		this.#server = server;
		this.#requestForwarder = new StreamForwarder(client, server, requestRule, {
			onReset() {},
			onBytes(bytes) {
				onBytes(source, destination, bytes);
			},
		});
		this.#responseForwarder = new StreamForwarder(server, client, responseRule, {
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
		this.#requestForwarder?.close();
		this.#responseForwarder?.close();
		this.#server?.destroy();
		this.#options.onClose();
	}
}
