import {Socket} from 'node:net';
import {TransactionStatus, Verdict} from '@tarragonstack/core';
import {err, ok, type Result} from 'neverthrow';
import pg from 'pg';
import {serialize} from 'pg-protocol';
import {
	type StatementConnection, type StatementOptions, type StatementOutcome,
} from '../../request/scheduling/statement-connection.js';
import {BackendMessageReader, BackendMessageType} from './backend-message-reader.js';
import {DriverSocket} from './driver-socket.js';
import {ResponseCollector} from './response-collector.js';

/** Idle time after which the socket of a cancel request or of a closing connection is destroyed, in milliseconds. */
const idleSocketTimeoutMilliseconds = 2000;

/** Address and credentials of an upstream connection. */
export type UpstreamConnectionOptions = {
	readonly host: string;
	readonly port: number;
	/** Source address of the connection. */
	readonly localAddress: string;
	readonly user: string;
	readonly password: string;
	readonly database: string;
	/** Time after which the login fails. */
	readonly timeoutMilliseconds: number;
};

/** Reason why a connection could not be opened. */
export type UpstreamConnectionError = {
	readonly message: string;
	/** SQLSTATE of the server's error response, if it sent one. */
	readonly sqlState?: string;
};

type ActiveRun = {
	readonly collector: ResponseCollector;
	readonly options: StatementOptions;
	readonly resolve: (outcome: StatementOutcome) => void;
	writtenBytes: number;
	/** Whether the sink has rejected a write. The rest of the response is then read and dropped. */
	sinkFailed: boolean;
};

/** Connection to an instance that forwards raw back-end messages. */
export class UpstreamConnection implements StatementConnection {
	/**
	 * Logs in with `pg` and then takes over the socket.
	 *
	 * @param options - Address and credentials.
	 */
	static async open(options: UpstreamConnectionOptions): Promise<Result<UpstreamConnection, UpstreamConnectionError>> {
		const socket = new DriverSocket(options.localAddress);
		const client = new pg.Client({
			...options,
			stream: () => socket,
			keepAlive: true,
			connectionTimeoutMillis: options.timeoutMilliseconds,
		});
		// After the login, the connection handles socket errors itself.
		client.on('error', () => {});
		return new Promise(resolve => {
			client.connect((error: Error | null | undefined) => {
				if (error) {
					socket.destroy();
					const {code} = error as {code?: unknown};
					const sqlState = error instanceof pg.DatabaseError && typeof code === 'string' ? code : undefined;
					resolve(err({message: error.message, ...(sqlState !== undefined && {sqlState})}));
					return;
				}

				// The parser of `pg` must not receive any more data. This callback runs while `pg` handles ReadyForQuery.
				socket.release();
				resolve(ok(new UpstreamConnection(socket, client, options)));
			});
		});
	}

	readonly #socket: Socket;
	readonly #client: pg.Client;
	readonly #options: UpstreamConnectionOptions;
	readonly #reader = new BackendMessageReader();
	#active: ActiveRun | undefined;
	#isOpen = true;
	#hasChangedSession = false;
	#transactionStatus = TransactionStatus.Idle;
	#pendingCancels = 0;
	#cancelFinished: Promise<void> = Promise.resolve();
	readonly #closed: Promise<void>;

	private constructor(socket: Socket, client: pg.Client, options: UpstreamConnectionOptions) {
		this.#socket = socket;
		this.#client = client;
		this.#options = options;
		const onLost = () => {
			this.#fail('the connection was lost');
		};

		socket.on('data', (chunk: Buffer) => {
			this.#receive(chunk);
		});
		socket.on('end', onLost);
		socket.on('error', onLost);
		this.#closed = new Promise(resolve => {
			socket.on('close', () => {
				onLost();
				resolve();
			});
		});
	}

	/** Resolves when the socket is closed and the server therefore no longer counts the connection. */
	get closed(): Promise<void> {
		return this.#closed;
	}

	/** @inheritdoc */
	get isOpen(): boolean {
		return this.#isOpen;
	}

	/** Whether the connection can be reused for another unit. */
	get isClean(): boolean {
		return this.#isOpen && !this.#active && !this.#hasChangedSession && this.#pendingCancels === 0
			&& this.#transactionStatus === TransactionStatus.Idle;
	}

	/** Resolves when no cancel request is in progress. */
	get cancelFinished(): Promise<void> {
		return this.#cancelFinished;
	}

	/** @inheritdoc */
	async run(messages: Uint8Array, options: StatementOptions): Promise<StatementOutcome> {
		if (this.#pendingCancels > 0) {
			// A cancel request for the previous unit that is still in transit would cancel this unit.
			await this.#cancelFinished;
		}

		if (!this.#isOpen || this.#active !== undefined || !this.#socket.writable) {
			return {
				verdict: Verdict.NotRun,
				transactionStatus: TransactionStatus.Idle,
				held: Buffer.alloc(0),
				writtenBytes: 0,
				committed: false,
				failure: 'the connection is not usable',
			};
		}

		return new Promise(resolve => {
			this.#active = {
				collector: new ResponseCollector(options), options, resolve, writtenBytes: 0, sinkFailed: false,
			};
			this.#socket.write(messages);
		});
	}

	/** @inheritdoc */
	async cancel(): Promise<void> {
		const {processID, secretKey} = this.#client as unknown as {processID: number | null; secretKey: number | null};
		if (!this.#active || processID === null || secretKey === null) {
			return;
		}

		this.#pendingCancels++;
		const finished = this.#sendCancel(processID, secretKey).finally(() => {
			this.#pendingCancels--;
		});
		this.#cancelFinished = Promise.all([this.#cancelFinished, finished]).then(() => {});
		await finished;
	}

	/** @inheritdoc */
	close(): void {
		if (this.#isOpen && !this.#active && this.#socket.writable) {
			// The Terminate message ends the session on the server immediately.
			this.#socket.end(serialize.end());
			this.#socket.setTimeout(idleSocketTimeoutMilliseconds, () => {
				this.#socket.destroy();
			});
		} else {
			this.#socket.destroy();
		}

		this.#fail('the connection was closed');
		if (this.#active) {
			// The response is complete, but the sink has not accepted its last part.
			this.#resolveFailed(this.#active, 'the receiver did not accept the response in time');
		}
	}

	async #sendCancel(processID: number, secretKey: number): Promise<void> {
		const {host, port, localAddress} = this.#options;
		const socket = new Socket();
		await new Promise<void>(resolve => {
			socket.once('close', () => {
				resolve();
			});
			socket.on('error', () => {});
			socket.setTimeout(idleSocketTimeoutMilliseconds, () => {
				socket.destroy();
			});
			socket.connect({host, port, localAddress}, () => {
				socket.write(serialize.cancel(processID, secretKey));
			});
			// The server closes the connection after it has processed the cancel request.
			socket.resume();
		});
	}

	#receive(chunk: Buffer): void {
		const messages = this.#reader.push(chunk);
		if (messages.isErr()) {
			this.#fail(messages.error);
			return;
		}

		const active = this.#active;
		if (!active) {
			this.#receiveUnsolicited(messages.value);
			return;
		}

		const forwarded: Buffer[] = [];
		for (const message of messages.value) {
			active.collector.add(message, forwarded);
		}

		if (active.collector.failure !== undefined) {
			this.#fail(active.collector.failure);
		} else if (forwarded.length === 0) {
			this.#finishIfComplete(active);
		} else {
			void this.#forward(active, forwarded);
		}
	}

	async #forward(active: ActiveRun, messages: Buffer[]): Promise<void> {
		if (!active.sinkFailed) {
			this.#socket.pause();
			const bytes = messages.length === 1 ? messages[0]! : Buffer.concat(messages);
			active.writtenBytes += bytes.length;
			try {
				await active.options.sink.write(bytes);
			} catch {
				active.sinkFailed = true;
			}

			this.#socket.resume();
		}

		this.#finishIfComplete(active);
	}

	#finishIfComplete(active: ActiveRun): void {
		if (!active.collector.isComplete || this.#active !== active) {
			return;
		}

		const {collector} = active;
		this.#active = undefined;
		this.#hasChangedSession ||= collector.hasChangedSession;
		this.#transactionStatus = collector.transactionStatus;
		active.resolve({
			verdict: Verdict.Ran,
			transactionStatus: collector.transactionStatus,
			held: collector.held,
			writtenBytes: active.writtenBytes,
			committed: collector.committed,
			...(collector.sqlState !== undefined && {sqlState: collector.sqlState}),
			...(active.sinkFailed && {failure: 'the receiver of the response failed'}),
		});
	}

	/** Handles messages between units, such as a parameter change or the error message of a server shutdown. */
	#receiveUnsolicited(messages: readonly Buffer[]): void {
		for (const message of messages) {
			if (message[0] === BackendMessageType.ErrorResponse) {
				this.#fail('the server ended the session');
			} else if (message[0] !== BackendMessageType.NoticeResponse) {
				this.#hasChangedSession = true;
			}
		}
	}

	#fail(failure: string): void {
		if (!this.#isOpen) {
			return;
		}

		this.#isOpen = false;
		if (!this.#socket.writableEnded) {
			this.#socket.destroy();
		}

		const active = this.#active;
		if (active?.collector.isComplete) {
			// The response is complete. The run ends when the sink has accepted the last part.
			return;
		}

		if (active) {
			this.#resolveFailed(active, failure);
		}
	}

	#resolveFailed(active: ActiveRun, failure: string): void {
		this.#active = undefined;
		active.resolve({
			verdict: Verdict.MayHaveRun,
			transactionStatus: TransactionStatus.Idle,
			held: Buffer.alloc(0),
			writtenBytes: active.writtenBytes,
			committed: active.collector.committed,
			failure,
			...(active.collector.sqlState !== undefined && {sqlState: active.collector.sqlState}),
		});
	}
}
