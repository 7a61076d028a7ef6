import {type InstanceDefinition, type TimerService} from '@tarragonstack/core';
import {err, ok, type Result} from 'neverthrow';
import {Client, DatabaseError, escapeLiteral} from 'pg';
import {
	type ControlError, ControlErrorKind, type ControlOptions, type ControlOutcome, type FollowOutcome,
	type InstanceControl, type InstanceStatus,
} from '../../request/index.js';
import {createBoundSocket} from './bound-socket.js';
import {
	type ControlRow, ControlRowError, getBooleanOrThrow, getIntegerOrThrow, getStatusOrThrow,
} from './control-row.js';

/** Time limit of a connection attempt with login, in milliseconds. */
const connectTimeoutMilliseconds = 500;

/**
 * Silence after which a connection with an open question is given up, in milliseconds. After a partition TCP would
 * retransmit only after seconds; a new connection works at once.
 */
const silenceLimitMilliseconds = 450;

/** Shortest and longest delay between connection attempts, in milliseconds. */
const minimumReconnectDelayMilliseconds = 25;
const maximumReconnectDelayMilliseconds = 500;

/** Options of a control connection. */
export type PostgresInstanceControlOptions = {
	readonly timerService: TimerService;
	readonly instance: InstanceDefinition;
	/** Address of this host, from which the connection leaves. */
	readonly localAddress: string;
	readonly user: string;
	readonly password: string;
	readonly database: string;
	/** Returns a number from 0 to 1 for the jitter of reconnections. */
	readonly random?: () => number;
};

type Question = {
	readonly text: string;
	readonly askedAt: number;
	sent: boolean;
	settled: boolean;
	readonly settle: (result: Result<ControlRow, ControlError>) => void;
};

/** Control connection to one instance. Questions are pipelined in the order of the calls. */
export class PostgresInstanceControl implements InstanceControl {
	readonly #options: PostgresInstanceControlOptions;
	readonly #closing = new AbortController();
	readonly #questions = new Set<Question>();
	readonly #task: Promise<void>;
	#client: Client | undefined;
	#giveUp: (() => void) | undefined;
	#connectionAttempt = 0;
	#lastAnswerAt = Number.NEGATIVE_INFINITY;
	#reconnectDelayMilliseconds = 0;

	/**
	 * @param options - Instance, source address and login.
	 */
	constructor(options: PostgresInstanceControlOptions) {
		this.#options = options;
		this.#task = this.#run();
	}

	/** @inheritdoc */
	async status(options: ControlOptions): Promise<Result<InstanceStatus, ControlError>> {
		return this.#ask('SELECT * FROM tarragon_status()', options, (row, askedAt) => this.#getStatus(row, askedAt));
	}

	/** @inheritdoc */
	async raise(term: number, promoter: string, options: ControlOptions): Promise<Result<ControlOutcome, ControlError>> {
		return this.#ask(
			`SELECT * FROM tarragon_raise(${term}, ${escapeLiteral(promoter)})`,
			options,
			(row, askedAt) => this.#getOutcome(row, askedAt),
		);
	}

	/** @inheritdoc */
	async promote(term: number, promoter: string, options: ControlOptions): Promise<Result<ControlOutcome, ControlError>> {
		return this.#ask(
			`SELECT * FROM tarragon_promote(${term}, ${escapeLiteral(promoter)})`,
			options,
			(row, askedAt) => this.#getOutcome(row, askedAt),
		);
	}

	/** @inheritdoc */
	async follow(address: string, term: number, options: ControlOptions): Promise<Result<FollowOutcome, ControlError>> {
		return this.#ask(
			`SELECT * FROM tarragon_follow(${escapeLiteral(address)}, ${term})`,
			options,
			(row, askedAt) => ({...this.#getOutcome(row, askedAt), truncated: getIntegerOrThrow(row, 'truncated')}),
		);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#closing.abort();
		this.#giveUp?.();
		this.#fail(ControlErrorKind.Closed, 'the control connection was closed');
		await this.#task;
	}

	#getStatus(row: ControlRow, askedAt: number): InstanceStatus {
		return getStatusOrThrow(row, this.#options.instance.name, askedAt);
	}

	#getOutcome(row: ControlRow, askedAt: number): ControlOutcome {
		return {accepted: getBooleanOrThrow(row, 'accepted'), status: this.#getStatus(row, askedAt)};
	}

	async #ask<Value>(
		text: string,
		options: ControlOptions,
		read: (row: ControlRow, askedAt: number) => Value,
	): Promise<Result<Value, ControlError>> {
		if (this.#closing.signal.aborted) {
			return err(this.#createError(ControlErrorKind.Closed, 'the control connection is closed'));
		}

		const askedAt = this.#options.timerService.now();
		const answer = await new Promise<Result<ControlRow, ControlError>>(resolve => {
			const limit = this.#options.timerService.schedule(options.timeoutMilliseconds, () => {
				this.#expire(question);
			});
			const question: Question = {
				text,
				askedAt,
				sent: false,
				settled: false,
				settle: result => {
					if (!question.settled) {
						question.settled = true;
						limit[Symbol.dispose]();
						this.#questions.delete(question);
						resolve(result);
					}
				},
			};
			this.#questions.add(question);
			if (this.#client) {
				this.#send(this.#client, question);
			}
		});
		try {
			return answer.map(row => read(row, askedAt));
		} catch (error) {
			return err(this.#createError(ControlErrorKind.Rejected, getMessage(error)));
		}
	}

	#expire(question: Question): void {
		const silent = this.#options.timerService.now() - question.askedAt >= silenceLimitMilliseconds
			&& this.#lastAnswerAt < question.askedAt;
		question.settle(err(this.#createError(ControlErrorKind.TimedOut, 'no answer in time')));
		if (question.sent && silent) {
			this.#giveUp?.();
		}
	}

	#send(client: Client, question: Question): void {
		question.sent = true;
		void (async () => {
			try {
				const result = await client.query<ControlRow>(question.text);
				this.#recordAnswer();
				const row = result.rows[0];
				question.settle(row
					? ok(row)
					: err(this.#createError(ControlErrorKind.Rejected, 'the answer has no row')));
			} catch (error) {
				if (error instanceof DatabaseError) {
					this.#recordAnswer();
				}

				const kind = error instanceof DatabaseError ? ControlErrorKind.Rejected : ControlErrorKind.Reset;
				question.settle(err(this.#createError(kind, getMessage(error))));
			}
		})();
	}

	#recordAnswer(): void {
		this.#lastAnswerAt = this.#options.timerService.now();
		this.#reconnectDelayMilliseconds = 0;
	}

	async #run(): Promise<void> {
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
		const ended = new Promise<void>(resolve => {
			client.once('error', () => {
				resolve();
			});
			client.once('end', resolve);
			this.#giveUp = resolve;
		});
		try {
			const outcome = await Promise.race([client.connect(), ended]);
			if (outcome) {
				this.#client = client;
				for (const question of this.#questions) {
					this.#send(client, question);
				}

				await ended;
				this.#client = undefined;
				this.#fail(ControlErrorKind.Reset, 'the control connection was lost', question => question.sent);
			}
		} catch (error) {
			this.#failAttempt(error);
		} finally {
			this.#client = undefined;
			this.#giveUp = undefined;
			// The peer may be unreachable, so the socket is closed without waiting for it.
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
			stream: () => createBoundSocket(localAddress),
		});
		// An error before the login also rejects `connect`, and a late one must not end the process.
		client.on('error', () => {});
		return client;
	}

	#failAttempt(error: unknown): void {
		const kind = getConnectErrorKind(error);
		if (kind !== ControlErrorKind.TimedOut) {
			this.#fail(kind, getMessage(error));
		}
	}

	#fail(kind: ControlErrorKind, message: string, filter: (question: Question) => boolean = () => true): void {
		for (const question of this.#questions) {
			if (filter(question)) {
				question.settle(err(this.#createError(kind, message)));
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
	const unreachable = ['ETIMEDOUT', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL'];
	if (unreachable.includes(String(code)) || getMessage(error) === 'timeout expired') {
		return ControlErrorKind.TimedOut;
	}

	return ControlErrorKind.Refused;
}
