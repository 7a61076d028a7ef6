import {type InstanceDefinition, type TimerService} from '@tarragonstack/core';
import {err, ok, type Result} from 'neverthrow';
import {Client, DatabaseError, escapeLiteral} from 'pg';
import {
	type ControlError, ControlErrorKind, type ControlOptions, type ControlOutcome, type FollowOutcome,
	type InstanceControl, type InstanceStatus,
} from '../../request/index.js';
import {DriverSocket} from '../upstream/index.js';
import {
	type ControlRow, ControlRowError, getBooleanOrThrow, getIntegerOrThrow, getStatusOrThrow,
} from './control-row.js';

/** Time limit of a connection attempt including the login, in milliseconds. */
const connectTimeoutMilliseconds = 500;

/**
 * Time without a response after which a connection with a pending query is replaced, in milliseconds. After a partition,
 * TCP retransmits only after seconds, whereas a new connection works immediately.
 */
const unresponsiveThresholdMilliseconds = 450;

/** Minimum and maximum delay between connection attempts, in milliseconds. */
const minimumReconnectDelayMilliseconds = 25;
const maximumReconnectDelayMilliseconds = 500;

/** Options of a control connection. */
export type PostgresInstanceControlOptions = {
	readonly timerService: TimerService;
	readonly instance: InstanceDefinition;
	/** Source address of the connection. */
	readonly localAddress: string;
	readonly user: string;
	readonly password: string;
	readonly database: string;
	/** Returns a random number from 0 to 1 for the jitter of the reconnection delay. */
	readonly random?: () => number;
};

type PendingQuery = {
	readonly text: string;
	readonly requestedAt: number;
	sent: boolean;
	settled: boolean;
	readonly settle: (result: Result<ControlRow, ControlError>) => void;
};

/** Control connection to one instance. Queries are pipelined in call order. */
export class PostgresInstanceControl implements InstanceControl {
	readonly #options: PostgresInstanceControlOptions;
	readonly #closing = new AbortController();
	readonly #pendingQueries = new Set<PendingQuery>();
	readonly #connectionTask: Promise<void>;
	#client: Client | undefined;
	#closeConnection: (() => void) | undefined;
	#connectionAttempt = 0;
	#lastResponseAt = Number.NEGATIVE_INFINITY;
	#reconnectDelayMilliseconds = 0;

	/**
	 * @param options - Instance, source address and login.
	 */
	constructor(options: PostgresInstanceControlOptions) {
		this.#options = options;
		this.#connectionTask = this.#maintainConnection();
	}

	/** @inheritdoc */
	async status(options: ControlOptions): Promise<Result<InstanceStatus, ControlError>> {
		return this.#query('SELECT * FROM tarragon_status()', options, (row, requestedAt) => this.#getStatus(row, requestedAt));
	}

	/** @inheritdoc */
	async raise(term: number, promoter: string, options: ControlOptions): Promise<Result<ControlOutcome, ControlError>> {
		return this.#query(
			`SELECT * FROM tarragon_raise(${term}, ${escapeLiteral(promoter)})`,
			options,
			(row, requestedAt) => this.#getOutcome(row, requestedAt),
		);
	}

	/** @inheritdoc */
	async promote(term: number, promoter: string, options: ControlOptions): Promise<Result<ControlOutcome, ControlError>> {
		return this.#query(
			`SELECT * FROM tarragon_promote(${term}, ${escapeLiteral(promoter)})`,
			options,
			(row, requestedAt) => this.#getOutcome(row, requestedAt),
		);
	}

	/** @inheritdoc */
	async follow(address: string, term: number, options: ControlOptions): Promise<Result<FollowOutcome, ControlError>> {
		return this.#query(
			`SELECT * FROM tarragon_follow(${escapeLiteral(address)}, ${term})`,
			options,
			(row, requestedAt) => ({...this.#getOutcome(row, requestedAt), truncated: getIntegerOrThrow(row, 'truncated')}),
		);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#closing.abort();
		this.#closeConnection?.();
		this.#failQueries(ControlErrorKind.Closed, 'the control connection was closed');
		await this.#connectionTask;
	}

	#getStatus(row: ControlRow, requestedAt: number): InstanceStatus {
		return getStatusOrThrow(row, this.#options.instance.name, requestedAt);
	}

	#getOutcome(row: ControlRow, requestedAt: number): ControlOutcome {
		return {accepted: getBooleanOrThrow(row, 'accepted'), status: this.#getStatus(row, requestedAt)};
	}

	async #query<Value>(
		text: string,
		options: ControlOptions,
		parseRow: (row: ControlRow, requestedAt: number) => Value,
	): Promise<Result<Value, ControlError>> {
		if (this.#closing.signal.aborted) {
			return err(this.#createError(ControlErrorKind.Closed, 'the control connection is closed'));
		}

		const requestedAt = this.#options.timerService.now();
		const response = await new Promise<Result<ControlRow, ControlError>>(resolve => {
			const timer = this.#options.timerService.schedule(options.timeoutMilliseconds, () => {
				this.#handleTimeout(query);
			});
			const query: PendingQuery = {
				text,
				requestedAt,
				sent: false,
				settled: false,
				settle: result => {
					if (!query.settled) {
						query.settled = true;
						timer[Symbol.dispose]();
						this.#pendingQueries.delete(query);
						resolve(result);
					}
				},
			};
			this.#pendingQueries.add(query);
			if (this.#client) {
				this.#send(this.#client, query);
			}
		});
		try {
			return response.map(row => parseRow(row, requestedAt));
		} catch (error) {
			return err(this.#createError(ControlErrorKind.Rejected, getMessage(error)));
		}
	}

	#handleTimeout(query: PendingQuery): void {
		const isUnresponsive = this.#options.timerService.now() - query.requestedAt >= unresponsiveThresholdMilliseconds
			&& this.#lastResponseAt < query.requestedAt;
		query.settle(err(this.#createError(ControlErrorKind.TimedOut, 'no response within the time limit')));
		if (query.sent && isUnresponsive) {
			this.#closeConnection?.();
		}
	}

	#send(client: Client, query: PendingQuery): void {
		query.sent = true;
		void (async () => {
			try {
				const result = await client.query<ControlRow>(query.text);
				this.#recordResponse();
				const row = result.rows[0];
				query.settle(row
					? ok(row)
					: err(this.#createError(ControlErrorKind.Rejected, 'the response has no row')));
			} catch (error) {
				if (error instanceof DatabaseError) {
					this.#recordResponse();
				}

				const kind = error instanceof DatabaseError ? ControlErrorKind.Rejected : ControlErrorKind.Reset;
				query.settle(err(this.#createError(kind, getMessage(error))));
			}
		})();
	}

	#recordResponse(): void {
		this.#lastResponseAt = this.#options.timerService.now();
		this.#reconnectDelayMilliseconds = 0;
	}

	async #maintainConnection(): Promise<void> {
		const {signal} = this.#closing;
		while (!signal.aborted) {
			await this.#connectOnce();
			const random = this.#options.random ?? Math.random;
			await this.#options.timerService.sleep(this.#reconnectDelayMilliseconds * (0.5 + (random() / 2)), signal);
			this.#reconnectDelayMilliseconds = Math.min(
				maximumReconnectDelayMilliseconds,
				Math.max(minimumReconnectDelayMilliseconds, this.#reconnectDelayMilliseconds * 2),
			);
		}
	}

	async #connectOnce(): Promise<void> {
		this.#connectionAttempt++;
		const client = this.#createClient();
		const ended = new Promise<string>(resolve => {
			client.once('error', (error: Error) => {
				resolve(error.message);
			});
			client.once('end', () => {
				resolve('the instance closed it');
			});
			this.#closeConnection = () => {
				resolve('the instance did not respond');
			};
		});
		const connect = async () => {
			await client.connect();
			return true;
		};

		try {
			if (await Promise.race([connect(), ended.then(() => false)])) {
				this.#client = client;
				for (const query of this.#pendingQueries) {
					this.#send(client, query);
				}

				const reason = await ended;
				this.#client = undefined;
				this.#failQueries(ControlErrorKind.Reset, `the control connection was lost: ${reason}`, query => query.sent);
			}
		} catch (error) {
			this.#handleConnectError(error);
		} finally {
			this.#client = undefined;
			this.#closeConnection = undefined;
			// The instance may be unreachable, so the socket is destroyed without a graceful shutdown.
			client.connection.stream.destroy();
		}
	}

	#createClient(): Client {
		const {instance, localAddress, user, password, database} = this.#options;
		const [host, port] = instance.address.split(':');
		const client = new Client({
			host,
			port: Number(port),
			user,
			password,
			database,
			pipeline: true,
			connectionTimeoutMillis: connectTimeoutMilliseconds,
			stream: () => new DriverSocket(localAddress),
		});
		// Errors before the login also reject `connect`; a later error without a listener would terminate the process.
		client.on('error', () => {});
		return client;
	}

	#handleConnectError(error: unknown): void {
		const kind = getConnectErrorKind(error);
		if (kind !== ControlErrorKind.TimedOut) {
			this.#failQueries(kind, getMessage(error));
		}
	}

	#failQueries(kind: ControlErrorKind, message: string, filter: (query: PendingQuery) => boolean = () => true): void {
		for (const query of this.#pendingQueries) {
			if (filter(query)) {
				query.settle(err(this.#createError(kind, message)));
			}
		}
	}

	#createError(kind: ControlErrorKind, message: string): ControlError {
		return {kind, message: `${this.#options.instance.name}: ${message}`, connectionAttempt: this.#connectionAttempt};
	}
}

function getMessage(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}

function getConnectErrorKind(error: unknown): ControlErrorKind {
	if (error instanceof DatabaseError || error instanceof ControlRowError) {
		return ControlErrorKind.Rejected;
	}

	const code = error instanceof Error && 'code' in error ? error.code : undefined;
	const unreachableCodes = ['ETIMEDOUT', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL'];
	if (unreachableCodes.includes(String(code)) || getMessage(error) === 'timeout expired') {
		return ControlErrorKind.TimedOut;
	}

	return ControlErrorKind.Refused;
}
