import {err, ok, type Result} from 'neverthrow';

/** Length of a message header: the type byte and the 4-byte length. */
export const messageHeaderBytes = 5;

/** Maximum length of a message, in bytes. Bounds the memory of one connection. */
export const maximumMessageBytes = 16_777_216;

/** Type bytes of the back-end messages that the proxy inspects. */
export enum BackendMessageType {
	NotificationResponse = 0x41,
	CommandComplete = 0x43,
	DataRow = 0x44,
	ErrorResponse = 0x45,
	CopyInResponse = 0x47,
	CopyOutResponse = 0x48,
	EmptyQueryResponse = 0x49,
	BackendKeyData = 0x4B,
	NoticeResponse = 0x4E,
	Authentication = 0x52,
	ParameterStatus = 0x53,
	RowDescription = 0x54,
	CopyBothResponse = 0x57,
	ReadyForQuery = 0x5A,
	ParseComplete = 0x31,
	PortalSuspended = 0x73,
}

/** Splits the byte stream of a server into whole messages. */
export class BackendMessageReader {
	#chunks: Buffer[] = [];
	#bufferedBytes = 0;
	/** Bytes that must be buffered before the next message can be complete. */
	#neededBytes = messageHeaderBytes;

	/**
	 * Adds received bytes and returns the messages that are now complete, including their headers.
	 *
	 * @param chunk - Received bytes.
	 * @returns The messages, or an error message if the stream is malformed.
	 */
	push(chunk: Buffer): Result<Buffer[], string> {
		this.#chunks.push(chunk);
		this.#bufferedBytes += chunk.length;
		if (this.#bufferedBytes < this.#neededBytes) {
			return ok([]);
		}

		const data = this.#chunks.length === 1 ? chunk : Buffer.concat(this.#chunks);
		const messages: Buffer[] = [];
		let offset = 0;
		this.#neededBytes = messageHeaderBytes;
		while (data.length - offset >= messageHeaderBytes) {
			const messageBytes = 1 + data.readUInt32BE(offset + 1);
			if (messageBytes < messageHeaderBytes || messageBytes > maximumMessageBytes) {
				return err(`a message length of ${messageBytes} bytes is outside the limits`);
			}

			if (data.length - offset < messageBytes) {
				this.#neededBytes = messageBytes;
				break;
			}

			messages.push(data.subarray(offset, offset + messageBytes));
			offset += messageBytes;
		}

		this.#chunks = offset < data.length ? [data.subarray(offset)] : [];
		this.#bufferedBytes = data.length - offset;
		return ok(messages);
	}

	/** Removes and returns the bytes of the last, incomplete message. */
	takeIncomplete(): Buffer {
		const incomplete = Buffer.concat(this.#chunks);
		this.#chunks = [];
		this.#bufferedBytes = 0;
		this.#neededBytes = messageHeaderBytes;
		return incomplete;
	}
}

/**
 * Returns the command tag of a CommandComplete message.
 *
 * @param message - Whole message.
 */
export function getCommandTag(message: Buffer): string {
	return message.toString('latin1', messageHeaderBytes, message.length - 1);
}

/**
 * Returns the SQLSTATE of an ErrorResponse message.
 *
 * @param message - Whole message.
 */
export function getSqlState(message: Buffer): string {
	let offset = messageHeaderBytes;
	while (offset < message.length && message[offset] !== 0) {
		const end = message.indexOf(0, offset + 1);
		if (end === -1) {
			break;
		}

		if (message[offset] === 0x43) {
			return message.toString('latin1', offset + 1, end);
		}

		offset = end + 1;
	}

	return '';
}
