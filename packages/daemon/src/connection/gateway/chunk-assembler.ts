/** Greatest number of bytes in one chunk between hosts. */
export const maximumChunkBytes = 65_535;

/** First byte of a chunk that continues in the next one. */
const continuationFlag = 0;

/** First byte of a chunk that ends a sequence of whole messages. */
const finalFlag = 1;

/**
 * Splits a sequence of whole messages into chunks.
 *
 * @param messages - Bytes of whole messages.
 * @returns Chunks with one mark byte in front.
 */
export function splitIntoChunks(messages: Uint8Array): Uint8Array[] {
	const chunks: Uint8Array[] = [];
	const payloadBytes = maximumChunkBytes - 1;
	for (let offset = 0; offset < messages.length; offset += payloadBytes) {
		const isLast = offset + payloadBytes >= messages.length;
		chunks.push(Buffer.concat([Buffer.of(isLast ? finalFlag : continuationFlag), messages.subarray(offset, offset + payloadBytes)]));
	}

	return chunks;
}

/** Joins the chunks of one response to sequences of whole messages. */
export class ChunkAssembler {
	#parts: Uint8Array[] = [];

	/**
	 * Takes the next chunk.
	 *
	 * @param chunk - Chunk with its mark byte.
	 * @returns Whole messages, or `undefined` while a sequence is incomplete.
	 */
	push(chunk: Uint8Array): Uint8Array | undefined {
		this.#parts.push(chunk.subarray(1));
		if (chunk[0] !== finalFlag) {
			return undefined;
		}

		const messages = this.#parts.length === 1 ? this.#parts[0] : Buffer.concat(this.#parts);
		this.#parts = [];
		return messages;
	}
}
