import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {
	type Configuration, configurationSchema, createLogger, type MetricName, SystemTimerService,
} from '@tarragonstack/core';
import pg from 'pg';
import {serialize} from 'pg-protocol';
import {ROARR} from 'roarr';
import {
	CallerListener, type CallerListenerOptions, type ConfigurationSnapshot, type ConfigurationStore,
} from '../../../src/index.js';
import {FakeExecutor} from './fake-executor.js';

export const password = 'sábana-42';

const terms = {
	targetLatencyMilliseconds: 1000,
	timeoutMilliseconds: 5000,
	maximumStalenessMilliseconds: 2000,
	lateRefund: 1,
	floorShare: 0.1,
};

/** Creates a configuration of one customer with two users and two rank rules. */
export function createConfiguration(connectionsPerHost = 100): Configuration {
	return configurationSchema.parse({
		version: 7,
		changeIdentifier: 'change-7',
		author: 'test',
		time: '2026-01-01T00:00:00Z',
		groups: ['subs-core', 'subs-other', 'foreign'].map(name => ({
			name,
			instances: [{name: `${name}-1`, address: '127.0.0.1:1', availabilityZone: 'zone', slots: 3, connectionLimit: 20}],
		})),
		contracts: [{
			customer: 'ronquido',
			users: ['shop', 'courier'].map(name => ({name, passwordSha256: createHash('sha256').update(password).digest('hex')})),
			groups: ['subs-core', 'subs-other'],
			defaultRank: 'middle',
			ranks: {urgent: {...terms, targetLatencyMilliseconds: 50}, middle: terms, least: {...terms, maximumStalenessMilliseconds: 60_000}},
			rules: [
				{rank: 'urgent', statementPattern: '^insert into orders'},
				{rank: 'least', applicationName: 'reports'},
			],
			limits: {connectionsPerHost},
		}],
	});
}

/** Store of a configuration that only the test changes. */
export class FakeConfigurationStore implements ConfigurationStore {
	configuration?: Configuration;

	constructor(configuration?: Configuration) {
		this.configuration = configuration;
	}

	getCurrent(): ConfigurationSnapshot | undefined {
		const {configuration} = this;
		return configuration && {
			configuration,
			version: configuration.version,
			getContract: customer => configuration.contracts.find(contract => contract.customer === customer),
			getContractOfUser: user => configuration.contracts.find(contract => contract.users.some(candidate => candidate.name === user)),
			getGroup: () => undefined,
			getInstance: () => undefined,
		};
	}

	subscribe(): Disposable {
		return {[Symbol.dispose]() {}};
	}
}

/** Recorded metric. */
export type RecordedMetric = {
	readonly name: MetricName;
	readonly value: number;
	readonly tags: Readonly<Record<string, string>>;
};

/** Caller listener with a fake executor, configuration store and metrics. */
export class Harness implements AsyncDisposable {
	static async start(options: Partial<CallerListenerOptions> = {}, configuration: Configuration | undefined = createConfiguration()): Promise<Harness> {
		const harness = new Harness(options, configuration);
		const {port} = await harness.listener.listen();
		harness.port = port;
		return harness;
	}

	readonly executor = new FakeExecutor();
	readonly metrics: RecordedMetric[] = [];
	readonly configurationStore: FakeConfigurationStore;
	readonly timerService = new SystemTimerService();
	readonly listener: CallerListener;
	port = 0;
	readonly #clients: pg.Client[] = [];

	private constructor(options: Partial<CallerListenerOptions>, configuration: Configuration | undefined) {
		this.configurationStore = new FakeConfigurationStore(configuration);
		const record = (name: MetricName, value: number, tags: Readonly<Record<string, string>>) => {
			this.metrics.push({name, value, tags});
		};

		const logger = createLogger({host: 'test'});
		ROARR.write = () => {};
		this.listener = new CallerListener({
			address: '127.0.0.1',
			port: 0,
			configurationStore: this.configurationStore,
			executor: this.executor,
			timerService: this.timerService,
			logger,
			metrics: {increment: record, histogram: record, gauge: record},
			...options,
		});
	}

	/** Connects with the `pg` driver. */
	async connect(options: pg.ClientConfig = {}): Promise<pg.Client> {
		const client = new pg.Client({
			host: '127.0.0.1', port: this.port, user: 'shop', password, database: 'subs-core', ...options,
		});
		// Without a listener, the error of a connection that the test closes on purpose would end the process.
		client.on('error', () => {});
		await client.connect();
		this.#clients.push(client);
		return client;
	}

	/** Connects and logs in with raw protocol messages. */
	async connectRaw(): Promise<RawCaller> {
		const caller = new RawCaller(connect(this.port, '127.0.0.1'));
		await once(caller.socket, 'connect');
		caller.socket.write(serialize.startup({user: 'shop', database: 'subs-core'}));
		await caller.waitFor('R');
		caller.socket.write(serialize.password(password));
		await caller.waitFor('Z');
		caller.receivedMessages.length = 0;
		return caller;
	}

	/**
	 * Blocks the execution of all requests.
	 *
	 * @returns A function that unblocks them.
	 */
	blockRequests(): () => void {
		let unblock = () => {};
		const unblocked = new Promise<void>(resolve => {
			unblock = resolve;
		});
		this.executor.override = async () => {
			await unblocked;
			return undefined;
		};

		return () => {
			unblock();
		};
	}

	/** Waits until a condition holds. */
	async waitUntil(condition: () => boolean, timeoutMilliseconds = 5000): Promise<void> {
		const deadline = this.timerService.now() + timeoutMilliseconds;
		while (!condition()) {
			if (this.timerService.now() > deadline) {
				throw new Error(`condition not met within ${timeoutMilliseconds} ms`);
			}

			await this.timerService.sleep(2);
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.listener[Symbol.asyncDispose]();
		await Promise.allSettled(this.#clients.map(client => client.end()));
	}
}

/** Caller that sends and receives raw protocol messages. */
export class RawCaller {
	/** Type and body of the received messages. */
	readonly receivedMessages: Array<{readonly type: string; readonly body: Buffer}> = [];
	isClosed = false;
	readonly socket: Socket;
	#unparsedBytes: Buffer = Buffer.alloc(0);
	#wake?: () => void;

	constructor(socket: Socket) {
		this.socket = socket;
		socket.on('data', (bytes: Buffer) => {
			this.#unparsedBytes = Buffer.concat([this.#unparsedBytes, bytes]);
			while (this.#unparsedBytes.length >= 5 && this.#unparsedBytes.length > this.#unparsedBytes.readUInt32BE(1)) {
				const end = 1 + this.#unparsedBytes.readUInt32BE(1);
				this.receivedMessages.push({type: String.fromCodePoint(this.#unparsedBytes[0] ?? 0), body: this.#unparsedBytes.subarray(5, end)});
				this.#unparsedBytes = this.#unparsedBytes.subarray(end);
			}

			this.#wake?.();
		});
		socket.on('error', () => {});
		socket.on('close', () => {
			this.isClosed = true;
			this.#wake?.();
		});
	}

	/** Types of all received messages, in order. */
	get receivedTypes(): string {
		return this.receivedMessages.map(message => message.type).join('');
	}

	/** SQLSTATE codes of the received errors, in order. */
	get errorCodes(): string[] {
		return this.receivedMessages
			.filter(message => message.type === 'E')
			.map(message => /\0C(?<code>[^\0]+)/v.exec(message.body.toString())?.groups?.code ?? '');
	}

	/** Waits until the given number of messages of a type have been received. */
	async waitFor(type: string, count = 1): Promise<void> {
		while (this.receivedMessages.filter(message => message.type === type).length < count) {
			if (this.isClosed) {
				throw new Error(`the connection was closed after ${this.receivedTypes}`);
			}

			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}
	}

	/** Waits until the connection is closed. */
	async waitForClose(): Promise<void> {
		while (!this.isClosed) {
			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}
	}
}
