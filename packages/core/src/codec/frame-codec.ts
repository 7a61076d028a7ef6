import {
	addExtension, decode, encode, setSizeLimits, type Extension,
} from 'cbor-x';
import {err, ok, type Result} from 'neverthrow';

/** Size of the length field in front of each frame, in bytes. */
const headerBytes = 4;

/** Default maximum length of a frame's body, in bytes. */
export const maximumFrameBytes = 1_048_576;

/** Maximum number of elements of a list or map. The library allocates memory for the stated number before it reads them. */
export const maximumElements = 65_536;

/** CBOR tags of positive and negative big numbers. Frames contain none, and decoding them takes the library quadratic time. */
const bigNumberTags = [2, 3];

setSizeLimits({maxArraySize: maximumElements, maxMapSize: maximumElements, maxObjectSize: maximumElements});
for (const tag of bigNumberTags) {
	// The type declarations require an encoder, but the library does not need one for an extension that only decodes.
	addExtension({
		tag,
		decode() {
			throw new Error('frame contains a big number');
		},
	} as unknown as Extension<never, never>);
}

/** Error of a frame that cannot be decoded. */
export enum FrameError {
	TooLong = 'frame-too-long',
	Malformed = 'frame-malformed',
}

/**
 * Encodes a value as one frame: a big-endian length of 4 bytes, then CBOR.
 *
 * @param value - Value that consists of plain objects, arrays, strings, numbers, booleans and byte arrays.
 */
export function encodeFrame(value: unknown): Buffer {
	const body = encode(value);
	const frame = Buffer.allocUnsafe(headerBytes + body.length);
	frame.writeUInt32BE(body.length, 0);
	body.copy(frame, headerBytes);
	return frame;
}

/** Decodes the frames of a byte stream. Buffers at most one incomplete frame. */
export class FrameDecoder {
	readonly #maximumBytes: number;
	#pending: Buffer = Buffer.alloc(0);

	/**
	 * @param maximumBytes - Maximum length of a frame's body, in bytes.
	 */
	constructor(maximumBytes = maximumFrameBytes) {
		this.#maximumBytes = maximumBytes;
	}

	/**
	 * Adds received bytes and returns the values of all frames that are complete.
	 *
	 * @param chunk - Received bytes.
	 * @returns The decoded values, which the caller must validate, or an error after which the stream cannot be used further.
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
