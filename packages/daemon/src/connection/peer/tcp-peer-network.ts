import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {connect as connectSecurely, createServer as createSecureServer, TLSSocket} from 'node:tls';
import {
	encodeFrame, FrameDecoder, MetricName, Verdict, type Logger, type Metrics, type TimerService,
} from '@tarragonstack/core';
import {err, ok, type Result} from 'neverthrow';
import {
	type PeerCallOptions, type PeerError, type PeerHandler, type PeerMessageKind, type PeerNetwork,
} from '../peer-network.js';
import {PeerConnectionEvent, type PeerConnectionEventListener} from './peer-connection-event.js';
import {parsePeerFrame, peerProtocolVersion, PeerFrameType} from './peer-frame.js';
import {LinkCloseReason, PeerLink} from './peer-link.js';
import {type PeerKeys} from './peer-keys.js';

/** Time limit for opening a link including the hello frames, in milliseconds. Opening takes about 10 ms. */
const connectTimeoutMilliseconds = 1000;

/** Interval at which links are checked for silence, in milliseconds. */
const linkCheckIntervalMilliseconds = 50;

/** Time without received data after which a link with outstanding calls is probed, in milliseconds. */
const probeAfterMilliseconds = 100;

/**
 * Time without received data after which a link with outstanding calls is suspended, in milliseconds. A round trip takes
 * about 2 ms.
 */
const suspendAfterMilliseconds = 300;

/**
 * Time without received data after which a suspended link is closed, in milliseconds. A process on a busy machine can be
 * silent for a second while it completes the calls that it has received.
 */
const closeAfterMilliseconds = 5000;

/**
 * Interval between link checks above which this process was probably paused, in milliseconds. The silence of a link then
 * says nothing about the peer.
 */
const eventLoopDelayThresholdMilliseconds = 200;

/** Initial and maximum back-off between connection attempts, in milliseconds. */
const initialBackOffMilliseconds = 50;
const maximumBackOffMilliseconds = 1000;

/** Options of `TcpPeerNetwork`. */
export type TcpPeerNetworkOptions = {
	readonly ownName: string;
	/** IP address of the listener, and source address of outgoing connections. */
	readonly address: string;
	/** Port of the listener. 0 selects an ephemeral port. */
	readonly port: number;
	/** Returns the address and port on which a host listens, or `undefined` if the host is unknown. */
	readonly resolveAddress: (host: string) => string | undefined;
	/** Called when a host that `resolveAddress` does not know attempts to connect. */
	readonly onUnknownPeer?: (host: string) => void;
	readonly timerService: TimerService;
	readonly logger: Logger;
	readonly metrics: Metrics;
	/** Keys for mutual TLS. Without them, links are not encrypted. */
	readonly keys?: PeerKeys;
	/** Protocol version to announce. Set only by tests. */
	readonly protocolVersion?: number;
	/** Returns a random number from 0 to 1 for the jitter of the back-off. */
	readonly random?: () => number;
};

type PeerRecord = {
	/** Open links in the order in which they were opened. */
	readonly links: PeerLink[];
	connecting?: Promise<Result<PeerLink, string>>;
	/** Whether the last attempt failed or the last link is silent. Calls then fail immediately until a link accepts calls. */
	isDown: boolean;
	failures: number;
	nextAttemptAt: number;
};

/** TCP links to the other hosts, with mutual TLS if keys are given. */
export class TcpPeerNetwork implements PeerNetwork, AsyncDisposable {
	readonly #options: TcpPeerNetworkOptions;
	readonly #server: Server;
	readonly #handlers = new Map<PeerMessageKind, PeerHandler>();
	readonly #peers = new Map<string, PeerRecord>();
	readonly #sockets = new Set<Socket>();
	readonly #listeners = new Set<PeerConnectionEventListener>();
	readonly #protocolVersion: number;
	readonly #subscriptions: Disposable[] = [];
	#lastLinkCheckAt = 0;
	#stopped = false;

	/**
	 * @param options - Name and address of this host, and the dependencies of the network.
	 */
	constructor(options: TcpPeerNetworkOptions) {
		this.#options = options;
		this.#protocolVersion = options.protocolVersion ?? peerProtocolVersion;
		const accept = (socket: Socket) => {
			void this.#accept(socket);
		};

		if (options.keys) {
			const server = createSecureServer({...options.keys.current, requestCert: true, rejectUnauthorized: true}, accept);
			server.on('tlsClientError', error => {
				this.#recordRefusal('tls', error.message);
			});
			this.#subscriptions.push(options.keys.subscribe(keys => {
				server.setSecureContext(keys);
			}));
			this.#server = server;
		} else {
			this.#server = createServer(accept);
		}
	}

	/** Port on which this host listens. */
	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	/** Starts to listen and to check the links. */
	async start(): Promise<void> {
		this.#server.listen(this.#options.port, this.#options.address);
		await once(this.#server, 'listening');
		this.#lastLinkCheckAt = this.#options.timerService.now();
		this.#subscriptions.push(this.#options.timerService.subscribe(linkCheckIntervalMilliseconds, now => {
			this.#checkLinks(now);
		}));
	}

	/** @inheritdoc */
	async call(host: string, kind: PeerMessageKind, body: unknown, options: PeerCallOptions): Promise<Result<unknown, PeerError>> {
		const startedAt = this.#options.timerService.now();
		if (options.signal?.aborted) {
			return err({verdict: Verdict.NotRun, message: 'the call was aborted before it was sent'});
		}

		const link = this.#getOpenLink(host) ?? await this.#waitForLink(host, options);
		if (typeof link === 'string') {
			return err({verdict: Verdict.NotRun, message: link});
		}

		const timeoutMilliseconds = options.timeoutMilliseconds - (this.#options.timerService.now() - startedAt);
		return timeoutMilliseconds > 0
			? link.call(kind, body, {...options, timeoutMilliseconds})
			: err({verdict: Verdict.NotRun, message: `no link to ${host} was opened in time`});
	}

	/** @inheritdoc */
	notify(host: string, kind: PeerMessageKind, body: unknown): void {
		const link = this.#getOpenLink(host);
		if (link) {
			link.notify(kind, body);
			return;
		}

		void this.#notifyAfterConnecting(host, kind, body);
	}

	/** @inheritdoc */
	handle(kind: PeerMessageKind, handler: PeerHandler): void {
		this.#handlers.set(kind, handler);
	}

	/**
	 * Subscribes to the connection events of all peers.
	 *
	 * @param listener - Called with the name of the peer and the event.
	 */
	subscribeToConnectionEvents(listener: PeerConnectionEventListener): Disposable {
		this.#listeners.add(listener);
		return {
			[Symbol.dispose]: () => {
				this.#listeners.delete(listener);
			},
		};
	}

	/**
	 * Stops opening and accepting links, and closes the open links when their calls have finished.
	 *
	 * @param timeoutMilliseconds - Time after which links are closed even if calls are outstanding.
	 */
	async drain(timeoutMilliseconds: number): Promise<void> {
		this.#stopped = true;
		const links = [...this.#peers.values()].flatMap(record => record.links);
		await Promise.all(links.map(async link => link.drain(timeoutMilliseconds)));
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#stopped = true;
		for (const subscription of this.#subscriptions) {
			subscription[Symbol.dispose]();
		}

		for (const record of this.#peers.values()) {
			for (const link of record.links) {
				link.close(LinkCloseReason.Local);
			}
		}

		for (const socket of this.#sockets) {
			socket.destroy(new Error('this host is stopping'));
		}

		if (this.#server.listening) {
			this.#server.close();
			await once(this.#server, 'close');
		}
	}

	#getRecord(host: string): PeerRecord {
		let record = this.#peers.get(host);
		if (!record) {
			record = {links: [], isDown: false, failures: 0, nextAttemptAt: 0};
			this.#peers.set(host, record);
		}

		return record;
	}

	#getOpenLink(host: string): PeerLink | undefined {
		return this.#peers.get(host)?.links.findLast(link => link.acceptsCalls);
	}

	async #waitForLink(host: string, options: PeerCallOptions): Promise<PeerLink | string> {
		const wasDown = this.#peers.get(host)?.isDown;
		const connecting = this.#connect(host);
		if (typeof connecting === 'string') {
			return connecting;
		}

		if (wasDown) {
			return `the link to ${host} is down; a new attempt is in progress`;
		}

		const abortController = new AbortController();
		const abort = () => {
			abortController.abort();
		};

		options.signal?.addEventListener('abort', abort, {once: true});
		const result = await Promise.race([connecting, this.#options.timerService.sleep(options.timeoutMilliseconds, abortController.signal)]);
		abort();
		options.signal?.removeEventListener('abort', abort);
		return result ? result.unwrapOr(`no link to ${host} could be opened`) : `no link to ${host} was opened in time`;
	}

	async #notifyAfterConnecting(host: string, kind: PeerMessageKind, body: unknown): Promise<void> {
		const connecting = this.#connect(host);
		if (typeof connecting !== 'string') {
			const result = await connecting;
			if (result.isOk()) {
				result.value.notify(kind, body);
			}
		}
	}

	/** Returns the connection attempt in progress or a new one, or the reason why no attempt is made. */
	#connect(host: string): Promise<Result<PeerLink, string>> | string {
		const address = this.#options.resolveAddress(host);
		if (this.#stopped || address === undefined || host === this.#options.ownName) {
			return this.#stopped ? 'this host is stopping' : `there is no peer "${host}"`;
		}

		const record = this.#getRecord(host);
		if (!record.connecting) {
			if (this.#options.timerService.now() < record.nextAttemptAt) {
				return `the link to ${host} is down`;
			}

			record.connecting = this.#openLink(host, address, record);
		}

		return record.connecting;
	}

	async #openLink(host: string, address: string, record: PeerRecord): Promise<Result<PeerLink, string>> {
		const {timerService, random} = this.#options;
		const socket = this.#createSocket(host, address);
		let isTimedOut = false;
		const timer = timerService.schedule(connectTimeoutMilliseconds, () => {
			isTimedOut = true;
			// `once` rejects on an error event only, not on a close.
			socket.destroy(new Error('the link was not opened in time'));
		});
		try {
			await once(socket, socket instanceof TLSSocket ? 'secureConnect' : 'connect');
			socket.write(this.#createHello());
			const handshake = await this.#readHello(socket);
			if (handshake.host !== host) {
				this.#recordRefusal('name', `expected ${host}, found ${handshake.host}`);
				throw new Error(`the host at ${address} is not ${host}`);
			}

			return ok(this.#startLink(host, socket, handshake));
		} catch (error) {
			socket.destroy();
			record.failures++;
			record.isDown = record.links.every(({acceptsCalls}) => !acceptsCalls);
			const backOff = Math.min(maximumBackOffMilliseconds, initialBackOffMilliseconds * (2 ** (record.failures - 1)));
			record.nextAttemptAt = timerService.now() + (backOff * (0.5 + ((random ?? Math.random)() / 2)));
			const isRefused = error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
			this.#emitConnectionEvent(host, isRefused ? PeerConnectionEvent.Refused : (isTimedOut ? PeerConnectionEvent.Silent : PeerConnectionEvent.Closed));
			return err(String(error));
		} finally {
			timer[Symbol.dispose]();
			delete record.connecting;
		}
	}

	#createSocket(host: string, address: string): Socket {
		const separator = address.lastIndexOf(':');
		const target = {host: address.slice(0, separator), port: Number(address.slice(separator + 1)), localAddress: this.#options.address};
		const socket = this.#options.keys
			? connectSecurely({
				...target,
				...this.#options.keys.current,
				checkServerIdentity: (_, certificate) => certificate.subject.CN === host ? undefined : new Error(`the certificate does not belong to ${host}`),
			})
			: connect(target);
		this.#prepareSocket(socket);
		return socket;
	}

	#prepareSocket(socket: Socket): void {
		socket.setNoDelay(true);
		this.#sockets.add(socket);
		socket.on('error', () => {
			// The error is also reported to the code that reads the socket.
		});
		socket.on('close', () => {
			this.#sockets.delete(socket);
		});
	}

	#createHello(): Buffer {
		return encodeFrame([PeerFrameType.Hello, this.#protocolVersion, this.#options.ownName]);
	}

	async #accept(socket: Socket): Promise<void> {
		this.#prepareSocket(socket);
		if (this.#stopped) {
			socket.destroy();
			return;
		}

		const timer = this.#options.timerService.schedule(connectTimeoutMilliseconds, () => {
			socket.destroy();
		});
		try {
			const handshake = await this.#readHello(socket);
			if (this.#options.resolveAddress(handshake.host) === undefined) {
				this.#options.onUnknownPeer?.(handshake.host);
				this.#recordRefusal('name', `unknown peer ${handshake.host}`);
				throw new Error('the peer is unknown');
			}

			socket.write(this.#createHello());
			// A peer opens a link only if it has none, so it no longer uses its previous links.
			const previousLinks = this.#getRecord(handshake.host).links.filter(link => !link.isOutgoing);
			this.#startLink(handshake.host, socket, handshake, false);
			for (const link of previousLinks) {
				// A peer that suspended its link because this host was silent still waits for the replies to its calls.
				if (link.outstandingCallCount === 0) {
					link.close(LinkCloseReason.Lost);
				}
			}
		} catch {
			socket.destroy();
		} finally {
			timer[Symbol.dispose]();
		}
	}

	async #readHello(socket: Socket): Promise<{host: string; decoder: FrameDecoder; bufferedValues: unknown[]}> {
		const decoder = new FrameDecoder();
		for (;;) {
			const chunk = await readChunk(socket);
			const values = decoder.push(chunk);
			if (values.isErr()) {
				this.#recordRefusal('frame', values.error);
				throw new Error(values.error);
			}

			const [first, ...bufferedValues] = values.value;
			if (values.value.length === 0) {
				continue;
			}

			const hello = parsePeerFrame(first);
			if (hello?.[0] !== PeerFrameType.Hello) {
				this.#recordRefusal('frame', 'the first frame is not a hello');
				throw new Error('the first frame is not a hello');
			}

			const [, version, host] = hello;
			if (Math.abs(version - this.#protocolVersion) > 1) {
				this.#recordRefusal('version', `${host} has protocol version ${version}`);
				throw new Error('the protocol version of the peer is not supported');
			}

			if (socket instanceof TLSSocket && socket.getPeerCertificate().subject.CN !== host) {
				this.#recordRefusal('name', `the certificate does not belong to ${host}`);
				throw new Error('the certificate does not match the host name');
			}

			return {host, decoder, bufferedValues};
		}
	}

	#startLink(host: string, socket: Socket, handshake: {decoder: FrameDecoder; bufferedValues: unknown[]}, isOutgoing = true): PeerLink {
		const record = this.#getRecord(host);
		const link = new PeerLink({
			peer: host,
			isOutgoing,
			socket,
			timerService: this.#options.timerService,
			callbacks: {
				getHandler: kind => this.#handlers.get(kind),
				onUnmatchedFrame: () => {
					this.#options.metrics.increment(MetricName.LateResponseDropped, 1, {peer: host});
				},
				onResumed: () => {
					this.#options.logger.info({peer: host}, 'peer link resumed');
					record.isDown = false;
					this.#emitConnectionEvent(host, PeerConnectionEvent.Connected);
				},
				onError: description => {
					this.#recordRefusal('frame', `${host}: ${description}`);
				},
			},
		});
		record.links.push(link);
		record.failures = 0;
		record.isDown = false;
		record.nextAttemptAt = 0;
		void this.#runLink(link, record, handshake);
		this.#emitConnectionEvent(host, PeerConnectionEvent.Connected);
		return link;
	}

	async #runLink(link: PeerLink, record: PeerRecord, handshake: {decoder: FrameDecoder; bufferedValues: unknown[]}): Promise<void> {
		const reason = await link.run(handshake.decoder, handshake.bufferedValues);
		record.links.splice(record.links.indexOf(link), 1);
		if (record.links.length === 0 && !this.#stopped) {
			record.isDown = reason === LinkCloseReason.Silent;
			this.#options.logger.info({peer: link.peer, reason}, 'peer link closed');
			this.#emitConnectionEvent(link.peer, PeerConnectionEvent.Closed);
		}
	}

	#checkLinks(now: number): void {
		const isDelayed = now - this.#lastLinkCheckAt > eventLoopDelayThresholdMilliseconds;
		this.#lastLinkCheckAt = now;
		for (const record of this.#peers.values()) {
			for (const link of record.links) {
				if (isDelayed || (link.outstandingCallCount === 0 && !link.isSuspended)) {
					// After a pause of this process, received data may not have been read yet.
					link.lastReceivedAt = now;
					link.probedAt = undefined;
				} else if (now - link.lastReceivedAt >= closeAfterMilliseconds) {
					link.close(LinkCloseReason.Silent);
				} else if (now - link.lastReceivedAt >= suspendAfterMilliseconds && !link.isSuspended) {
					this.#suspend(link, record);
				} else if (now - link.lastReceivedAt >= probeAfterMilliseconds && link.probedAt === undefined) {
					link.probe();
				}
			}
		}
	}

	#suspend(link: PeerLink, record: PeerRecord): void {
		this.#options.logger.info({peer: link.peer, outstandingCalls: link.outstandingCallCount}, 'peer link suspended because the peer is silent');
		link.suspend();
		if (record.links.every(({acceptsCalls}) => !acceptsCalls)) {
			record.isDown = true;
			this.#emitConnectionEvent(link.peer, PeerConnectionEvent.Silent);
		}
	}

	#emitConnectionEvent(host: string, event: PeerConnectionEvent): void {
		if (this.#stopped) {
			return;
		}

		for (const listener of this.#listeners) {
			listener(host, event);
		}
	}

	#recordRefusal(cause: string, detail: string): void {
		this.#options.metrics.increment(MetricName.PeerFrameRefused, 1, {cause});
		this.#options.logger.warn({cause, detail}, 'refused a connection or a frame of a peer');
	}
}

/** Reads one chunk. An asynchronous iterator would destroy the socket afterwards. */
async function readChunk(socket: Socket): Promise<Buffer> {
	for (;;) {
		const chunk = socket.read() as Buffer | null;
		if (chunk !== null) {
			return chunk;
		}

		if (socket.destroyed || socket.readableEnded) {
			throw new Error('the connection was closed before the hello frame');
		}

		await new Promise<void>(resolve => {
			const finish = () => {
				socket.off('readable', finish);
				socket.off('end', finish);
				socket.off('close', finish);
				resolve();
			};

			socket.on('readable', finish);
			socket.on('end', finish);
			socket.on('close', finish);
		});
	}
}
