import {type Socket} from 'node:net';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type Result} from 'neverthrow';
import {type EventLog} from '../process/event-log.js';
import {type CallerCredentials} from '../request/caller-access.js';
import {StatementErrorCode} from '../request/statement-error-code.js';
import {type StatementError} from '../request/statement-result.js';
import {type ClientCodec, type ClientMessage, ClientMessageKind} from './client-codec.js';
import {type ClientSession} from './client-session.js';
import {readPendingInput} from './pending-input.js';
import {createErrorResult} from './statement-runner.js';

/** Decoded messages that are queued while one is processed; above this number, the socket is paused. */
const maximumQueuedMessages = 64;

/** Time that a client has to close its side of an ended connection before the socket is destroyed, in milliseconds. */
const endTimeoutMilliseconds = 2000;

/**
 * Time for which a connection without a complete statement is not idle, since its last input or output, in milliseconds. A client
 * sends its first statement as soon as its start-up was answered; the time covers two lost segments, each sent again after 200 to
 * 400 ms.
 */
const firstStatementMilliseconds = 1000;

/** Host functions that client connections use. */
export type SessionHost = {
	/** Waits until sessions can be opened, if the host has just started. */
	waitUntilConfigured(): Promise<void>;
	/** Opens a session, or returns why the client may not have one. */
	openSession(credentials: CallerCredentials): Result<ClientSession, StatementError>;
	closeSession(session: ClientSession): void;
};

/** Services of client connections. */
export type ClientServices = {
	readonly log: EventLog;
	readonly timer: TimerService;
};

/** Connection of one client. Its messages are processed sequentially. */
export class ClientConnection {
	readonly #socket: Socket;
	readonly #codec: ClientCodec;
	readonly #host: SessionHost;
	readonly #log: EventLog;
	readonly #timer: TimerService;
	readonly #messages: ClientMessage[] = [];
	#session: ClientSession | undefined;
	#isProcessing = false;
	#hasStatement = false;
	#isPipelined = false;
	#lastActiveAt: number;
	#closesWhenIdle = false;
	#closesInTransaction = false;
	#isCheckingInput = false;
	#isEnded = false;
	#expectationTimer: Disposable | undefined;

	/**
	 * @param socket - Accepted socket.
	 * @param codec - Protocol codec; it keeps state, so each connection needs its own.
	 * @param host - Host that opens and closes the session.
	 * @param services - Event log for failures, and monotonic clock.
	 */
	constructor(socket: Socket, codec: ClientCodec, host: SessionHost, {log, timer}: ClientServices) {
		this.#socket = socket;
		this.#codec = codec;
		this.#host = host;
		this.#log = log;
		this.#timer = timer;
		this.#lastActiveAt = timer.now();
		socket.setNoDelay(true);
		socket.on('data', chunk => {
			this.#receive(chunk);
		});
		socket.on('error', error => {
			log.write('client-connection-failed', {reason: error.message});
		});
		socket.on('close', () => {
			this.#messages.length = 0;
			this.#isEnded = true;
			this.#expectationTimer?.[Symbol.dispose]();
			if (this.#session) {
				host.closeSession(this.#session);
			}
		});
	}

	/** Whether a request is being executed. */
	get isExecuting(): boolean {
		return this.#isProcessing;
	}

	/** Whether a request is being executed or a transaction is open. */
	get isBusy(): boolean {
		return this.#isProcessing || this.#session?.isInTransaction === true;
	}

	/**
	 * Closes the connection as soon as no request is being executed or expected, and no transaction is open. A request is expected for
	 * a limited time, before the first statement and while a message has been received in part.
	 */
	closeWhenIdle(): void {
		this.#closesWhenIdle = true;
		void this.#closeOnceIdle();
	}

	/** Rolls back the open transaction as soon as no statement is running, and refuses further ones. */
	refuseTransactions(): void {
		this.#session?.refuseTransactions();
	}

	/** Answers the requests that were received and closes the connection, even if a transaction is open or a request expected. */
	end(): void {
		this.#closesInTransaction = true;
		this.closeWhenIdle();
	}

	/** Closes the connection immediately. */
	destroy(): void {
		this.#socket.destroy();
	}

	/** Time for which a request is still expected, in milliseconds. */
	get #expectationMilliseconds(): number {
		return this.#hasStatement && !this.#codec.hasPartialMessage ? 0 : this.#lastActiveAt + firstStatementMilliseconds - this.#timer.now();
	}

	get #isIdle(): boolean {
		return !this.#isProcessing && (this.#closesInTransaction || (!this.isBusy && this.#expectationMilliseconds <= 0));
	}

	/** Closes the connection if it is idle, also after its socket has been read. */
	async #closeOnceIdle(): Promise<void> {
		if (this.#isCheckingInput || this.#isEnded) {
			return;
		}

		if (!this.#isIdle) {
			this.#scheduleClose();
			return;
		}

		this.#isCheckingInput = true;
		await readPendingInput(this.#timer);
		this.#isCheckingInput = false;
		if (this.#isEnded) {
			return;
		}

		if (this.#isIdle) {
			this.#endIdle();
		} else {
			this.#scheduleClose();
		}
	}

	/** Checks again when no request is expected any more. The end of a running request leads to a check of its own. */
	#scheduleClose(): void {
		const milliseconds = this.#expectationMilliseconds;
		if (!this.#isProcessing && milliseconds > 0) {
			this.#expectationTimer?.[Symbol.dispose]();
			this.#expectationTimer = this.#timer.schedule(milliseconds, () => {
				void this.#closeOnceIdle();
			});
		}
	}

	/**
	 * Ends the connection, and releases its socket as soon as everything is sent. The operating system then resets the connection if a
	 * request arrives: if the end of the connection was lost, the client would learn of it only when it is sent again, 200 ms later.
	 */
	#endIdle(): void {
		this.#end();
		// A client that does not wait for its responses may send before it has received all of them, and a reset discards them.
		if (!this.#isPipelined) {
			this.#socket.destroySoon();
		}
	}

	/** Ends the connection. Later input is discarded, because its response could not be sent. */
	#end(lastMessage = ''): void {
		this.#isEnded = true;
		this.#messages.length = 0;
		this.#socket.end(lastMessage, 'latin1');
		this.#socket.setTimeout(endTimeoutMilliseconds, () => {
			this.#socket.destroy();
		});
	}

	#receive(chunk: Buffer): void {
		if (this.#isEnded) {
			return;
		}

		this.#lastActiveAt = this.#timer.now();
		this.#messages.push(...this.#codec.decode(chunk));
		this.#isPipelined ||= this.#isProcessing || this.#messages.length > 1;
		if (this.#messages.length > maximumQueuedMessages) {
			this.#socket.pause();
		}

		if (!this.#isProcessing) {
			void this.#processMessages();
		}
	}

	async #processMessages(): Promise<void> {
		this.#isProcessing = true;
		for (let message = this.#messages.shift(); message; message = this.#messages.shift()) {
			if (this.#socket.isPaused() && this.#messages.length <= maximumQueuedMessages) {
				this.#socket.resume();
			}

			try {
				await this.#handleMessage(message);
			} catch (error) {
				this.#log.write('client-message-failed', {reason: error instanceof Error ? error.stack : String(error)});
				this.#socket.destroy();
			}
		}

		this.#isProcessing = false;
		if (this.#closesWhenIdle) {
			void this.#closeOnceIdle();
		}
	}

	async #handleMessage(message: ClientMessage): Promise<void> {
		switch (message.kind) {
			case ClientMessageKind.Startup: {
				await this.#startUp(message.credentials);
				break;
			}

			case ClientMessageKind.Statement: {
				this.#hasStatement = true;
				if (this.#session) {
					await this.#write(this.#codec.encodeResult(await this.#session.execute(message.statement)));
					if (this.#session.isAccessDenied) {
						this.end();
					}
				} else {
					this.#sendFatalError(StatementErrorCode.Malformed, 'a statement before the start-up message');
				}

				break;
			}

			case ClientMessageKind.InvalidStatement: {
				this.#hasStatement = true;
				const status = this.#session?.status;
				await this.#write(this.#codec.encodeResult(createErrorResult(StatementErrorCode.Malformed, message.message, status)));
				break;
			}

			case ClientMessageKind.Unreadable: {
				this.#sendFatalError(message.code, message.message);
				break;
			}

			case ClientMessageKind.Terminate: {
				this.#end();
				break;
			}
		}
	}

	async #startUp(credentials: CallerCredentials): Promise<void> {
		if (this.#session) {
			this.#sendFatalError(StatementErrorCode.Malformed, 'a second start-up message');
			return;
		}

		await this.#host.waitUntilConfigured();
		if (this.#socket.destroyed || this.#isEnded) {
			return;
		}

		const opened = this.#host.openSession(credentials);
		if (opened.isErr()) {
			this.#sendFatalError(opened.error.code, opened.error.message);
			return;
		}

		this.#session = opened.value;
		this.#socket.write(this.#codec.encodeReady());
		this.#lastActiveAt = this.#timer.now();
	}

	#sendFatalError(code: StatementErrorCode, message: string): void {
		this.#end(this.#codec.encodeFatalError(code, message));
	}

	async #write(text: string): Promise<void> {
		if (this.#socket.destroyed || this.#socket.write(text, 'latin1')) {
			return;
		}

		await new Promise<void>(resolve => {
			const finish = () => {
				this.#socket.off('drain', finish);
				this.#socket.off('close', finish);
				resolve();
			};

			this.#socket.on('drain', finish);
			this.#socket.on('close', finish);
		});
	}
}
