import {once} from 'node:events';
import {
	type AddressInfo, createServer, type Server, type Socket,
} from 'node:net';
import {
	type Contract, type Logger, type Metrics, type TimerService,
} from '@tarragonstack/core';
import {type TlsOptions} from 'pg-gateway';
import {type RequestExecutor} from '../../request/index.js';
import {type ConfigurationStore} from '../../version/index.js';
import {CallerConnection} from './caller-connection.js';
import {CancelKeys} from './cancel-keys.js';

const defaultStallTimeoutMilliseconds = 30_000;
/** Idle time after which the kernel checks whether a caller's host still exists, in milliseconds. */
const keepAliveDelayMilliseconds = 30_000;

/** Options of a listener for callers. */
export type CallerListenerOptions = {
	/** IP address to bind to. */
	readonly address: string;
	/** Port; 0 lets the operating system choose. */
	readonly port: number;
	/** Key and certificate; without them callers that ask for TLS are told that there is none. */
	readonly tls?: TlsOptions;
	/** Time after which a caller that does not read its response is disconnected, in milliseconds; 30 s if not set. */
	readonly stallTimeoutMilliseconds?: number;
	readonly configurationStore: ConfigurationStore;
	readonly executor: RequestExecutor;
	readonly timerService: TimerService;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/** Accepts the connections of callers. */
export class CallerListener implements AsyncDisposable {
	readonly #options: CallerListenerOptions;
	readonly #server: Server;
	readonly #connections = new Map<CallerConnection, Promise<void>>();
	readonly #connectionCountByCustomer = new Map<string, number>();
	readonly #cancelKeys = new CancelKeys();
	#isAccepting = true;

	/**
	 * @param options - Address and collaborators.
	 */
	constructor(options: CallerListenerOptions) {
		this.#options = options;
		this.#server = createServer({noDelay: true, keepAlive: true, keepAliveInitialDelay: keepAliveDelayMilliseconds}, socket => {
			this.#accept(socket);
		});
	}

	/** Number of open connections, those in login included. */
	get connectionCount(): number {
		return this.#connections.size;
	}

	/**
	 * Binds the listener.
	 *
	 * @returns The address and the port.
	 */
	async listen(): Promise<AddressInfo> {
		this.#server.listen(this.#options.port, this.#options.address);
		await once(this.#server, 'listening');
		return this.#server.address() as AddressInfo;
	}

	/** Refuses new connections. Open ones are not affected. */
	stopAccepting(): void {
		if (this.#isAccepting) {
			this.#isAccepting = false;
			this.#server.close();
		}
	}

	/**
	 * Closes all connections gracefully: idle ones at once, the others after their requests. Open transactions get the
	 * grace; no request in progress is interrupted.
	 *
	 * @param graceMilliseconds - Time after which connections with an open transaction are closed.
	 */
	async drain(graceMilliseconds: number): Promise<void> {
		this.stopAccepting();
		for (const connection of this.#connections.keys()) {
			connection.beginDrain();
		}

		using _grace = this.#options.timerService.schedule(graceMilliseconds, () => {
			for (const connection of this.#connections.keys()) {
				connection.endGracePeriod();
			}
		});
		await Promise.all(this.#connections.values());
	}

	/** Closes the listener and all connections at once. */
	async [Symbol.asyncDispose](): Promise<void> {
		this.stopAccepting();
		for (const connection of this.#connections.keys()) {
			connection.destroy();
		}

		await Promise.all(this.#connections.values());
	}

	#accept(socket: Socket): void {
		const connection = new CallerConnection(socket, {
			...this.#options,
			stallTimeoutMilliseconds: this.#options.stallTimeoutMilliseconds ?? defaultStallTimeoutMilliseconds,
			cancelKeys: this.#cancelKeys,
			admit: contract => this.#admit(contract),
		});
		this.#connections.set(connection, this.#run(connection));
	}

	async #run(connection: CallerConnection): Promise<void> {
		await connection.run();
		this.#connections.delete(connection);
	}

	#admit(contract: Contract): Disposable | undefined {
		const {customer, limits} = contract;
		const count = this.#connectionCountByCustomer.get(customer) ?? 0;
		if (count >= limits.connectionsPerHost) {
			return undefined;
		}

		this.#connectionCountByCustomer.set(customer, count + 1);
		return {
			[Symbol.dispose]: () => {
				const remaining = (this.#connectionCountByCustomer.get(customer) ?? 1) - 1;
				if (remaining === 0) {
					this.#connectionCountByCustomer.delete(customer);
				} else {
					this.#connectionCountByCustomer.set(customer, remaining);
				}
			},
		};
	}
}
