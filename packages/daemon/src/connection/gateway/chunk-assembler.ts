/** Maximum length of a chunk between hosts including its flag byte, in bytes. */
export const maximumChunkBytes = 65_535;

/** First byte of a chunk whose sequence of messages continues in the next chunk. */
const continuationFlag = 0;

/** First byte of the last chunk of a sequence of whole messages. */
const finalFlag = 1;

/**
 * Splits a sequence of whole messages into chunks.
 *
 * @param messages - Bytes of whole messages.
 * @returns Chunks that begin with a flag byte.
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

/** Reassembles the chunks of one response into sequences of whole messages. */
export class ChunkAssembler {
	#parts: Uint8Array[] = [];

	/**
	 * Adds the next chunk.
	 *
	 * @param chunk - Chunk with its flag byte.
	 * @returns Whole messages, or `undefined` while the sequence is incomplete.
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
