import {describe, expect, it} from 'vitest';
import {
	encodeFrame, FrameDecoder, FrameError, maximumFrameBytes,
} from '../../src/index.js';

describe('FrameDecoder', () => {
	it.each([
		{chunkBytes: 1, guards: 'a frame that arrives byte by byte'},
		{chunkBytes: 7, guards: 'a header that is split between two reads'},
		{chunkBytes: 10_000, guards: 'several frames in one read'},
	])('returns all values of $guards', ({chunkBytes}) => {
		const values = [{kind: 'first', body: [1, 2]}, {kind: 'second', body: 'text'}];
		const bytes = Buffer.concat(values.map(value => encodeFrame(value)));
		const decoder = new FrameDecoder();
		const received: unknown[] = [];
		for (let offset = 0; offset < bytes.length; offset += chunkBytes) {
			received.push(...decoder.push(bytes.subarray(offset, offset + chunkBytes))._unsafeUnwrap());
		}

		expect(received).toEqual(values);
	});

	it('refuses a length beyond the limit before it buffers the frame', () => {
		const header = Buffer.alloc(4);
		header.writeUInt32BE(maximumFrameBytes + 1);
		expect(new FrameDecoder().push(header)._unsafeUnwrapErr()).toBe(FrameError.TooLong);
	});
});
