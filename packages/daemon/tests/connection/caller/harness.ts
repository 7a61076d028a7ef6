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

/** Configuration of one customer with two users and a rule for orders. */
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

/** Store that holds one configuration for good. */
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

/** Metric as it was recorded. */
export type RecordedMetric = {
	readonly name: MetricName;
	readonly value: number;
	readonly tags: Readonly<Record<string, string>>;
};

/** Listener with fakes around it. */
export class Harness implements AsyncDisposable {
	static async start(options: Partial<CallerListenerOptions> = {}, configuration: Configuration | undefined = createConfiguration()): Promise<Harness> {
		const harness = new Harness(options, configuration);
		const {port} = await harness.listener.listen();
		harness.port = port;
		return harness;
	}

	readonly executor = new FakeExecutor();
	readonly metrics: RecordedMetric[] = [];
	readonly store: FakeConfigurationStore;
	readonly timerService = new SystemTimerService();
	readonly listener: CallerListener;
	port = 0;
	readonly #clients: pg.Client[] = [];

	private constructor(options: Partial<CallerListenerOptions>, configuration: Configuration | undefined) {
		this.store = new FakeConfigurationStore(configuration);
		const record = (name: MetricName, value: number, tags: Readonly<Record<string, string>>) => {
			this.metrics.push({name, value, tags});
		};

		const logger = createLogger({host: 'test'});
		ROARR.write = () => {};
		this.listener = new CallerListener({
			address: '127.0.0.1',
			port: 0,
			configurationStore: this.store,
			executor: this.executor,
			timerService: this.timerService,
			logger,
			metrics: {increment: record, histogram: record, gauge: record},
			...options,
		});
	}

	/** Connects the unmodified driver. */
	async connect(options: pg.ClientConfig = {}): Promise<pg.Client> {
		const client = new pg.Client({
			host: '127.0.0.1', port: this.port, user: 'shop', password, database: 'subs-core', ...options,
		});
		// Clients whose connection the test closes on purpose must not end the process.
		client.on('error', () => {});
		await client.connect();
		this.#clients.push(client);
		return client;
	}

	/** Connects and logs in with raw messages. */
	async connectRaw(): Promise<RawCaller> {
		const caller = new RawCaller(connect(this.port, '127.0.0.1'));
		await once(caller.socket, 'connect');
		caller.socket.write(serialize.startup({user: 'shop', database: 'subs-core'}));
		await caller.waitFor('R');
		caller.socket.write(serialize.password(password));
		await caller.waitFor('Z');
		caller.received.length = 0;
		return caller;
	}

	/**
	 * Makes all requests wait.
	 *
	 * @returns Function that lets them run.
	 */
	blockRequests(): () => void {
		let open = () => {};
		const gate = new Promise<void>(resolve => {
			open = resolve;
		});
		this.executor.override = async () => {
			await gate;
			return undefined;
		};

		return () => {
			open();
		};
	}

	/** Waits until a condition holds. */
	async until(condition: () => boolean, milliseconds = 5000): Promise<void> {
		const end = this.timerService.now() + milliseconds;
		while (!condition()) {
			if (this.timerService.now() > end) {
				throw new Error(`condition not met within ${milliseconds} ms`);
			}

			await this.timerService.sleep(2);
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.listener[Symbol.asyncDispose]();
		await Promise.allSettled(this.#clients.map(client => client.end()));
	}
}

/** Caller that sends and receives raw messages. */
export class RawCaller {
	/** Received messages: type and body. */
	readonly received: Array<{readonly type: string; readonly body: Buffer}> = [];
	isClosed = false;
	readonly socket: Socket;
	#rest: Buffer = Buffer.alloc(0);
	#wake?: () => void;

	constructor(socket: Socket) {
		this.socket = socket;
		socket.on('data', (bytes: Buffer) => {
			this.#rest = Buffer.concat([this.#rest, bytes]);
			while (this.#rest.length >= 5 && this.#rest.length > this.#rest.readUInt32BE(1)) {
				const end = 1 + this.#rest.readUInt32BE(1);
				this.received.push({type: String.fromCodePoint(this.#rest[0] ?? 0), body: this.#rest.subarray(5, end)});
				this.#rest = this.#rest.subarray(end);
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
	get types(): string {
		return this.received.map(message => message.type).join('');
	}

	/** Fields of the errors received. */
	get errorCodes(): string[] {
		return this.received
			.filter(message => message.type === 'E')
			.map(message => /\0C(?<code>[^\0]+)/v.exec(message.body.toString())?.groups?.code ?? '');
	}

	/** Waits until a message of a type arrived the given number of times. */
	async waitFor(type: string, count = 1): Promise<void> {
		while (this.received.filter(message => message.type === type).length < count) {
			if (this.isClosed) {
				throw new Error(`the connection was closed after ${this.types}`);
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
