import {once} from 'node:events';
import {createServer, type AddressInfo, type Server, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {HttpEndpoint, HttpError, type HttpCall} from '../process/index.js';
import {Retransmission, type RetransmissionOptions} from './retransmission.js';
import {RelayedConnection} from './relayed-connection.js';
import {
	combineRules, matchesEndpoint, type Endpoint, type Rule, type Selector,
} from './rule.js';

/** Options of a `Relay`. */
export type RelayOptions = {
	readonly address: string;
	readonly port: number;
};

type Destination = Endpoint & {
	target: string;
	readonly server: Server;
	readonly listenAddress: string;
	/** Time that each new connection takes, one after the other, in milliseconds. */
	acceptMilliseconds: number;
	/** Resolves when all earlier connections have been accepted. */
	accepted: Promise<void>;
};

type Json = Readonly<Record<string, unknown>>;

function getRequiredText(body: Json, field: string): string {
	const value = body[field];
	if (typeof value !== 'string' || value === '') {
		throw new HttpError(400, {error: `field "${field}" is missing`});
	}

	return value;
}

function parseSelector(value: unknown): Selector {
	const {name, zone} = (value ?? {}) as Json;
	return {...(typeof name === 'string' && {name}), ...(typeof zone === 'string' && {zone})};
}

/** TCP relay between the processes of a test. Injects delays, partitions and resets by source and destination. */
export class Relay implements AsyncDisposable {
	readonly #options: RelayOptions;
	readonly #controlEndpoint = new HttpEndpoint(call => this.#handle(call));
	readonly #destinations = new Map<string, Destination>();
	readonly #sources = new Map<string, Endpoint>();
	readonly #rules = new Map<string, Rule>();
	readonly #traffic = new Map<string, {readonly from: string; readonly to: string; bytes: number; chunks: number}>();
	readonly #connections = new Set<RelayedConnection>();
	#nextRule = 1;

	/** @param options - Address of the control API; the destinations listen on the same IP address. */
	constructor(options: RelayOptions) {
		this.#options = options;
	}

	/** Starts the HTTP control API and returns its address and port. */
	async listen(): Promise<string> {
		return this.#controlEndpoint.listen(this.#options.address, this.#options.port);
	}

	/** @inheritdoc */
	async [Symbol.asyncDispose](): Promise<void> {
		for (const {server} of this.#destinations.values()) {
			server.close();
		}

		for (const connection of this.#connections) {
			connection.reset();
		}

		await this.#controlEndpoint[Symbol.asyncDispose]();
	}

	#handle(call: HttpCall): unknown {
		const {method, path, body} = call;
		const handlers: Readonly<Record<string, () => unknown>> = {
			'POST /destinations': () => this.#addDestination(body),
			'POST /sources': () => this.#addSource(body),
			'POST /rules': () => this.#addRules(body),
			'DELETE /rules': () => this.#removeRules([...this.#rules.keys()]),
			'POST /reset': () => ({reset: this.#endConnections(body, connection => {
				connection.reset();
			})}),
			'POST /silence': () => ({silenced: this.#endConnections(body, connection => {
				connection.silence();
			})}),
			'POST /acceptance': () => this.#setAcceptance(body),
			'GET /status': () => this.#getStatus(),
			'GET /traffic': () => ({flows: [...this.#traffic.values()]}),
		};
		const handler = handlers[`${method} ${path}`];
		if (handler) {
			return handler();
		}

		if (method === 'DELETE' && path.startsWith('/rules/')) {
			return this.#removeRules(path.slice('/rules/'.length).split(','));
		}

		throw new HttpError(404, {error: `unknown route ${method} ${path}`});
	}

	/** Adds a destination. If one with the same name and service exists, changes its target and keeps its listening address. */
	async #addDestination(body: Json): Promise<Json> {
		const name = getRequiredText(body, 'name');
		const zone = getRequiredText(body, 'zone');
		const target = getRequiredText(body, 'address');
		const key = typeof body.service === 'string' ? `${name}/${body.service}` : name;
		const existing = this.#destinations.get(key);
		if (existing) {
			existing.target = target;
			return {address: existing.listenAddress};
		}

		const server = createServer({allowHalfOpen: true, pauseOnConnect: true}, socket => {
			void this.#acceptInOrder(socket, destination);
		});
		server.listen(0, this.#options.address, 1024);
		await once(server, 'listening');
		const listenAddress = `${this.#options.address}:${(server.address() as AddressInfo).port}`;
		const destination: Destination = {
			name, zone, target, server, listenAddress, acceptMilliseconds: 0, accepted: Promise.resolve(),
		};
		this.#destinations.set(key, destination);
		return {address: listenAddress};
	}

	#addSource(body: Json): Json {
		this.#sources.set(getRequiredText(body, 'address'), {name: getRequiredText(body, 'name'), zone: getRequiredText(body, 'zone')});
		return {};
	}

	#addRules(body: Json): Json {
		const source = parseSelector(body.source);
		const destination = parseSelector(body.destination);
		const identifiers = [this.#addRule(source, destination, body)];
		if (body.bothWays === true) {
			identifiers.push(this.#addRule(destination, source, body));
		}

		this.#applyRules();
		return {identifiers};
	}

	#addRule(source: Selector, destination: Selector, body: Json): string {
		const identifier = String(this.#nextRule++);
		this.#rules.set(identifier, {
			identifier,
			source,
			destination,
			delayMilliseconds: Number(body.delayMilliseconds ?? 0),
			isPartition: body.partition === true,
			...(body.resetAfterResponseBytes !== undefined && {resetAfterResponseBytes: Number(body.resetAfterResponseBytes)}),
			...(body.retransmission !== undefined && {retransmission: new Retransmission(body.retransmission as RetransmissionOptions)}),
		});
		return identifier;
	}

	#removeRules(identifiers: readonly string[]): Json {
		let removed = 0;
		for (const identifier of identifiers) {
			removed += this.#rules.delete(identifier) ? 1 : 0;
		}

		this.#applyRules();
		return {removed};
	}

	/** Resets or silences all connections from the source to the destination and returns their number. */
	#endConnections(body: Json, end: (connection: RelayedConnection) => void): number {
		const source = parseSelector(body.source);
		const destination = parseSelector(body.destination);
		const selected = [...this.#connections].filter(connection => matchesEndpoint(source, connection.source) && matchesEndpoint(destination, connection.destination));
		for (const connection of selected) {
			end(connection);
		}

		return selected.length;
	}

	/** Makes destinations take a time for each new connection, also for one whose client has gone, like an overloaded server. */
	#setAcceptance(body: Json): Json {
		const destinations = [...this.#destinations.values()].filter(destination => matchesEndpoint(parseSelector(body.destination), destination));
		for (const destination of destinations) {
			destination.acceptMilliseconds = Number(body.milliseconds ?? 0);
		}

		return {destinations: destinations.length};
	}

	#applyRules(): void {
		for (const connection of this.#connections) {
			connection.applyRules();
		}
	}

	#getStatus(): Json {
		return {
			connections: this.#connections.size,
			rules: [...this.#rules.values()],
			destinations: [...this.#destinations.values()].map(({name, zone, target, listenAddress}) => ({
				name, zone, target, listenAddress,
			})),
			sources: [...this.#sources].map(([address, source]) => ({address, ...source})),
		};
	}

	#countBytes(from: Endpoint, to: Endpoint, bytes: number): void {
		const key = `${from.name}>${to.name}`;
		const flow = this.#traffic.get(key) ?? {from: from.name, to: to.name, bytes: 0, chunks: 0};
		flow.bytes += bytes;
		flow.chunks++;
		this.#traffic.set(key, flow);
	}

	async #acceptInOrder(client: Socket, destination: Destination): Promise<void> {
		if (destination.acceptMilliseconds === 0) {
			this.#accept(client, destination);
			return;
		}

		client.on('error', () => {
			client.destroy();
		});
		destination.accepted = (async () => {
			await destination.accepted;
			await sleep(destination.acceptMilliseconds);
		})();
		await destination.accepted;
		if (!client.destroyed) {
			this.#accept(client, destination);
		}
	}

	#accept(client: Socket, destination: Destination): void {
		const address = client.remoteAddress ?? '';
		const connection: RelayedConnection = new RelayedConnection({
			client,
			source: this.#sources.get(address) ?? {name: address, zone: ''},
			destination,
			target: destination.target,
			localAddress: this.#options.address,
			getEffectiveRule: (from, to) => combineRules(this.#rules.values(), from, to),
			onBytes: (from, to, bytes) => {
				this.#countBytes(from, to, bytes);
			},
			onClose: () => {
				this.#connections.delete(connection);
			},
		});
		this.#connections.add(connection);
	}
}
