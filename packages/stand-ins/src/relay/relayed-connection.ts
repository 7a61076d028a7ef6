import {connect, type Socket} from 'node:net';
import {StreamForwarder} from './stream-forwarder.js';
import {type EffectiveRule, type Endpoint} from './rule.js';

/** Options of a `RelayedConnection`. */
export type RelayedConnectionOptions = {
	readonly client: Socket;
	readonly source: Endpoint;
	readonly destination: Endpoint;
	/** IP address and port of the destination server. */
	readonly target: string;
	/** Local IP address of the outgoing connection. */
	readonly localAddress: string;
	/** Returns the combination of the rules for one direction. */
	readonly getEffectiveRule: (from: Endpoint, to: Endpoint) => EffectiveRule;
	/** Called with the size of each chunk sent from one endpoint to the other. */
	readonly onBytes: (from: Endpoint, to: Endpoint, bytes: number) => void;
	readonly onClose: () => void;
};

/** Connection from a source through the relay to a destination. */
export class RelayedConnection {
	readonly #options: RelayedConnectionOptions;
	#server: Socket | undefined;
	#requestForwarder: StreamForwarder | undefined;
	#responseForwarder: StreamForwarder | undefined;
	#isClosed = false;
	#isSilent = false;

	/** @param options - Accepted socket, endpoints and callbacks. */
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

	/** Endpoint that opened the connection. */
	get source(): Endpoint {
		return this.#options.source;
	}

	/** Endpoint that the connection leads to. */
	get destination(): Endpoint {
		return this.#options.destination;
	}

	/** Applies the current rules. If a partition blocks requests, the outgoing connection is opened only when it ends. */
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

	/** Resets the incoming and the outgoing connection. */
	reset(): void {
		this.#isSilent = false;
		this.#options.client.resetAndDestroy();
		this.#server?.resetAndDestroy();
		this.#close();
	}

	/** Passes nothing on any more, not even the end of a side, and leaves both sides open. */
	silence(): void {
		this.#isSilent = true;
		this.#requestForwarder?.close();
		this.#responseForwarder?.close();
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
		// The client sees a refused or reset outgoing connection as a reset.
		server.on('error', () => {
			this.reset();
		});
		client.resume();
	}

	#close(): void {
		if (this.#isClosed || this.#isSilent) {
			return;
		}

		this.#isClosed = true;
		this.#requestForwarder?.close();
		this.#responseForwarder?.close();
		this.#server?.destroy();
		this.#options.onClose();
	}
}
