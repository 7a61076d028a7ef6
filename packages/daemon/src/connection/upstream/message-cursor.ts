/** Reading position in a message. It becomes invalid, and stays so, when a field is outside the message. */
export class MessageCursor {
	readonly #message: Buffer;
	#offset: number;
	#isValid = true;

	/**
	 * @param message - Whole message.
	 * @param offset - First byte to read.
	 */
	constructor(message: Buffer, offset: number) {
		this.#message = message;
		this.#offset = offset;
	}

	/** Whether all fields so far were inside the message. */
	get isValid(): boolean {
		return this.#isValid;
	}

	/** Makes the cursor invalid because of a value that the protocol does not allow. */
	invalidate(): void {
		this.#isValid = false;
	}

	/** Skips a field of the given number of bytes. */
	skip(bytes: number): void {
		this.#take(bytes);
	}

	/** Skips a zero-terminated string. */
	skipString(): void {
		const end = this.#message.indexOf(0, this.#offset);
		this.#take(end === -1 ? Number.POSITIVE_INFINITY : end + 1 - this.#offset);
	}

	/** Returns the next byte, or 0 if the cursor is invalid. */
	readByte(): number {
		const offset = this.#take(1);
		return offset === undefined ? 0 : this.#message.readUInt8(offset);
	}

	/** Returns the next 16-bit integer, or 0 if the cursor is invalid. */
	readInteger16(): number {
		const offset = this.#take(2);
		return offset === undefined ? 0 : this.#message.readInt16BE(offset);
	}

	/** Returns the next 32-bit integer, or 0 if the cursor is invalid. */
	readInteger32(): number {
		const offset = this.#take(4);
		return offset === undefined ? 0 : this.#message.readInt32BE(offset);
	}

	#take(bytes: number): number | undefined {
		const offset = this.#offset;
		if (!this.#isValid || bytes < 0 || offset + bytes > this.#message.length) {
			this.#isValid = false;
			return undefined;
		}

		this.#offset = offset + bytes;
		return offset;
	}
}
