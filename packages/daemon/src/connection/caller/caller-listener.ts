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
/** Idle time after which the kernel sends keepalive probes to detect callers whose host is gone, in milliseconds. */
const keepAliveDelayMilliseconds = 30_000;

/** Options of the listener for caller connections. */
export type CallerListenerOptions = {
	/** IP address to bind to. */
	readonly address: string;
	/** Port; 0 lets the operating system choose. */
	readonly port: number;
	/** Private key and certificate. Without them, TLS requests of callers are declined. */
	readonly tls?: TlsOptions;
	/** Time after which a caller that does not read its response is disconnected, in milliseconds; 30 s if not set. */
	readonly stallTimeoutMilliseconds?: number;
	readonly configurationStore: ConfigurationStore;
	readonly executor: RequestExecutor;
	readonly timerService: TimerService;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/** Accepts caller connections. */
export class CallerListener implements AsyncDisposable {
	readonly #options: CallerListenerOptions;
	readonly #server: Server;
	readonly #connections = new Map<CallerConnection, Promise<void>>();
	readonly #connectionCountByCustomer = new Map<string, number>();
	readonly #cancelKeys = new CancelKeys();
	#isAccepting = true;

	/**
	 * @param options - Address, TLS options and services.
	 */
	constructor(options: CallerListenerOptions) {
		this.#options = options;
		this.#server = createServer({noDelay: true, keepAlive: true, keepAliveInitialDelay: keepAliveDelayMilliseconds}, socket => {
			this.#accept(socket);
		});
	}

	/** Number of open connections, including those that are logging in. */
	get connectionCount(): number {
		return this.#connections.size;
	}

	/**
	 * Starts listening.
	 *
	 * @returns The bound address and port.
	 */
	async listen(): Promise<AddressInfo> {
		this.#server.listen(this.#options.port, this.#options.address);
		await once(this.#server, 'listening');
		return this.#server.address() as AddressInfo;
	}

	/** Stops accepting connections. Open connections are not affected. */
	stopAccepting(): void {
		if (this.#isAccepting) {
			this.#isAccepting = false;
			this.#server.close();
		}
	}

	/**
	 * Closes all connections gracefully: idle ones immediately, the others after their requests are completed. Open
	 * transactions may continue during the grace period. No request in progress is interrupted.
	 *
	 * @param graceMilliseconds - Grace period after which connections with an open transaction are closed.
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

	/** Closes the listener and all connections immediately. */
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
