import {describe, expect, it} from 'vitest';
import {
	encodeFrame, FrameDecoder, FrameError, maximumFrameBytes,
} from '../../src/index.js';

describe('FrameDecoder', () => {
	it.each([
		{chunkBytes: 1, scenario: 'a frame that arrives byte by byte'},
		{chunkBytes: 7, scenario: 'a header that is split between two reads'},
		{chunkBytes: 10_000, scenario: 'several frames in one read'},
	])('returns all values of $scenario', ({chunkBytes}) => {
		const values = [{kind: 'first', body: [1, 2]}, {kind: 'second', body: 'text'}];
		const bytes = Buffer.concat(values.map(value => encodeFrame(value)));
		const decoder = new FrameDecoder();
		const received: unknown[] = [];
		for (let offset = 0; offset < bytes.length; offset += chunkBytes) {
			received.push(...decoder.push(bytes.subarray(offset, offset + chunkBytes))._unsafeUnwrap());
		}

		expect(received).toEqual(values);
	});

	it.each([
		{body: Buffer.concat([Buffer.from([0xC2, 0x5A, 0, 0x0F, 0xFF, 0]), Buffer.alloc(1_048_320, 0xFF)]), scenario: 'a big number that takes minutes to decode'},
		{body: Buffer.concat([Buffer.from([0xC3, 0x5A, 0, 0x0F, 0xFF, 0]), Buffer.alloc(1_048_320, 0xFF)]), scenario: 'a negative big number'},
		{body: Buffer.from('9a06000000', 'hex'), scenario: 'a list of 100 million elements, for which 800 MB would be allocated'},
		{body: Buffer.from('ba00ffffff', 'hex'), scenario: 'a map of 16 million elements'},
		{body: Buffer.alloc(maximumFrameBytes, 0x81), scenario: 'nested lists that overflow the stack'},
	])('rejects $scenario within a second', ({body}) => {
		const header = Buffer.alloc(4);
		header.writeUInt32BE(body.length);
		const startedAt = performance.now();
		expect(new FrameDecoder().push(Buffer.concat([header, body]))._unsafeUnwrapErr()).toBe(FrameError.Malformed);
		expect(performance.now() - startedAt).toBeLessThan(1000);
	});

	it('rejects a length above the limit without buffering the frame', () => {
		const header = Buffer.alloc(4);
		header.writeUInt32BE(maximumFrameBytes + 1);
		expect(new FrameDecoder().push(header)._unsafeUnwrapErr()).toBe(FrameError.TooLong);
	});
});
