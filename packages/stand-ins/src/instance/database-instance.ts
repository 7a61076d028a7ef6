import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Server, type Socket} from 'node:net';
import {createLogger, SystemTimerService, type Logger} from '@tarragonstack/core';
import {type State} from 'pg-gateway';
import {HttpEndpoint, HttpError, type HttpCall} from '../process/index.js';
import {backendMessages} from './backend-messages.js';
import {ClientConnection, type CancelKey} from './client-connection.js';
import {ControlFunctions} from './control-functions.js';
import {DatabaseSession} from './database-session.js';
import {type InstanceFaults, type InstanceOptions} from './instance-options.js';
import {InstanceState} from './instance-state.js';
import {LockManager} from './lock-manager.js';
import {ReplicationClient} from './replication-client.js';
import {replicationParameter} from './replication-message.js';
import {ReplicationServer} from './replication-server.js';
import {ServiceTimeSampler} from './service-time-sampler.js';
import {SlotPool} from './slot-pool.js';
import {SqlError} from './sql-error.js';
import {StatementExecutor} from './statement-executor.js';

/** Maximum time that `tarragon_follow` waits for the log comparison with the primary. */
const followTimeoutMilliseconds = 1000;

/** Listening addresses of an instance. */
export type InstanceAddresses = {
	readonly database: string;
	readonly control: string;
};

/** Stand-in for a PostgreSQL server with replication and the control functions. */
export class DatabaseInstance implements AsyncDisposable {
	readonly #options: InstanceOptions;
	readonly #logger: Logger;
	readonly #timerService = new SystemTimerService();
	readonly #faults: InstanceFaults;
	readonly #state: InstanceState;
	readonly #slots: SlotPool;
	readonly #executor: StatementExecutor;
	readonly #replicationServer: ReplicationServer;
	readonly #server: Server;
	readonly #controlEndpoint: HttpEndpoint;
	readonly #sockets = new Set<Socket>();
	readonly #sessions = new Map<number, {readonly secret: number; readonly session: DatabaseSession}>();
	#connectionCount = 0;
	#nextProcessIdentifier = 1;
	#replicationClient: ReplicationClient | undefined;

	/** @param options - Options of the instance. */
	constructor(options: InstanceOptions) {
		this.#options = options;
		this.#logger = createLogger({instance: options.name});
		this.#faults = {
			lagMilliseconds: options.lagMilliseconds, serviceTimeFactor: 1, failConnections: 0, dropAfterWrites: 0, ignoreReplicationLoss: false,
		};
		this.#state = new InstanceState(this.#timerService, options.journalFile);
		this.#slots = new SlotPool(options.slots);
		const controlFunctions = new ControlFunctions({
			options, state: this.#state, slots: this.#slots, follow: address => this.#follow(address),
		});
		this.#executor = new StatementExecutor({
			state: this.#state,
			locks: new LockManager(this.#timerService, options.lockWaitMilliseconds),
			slots: this.#slots,
			serviceTimes: new ServiceTimeSampler(options.serviceMilliseconds, options.exponentialService, options.seed),
			faults: this.#faults,
			timerService: this.#timerService,
			runControlFunction: (name, argumentValues) => controlFunctions.run(name, argumentValues),
			describeControlFunction: name => controlFunctions.describe(name),
		});
		this.#replicationServer = new ReplicationServer(this.#state, this.#faults, this.#timerService, this.#logger);
		this.#state.subscribeToRole(() => {
			this.#replicationClient?.[Symbol.dispose]();
			this.#replicationClient = undefined;
		});
		this.#server = createServer(socket => {
			this.#accept(socket);
		});
		this.#controlEndpoint = new HttpEndpoint(call => this.#handleControl(call));
	}

	/** Starts listening and returns the addresses. */
	async listen(): Promise<InstanceAddresses> {
		const {address, port, controlPort} = this.#options;
		this.#server.listen(port, address, 1024);
		await once(this.#server, 'listening');
		return {
			database: `${address}:${(this.#server.address() as AddressInfo).port}`,
			control: await this.#controlEndpoint.listen(address, controlPort),
		};
	}

	/** @inheritdoc */
	async [Symbol.asyncDispose](): Promise<void> {
		this.#replicationClient?.[Symbol.dispose]();
		this.#replicationServer[Symbol.dispose]();
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		await this.#controlEndpoint[Symbol.asyncDispose]();
		this.#state[Symbol.dispose]();
	}

	async #follow(address: string): Promise<number> {
		this.#replicationClient?.[Symbol.dispose]();
		const client = new ReplicationClient(address, {
			name: this.#options.name,
			localAddress: this.#options.address,
			state: this.#state,
			faults: this.#faults,
			timerService: this.#timerService,
			logger: this.#logger,
		});
		this.#replicationClient = client;
		const timeoutAbort = new AbortController();
		const waitForTimeout = async () => {
			await this.#timerService.sleep(followTimeoutMilliseconds, timeoutAbort.signal);
			return 0;
		};

		try {
			return await Promise.race([client.truncatedCount, waitForTimeout()]);
		} finally {
			timeoutAbort.abort();
		}
	}

	#accept(socket: Socket): void {
		socket.setNoDelay(true);
		socket.on('error', () => {});
		this.#sockets.add(socket);
		socket.on('close', () => {
			this.#sockets.delete(socket);
		});
		if (this.#faults.failConnections > 0) {
			this.#faults.failConnections--;
			socket.destroy();
			return;
		}

		const cancelKey: CancelKey = {processIdentifier: this.#nextProcessIdentifier++, secret: randomInt(0x7F_FF_FF_FF)};
		const session = new DatabaseSession(socket, this.#executor, this.#faults);
		const connection: ClientConnection = new ClientConnection(socket, {
			authMode: this.#options.password === undefined ? 'none' : 'cleartextPassword',
			validateCredentials: credentials => credentials.authMode === 'cleartextPassword' && credentials.password === this.#options.password,
			onStartup: state => this.#handleStartup(connection, state),
		}, {
			cancelKey,
			onCancel: key => {
				const target = this.#sessions.get(key.processIdentifier);
				if (target?.secret === key.secret) {
					target.session.cancel();
				}
			},
			onSession: () => {
				this.#sessions.set(cancelKey.processIdentifier, {secret: cancelKey.secret, session});
				socket.on('close', () => {
					this.#sessions.delete(cancelKey.processIdentifier);
				});
				void session.run();
			},
			onEarlyMessage(message) {
				session.enqueueMessage(message);
			},
		});
	}

	/** Returns true if pg-gateway must not continue the startup: for replication connections and refused or closed ones. */
	async #handleStartup(connection: ClientConnection, state: State): Promise<boolean> {
		const {socket} = connection;
		if (state.clientInfo?.parameters[replicationParameter] !== undefined) {
			connection.detach();
			this.#replicationServer.serve(socket);
			return true;
		}

		if (this.#connectionCount >= this.#options.connectionLimit) {
			socket.end(backendMessages.error(new SqlError('53300', 'sorry, too many clients already'), 'FATAL'));
			return true;
		}

		this.#connectionCount++;
		socket.on('close', () => {
			this.#connectionCount--;
		});
		await this.#timerService.sleep(this.#options.connectMilliseconds);
		return socket.destroyed;
	}

	#handleControl(call: HttpCall): unknown {
		const route = `${call.method} ${call.path}`;
		if (route === 'GET /status') {
			return this.#getStatus();
		}

		if (route === 'GET /dump') {
			return {tables: this.#state.log.tables.dump(), log: this.#state.log.dump()};
		}

		if (route === 'POST /control') {
			this.#applySettings(call.body);
			return this.#getStatus();
		}

		throw new HttpError(404, {error: `unknown route ${route}`});
	}

	#applySettings(settings: Readonly<Record<string, unknown>>): void {
		for (const [name, value] of Object.entries(settings)) {
			switch (name) {
				case 'slots': {
					this.#slots.limit = Number(value);

					break;
				}

				case 'stall': {
					this.#slots.isStalled = Boolean(value);

					break;
				}

				case 'ignoreReplicationLoss': {
					this.#faults.ignoreReplicationLoss = Boolean(value);

					break;
				}

				case 'lagMilliseconds':
				case 'serviceTimeFactor':
				case 'failConnections':
				case 'dropAfterWrites': {
					this.#faults[name] = Number(value);

					break;
				}

				default: {
					throw new HttpError(400, {error: `unknown setting "${name}"`});
				}
			}
		}
	}

	#getStatus(): Record<string, unknown> {
		const state = this.#state;
		return {
			name: this.#options.name,
			role: state.role,
			term: state.term,
			promoter: state.promoter,
			position: state.position,
			termStartIndex: state.log.termStartIndex,
			primaryAddress: state.primaryAddress,
			primarySilenceMilliseconds: state.primarySilenceMilliseconds,
			truncatedEntries: state.truncatedEntries,
			statements: this.#executor.counts,
			connections: this.#connectionCount,
			slots: {limit: this.#slots.limit, used: this.#slots.used, waiting: this.#slots.waiting, stalled: this.#slots.isStalled},
			faults: this.#faults,
		};
	}
}
