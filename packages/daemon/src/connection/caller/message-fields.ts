/** Offset of the body of a message with a type byte. */
const bodyOffset = 5;

/** Reads the fields of a frontend message. The read methods return `undefined` if the message is too short. */
export class MessageFields {
	readonly #bytes: Buffer;
	#offset = bodyOffset;

	/**
	 * @param bytes - Complete message, including its header.
	 */
	constructor(bytes: Buffer) {
		this.#bytes = bytes;
	}

	/** Reads a null-terminated string. */
	readString(): string | undefined {
		const end = this.#bytes.indexOf(0, this.#offset);
		if (end === -1) {
			return undefined;
		}

		const text = this.#bytes.toString('utf8', this.#offset, end);
		this.#offset = end + 1;
		return text;
	}

	/** Reads one byte as a character. */
	readCharacter(): string | undefined {
		const code = this.#bytes[this.#offset++];
		return code === undefined ? undefined : String.fromCodePoint(code);
	}

	/** Returns the bytes that have not been read. */
	getRemainingBytes(): Buffer {
		return this.#bytes.subarray(this.#offset);
	}
}

/**
 * Encodes a frontend message.
 *
 * @param type - Type of the message as a character.
 * @param parts - Parts of the body.
 */
export function encodeFrontendMessage(type: string, ...parts: ReadonlyArray<string | Buffer>): Buffer {
	const body = parts.map(part => typeof part === 'string' ? Buffer.from(part) : part);
	const length = body.reduce((sum, part) => sum + part.length, 4);
	const header = Buffer.alloc(bodyOffset);
	header.write(type, 0, 'latin1');
	header.writeUInt32BE(length, 1);
	return Buffer.concat([header, ...body]);
}
