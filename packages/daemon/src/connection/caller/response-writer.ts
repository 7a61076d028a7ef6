import {type ResponseSink} from '@tarragonstack/core';
import {type CallerOutput} from './caller-output.js';

const headerBytes = 5;
const parseCompleteCode = 0x31;
const closeCompleteCode = 0x33;
const errorCode = 0x45;

/** Forwards the messages of one response to the caller and reports ParseComplete and CloseComplete messages. */
export class ResponseWriter implements ResponseSink {
	readonly #output: CallerOutput;
	readonly #onAcknowledge: () => void;
	#hasError = false;

	/**
	 * @param output - Output to the caller.
	 * @param onAcknowledge - Called for each ParseComplete and CloseComplete, in order.
	 */
	constructor(output: CallerOutput, onAcknowledge: () => void) {
		this.#output = output;
		this.#onAcknowledge = onAcknowledge;
	}

	/** Whether the response contains an ErrorResponse. */
	get hasError(): boolean {
		return this.#hasError;
	}

	/** @inheritdoc */
	async write(messages: Uint8Array): Promise<void> {
		this.#inspect(messages);
		await this.#output.write(messages);
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
