import {once} from 'node:events';
import {type Socket} from 'node:net';
import {type ResponseSink} from '@tarragonstack/core';

const headerBytes = 5;
const parseCompleteCode = 0x31;
const closeCompleteCode = 0x33;
const errorCode = 0x45;

/** Passes the messages of one response on to the caller's socket and notes what they acknowledge. */
export class ResponseWriter implements ResponseSink {
	readonly #socket: Socket;
	readonly #ended: AbortSignal;
	readonly #onAcknowledge: () => void;
	#hasError = false;

	/**
	 * @param socket - Socket of the caller.
	 * @param ended - Aborted when the caller's connection ended; later messages are discarded.
	 * @param onAcknowledge - Called for each ParseComplete and CloseComplete, in order.
	 */
	constructor(socket: Socket, ended: AbortSignal, onAcknowledge: () => void) {
		this.#socket = socket;
		this.#ended = ended;
		this.#onAcknowledge = onAcknowledge;
	}

	/** Whether the response contains an ErrorResponse. */
	get hasError(): boolean {
		return this.#hasError;
	}

	/** @inheritdoc */
	async write(messages: Uint8Array): Promise<void> {
		this.#inspect(messages);
		if (this.#ended.aborted || this.#socket.write(messages)) {
			return;
		}

		try {
			await once(this.#socket, 'drain', {signal: this.#ended});
		} catch {
			// The caller's connection ended while it was full; the signal of the request tells the executor.
		}
	}

	#inspect(messages: Uint8Array): void {
		const view = new DataView(messages.buffer, messages.byteOffset, messages.byteLength);
		for (let offset = 0; offset + headerBytes <= messages.length; offset += 1 + view.getUint32(offset + 1)) {
			const code = messages[offset];
			if (code === parseCompleteCode || code === closeCompleteCode) {
				this.#onAcknowledge();
			}

			this.#hasError ||= code === errorCode;
		}
	}
}
