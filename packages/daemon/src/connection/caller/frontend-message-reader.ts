import {type Socket} from 'node:net';
import {type TimerService} from '@tarragonstack/core';
import {err, ok, type Result} from 'neverthrow';
import {type CallerError, SqlState} from './caller-error.js';

/** Message received from a caller. */
export type FrontendMessage = {
	/** Type of the message as a character. */
	readonly type: string;
	/** The complete message, including its header. */
	readonly bytes: Buffer;
	/** Monotonic time at which the first byte was read, in milliseconds. */
	readonly arrivedAt: number;
};

/** Maximum size of one message, and of the pending extended-query messages together, in bytes. */
export const maximumMessageBytes = 8 * 1024 * 1024;
/** Number of buffered bytes at which the socket is paused while a statement unit runs. */
const pauseThresholdBytes = 64 * 1024;
/** Maximum size of a message before the login is complete, in bytes. */
const maximumLoginBytes = 10_000;
const typedHeaderBytes = 5;
const startupHeaderBytes = 8;

type ReceivedChunk = {
	readonly bytes: Buffer;
	readonly arrivedAt: number;
};

/** Splits the bytes received from a caller into messages. Limits the number of bytes that are read ahead. */
export class FrontendMessageReader {
	readonly #timerService: TimerService;
	readonly #ended = new AbortController();
	#socket?: Socket;
	#chunks: ReceivedChunk[] = [];
	#bufferedBytes = 0;
	#wake?: () => void;

	/**
	 * @param timerService - Clock for arrival times.
	 */
	constructor(timerService: TimerService) {
		this.#timerService = timerService;
	}

	/** Aborted when the socket ends or `close` is called. */
	get ended(): AbortSignal {
		return this.#ended.signal;
	}

	/** Number of received bytes that are not yet part of a returned message. */
	get bufferedBytes(): number {
		return this.#bufferedBytes;
	}

	/**
	 * Reads from a socket, in place of the previous one if there is one.
	 *
	 * @param socket - Plaintext or TLS socket.
	 */
	attach(socket: Socket): void {
		this.#socket?.off('data', this.#onData);
		this.#socket = socket;
		socket.on('data', this.#onData);
		socket.on('end', this.#onEnd);
		socket.on('close', this.#onEnd);
		// The cause of the failure is not needed. A `close` event follows.
		socket.on('error', this.#onEnd);
		if (socket.destroyed) {
			this.#onEnd();
		}
	}

	/** Stops delivering messages. */
	close(): void {
		this.#onEnd();
	}

	/**
	 * Reads a packet without a type byte: startup message, TLS request, GSSAPI request or cancel request.
	 *
	 * @returns The packet, or `undefined` if the connection ended or the length is invalid.
	 */
	async readStartupPacket(): Promise<Buffer | undefined> {
		if (!await this.#waitFor(startupHeaderBytes)) {
			return undefined;
		}

		const length = this.#peek(4).readUInt32BE(0);
		if (length < startupHeaderBytes || length > maximumLoginBytes || !await this.#waitFor(length)) {
			return undefined;
		}

		return this.#consume(length).bytes;
	}

	/** Reads the response to the password request. */
	async readPasswordMessage(): Promise<FrontendMessage | undefined> {
		const message = await this.readMessage(maximumLoginBytes);
		return message.unwrapOr(undefined);
	}

	/**
	 * Reads the next message.
	 *
	 * @param maximumBytes - Maximum size of the message, in bytes.
	 * @returns The message, `undefined` if the connection ended, or an error after which the stream cannot be parsed further.
	 */
	async readMessage(maximumBytes: number): Promise<Result<FrontendMessage | undefined, CallerError>> {
		if (!await this.#waitFor(typedHeaderBytes)) {
			return ok(undefined);
		}

		const header = this.#peek(typedHeaderBytes);
		const length = header.readUInt32BE(1);
		if (length < 4) {
			return err({code: SqlState.ProtocolViolation, message: `invalid message length ${length}`});
		}

		if (length + 1 > maximumBytes) {
			return err({
				code: SqlState.ProgramLimitExceeded,
				message: `a message of ${length + 1} bytes exceeds the limit of ${maximumBytes} bytes`,
			});
		}

		if (!await this.#waitFor(length + 1)) {
			return ok(undefined);
		}

		const {bytes, arrivedAt} = this.#consume(length + 1);
		return ok({type: String.fromCodePoint(bytes[0] ?? 0), bytes, arrivedAt});
	}

	readonly #onData = (bytes: Buffer): void => {
		if (this.#ended.signal.aborted) {
			return;
		}

		this.#chunks.push({bytes, arrivedAt: this.#timerService.now()});
		this.#bufferedBytes += bytes.length;
		if (this.#wake) {
			this.#wake();
		} else if (this.#bufferedBytes >= pauseThresholdBytes) {
			this.#socket?.pause();
		}
	};

	readonly #onEnd = (): void => {
		this.#ended.abort();
		this.#wake?.();
	};

	async #waitFor(length: number): Promise<boolean> {
		while (this.#bufferedBytes < length && !this.#ended.signal.aborted) {
			this.#socket?.resume();
			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
			this.#wake = undefined;
		}

		return !this.#ended.signal.aborted;
	}

	#peek(length: number): Buffer {
		const first = this.#chunks[0]?.bytes;
		if (first && first.length >= length) {
			return first.subarray(0, length);
		}

		// The header of a message may be split across chunks of as little as one byte.
		return Buffer.concat(this.#chunks.slice(0, length).map(chunk => chunk.bytes)).subarray(0, length);
	}

	#consume(length: number): ReceivedChunk {
		const arrivedAt = this.#chunks[0]?.arrivedAt ?? this.#timerService.now();
		const parts: Buffer[] = [];
		let consumedChunks = 0;
		let remainingBytes = length;
		for (; remainingBytes > 0; consumedChunks++) {
			const chunk = this.#chunks[consumedChunks];
			if (!chunk) {
				break;
			}

			parts.push(chunk.bytes.subarray(0, remainingBytes));
			if (chunk.bytes.length > remainingBytes) {
				this.#chunks[consumedChunks] = {bytes: chunk.bytes.subarray(remainingBytes), arrivedAt: chunk.arrivedAt};
				break;
			}

			remainingBytes -= chunk.bytes.length;
		}

		this.#chunks = this.#chunks.slice(consumedChunks);
		this.#bufferedBytes -= length;
		return {bytes: parts.length === 1 && parts[0] ? parts[0] : Buffer.concat(parts), arrivedAt};
	}
}
