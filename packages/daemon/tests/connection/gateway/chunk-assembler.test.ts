import {randomBytes} from 'node:crypto';
import {describe, expect, it} from 'vitest';
import {ChunkAssembler, maximumChunkBytes, splitIntoChunks} from '../../../src/index.js';

describe('ChunkAssembler', () => {
	it.each([
		{bytes: 1, guards: 'a single byte'},
		{bytes: maximumChunkBytes - 1, guards: 'a sequence that fills one chunk exactly'},
		{bytes: maximumChunkBytes, guards: 'a sequence one byte longer than a chunk'},
		{bytes: 1_000_000, guards: 'a row much larger than a chunk'},
	])('returns whole sequences only, for $guards', ({bytes}) => {
		const messages = randomBytes(bytes);
		const assembler = new ChunkAssembler();
		const chunks = splitIntoChunks(messages);
		const received = chunks.map(chunk => assembler.push(chunk));
		expect(chunks.every(chunk => chunk.length <= maximumChunkBytes)).toBe(true);
		expect(received.slice(0, -1).every(part => part === undefined)).toBe(true);
		expect(messages.equals(received.at(-1)!)).toBe(true);
	});
});
