import {
	addExtension, decode, encode, setSizeLimits, type Extension,
} from 'cbor-x';
import {err, ok, type Result} from 'neverthrow';

/** Bytes of the length field in front of each frame. */
const headerBytes = 4;

/** Greatest length of a frame's body, in bytes, unless a decoder is given another one. */
export const maximumFrameBytes = 1_048_576;

/** Greatest number of elements of a list or map. The library reserves memory for the stated number before it reads them. */
export const maximumElements = 65_536;

/** CBOR tags of positive and negative big numbers. Frames contain none, and the library takes quadratic time to read them. */
const bigNumberTags = [2, 3];

setSizeLimits({maxArraySize: maximumElements, maxMapSize: maximumElements, maxObjectSize: maximumElements});
for (const tag of bigNumberTags) {
	// The types demand an encoder, which the library does not need for an extension that only decodes.
	addExtension({
		tag,
		decode() {
			throw new Error('a frame contains a big number');
		},
	} as unknown as Extension<never, never>);
}

/** Reason why received bytes are not a valid frame. */
export enum FrameError {
	TooLong = 'frame-too-long',
	Malformed = 'frame-malformed',
}

/**
 * Encodes a value as one frame: a big-endian length of 4 bytes, then CBOR.
 *
 * @param value - Value of plain objects, arrays, strings, numbers, booleans and byte arrays.
 */
export function encodeFrame(value: unknown): Buffer {
	const body = encode(value);
	const frame = Buffer.allocUnsafe(headerBytes + body.length);
	frame.writeUInt32BE(body.length, 0);
	body.copy(frame, headerBytes);
	return frame;
}

/** Splits a stream of bytes into frames. Buffers at most one frame. */
export class FrameDecoder {
	readonly #maximumBytes: number;
	#pending: Buffer = Buffer.alloc(0);

	/**
	 * @param maximumBytes - Greatest length of a frame's body.
	 */
	constructor(maximumBytes = maximumFrameBytes) {
		this.#maximumBytes = maximumBytes;
	}

	/**
	 * Takes received bytes and returns the values of all frames that are now complete.
	 *
	 * @param chunk - Received bytes.
	 * @returns The decoded values, which the caller must validate, or the error after which the stream is unusable.
	 */
	push(chunk: Buffer): Result<unknown[], FrameError> {
		this.#pending = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk]);
		const values: unknown[] = [];
		let offset = 0;
		while (this.#pending.length - offset >= headerBytes) {
			const length = this.#pending.readUInt32BE(offset);
			if (length > this.#maximumBytes) {
				return err(FrameError.TooLong);
			}

			const end = offset + headerBytes + length;
			if (end > this.#pending.length) {
				break;
			}

			try {
				values.push(decode(this.#pending.subarray(offset + headerBytes, end)));
			} catch {
				return err(FrameError.Malformed);
			}

			offset = end;
		}

		this.#pending = this.#pending.subarray(offset);
		return ok(values);
	}
}
