import {fc, it} from '@fast-check/vitest';
import {serialize} from 'pg-protocol';
import {describe, expect} from 'vitest';
import {Harness} from './harness.js';

const name = fc.constantFrom('', 'a', 'b');
const texts = [
	'SELECT 1',
	'INSERT fail',
	'syntax fail',
	'BEGIN',
	'COMMIT',
	'ROLLBACK',
	'SET tarragon.rank = \'urgent\'',
	'SHOW tarragon.rank',
	'COPY a FROM STDIN',
	'',
	';',
	'SAVEPOINT s',
	'ROLLBACK TO SAVEPOINT s',
	'SELECT \'unterminated',
	'SELECT 1 /*rank=\'first\'*/',
];
const text = fc.constantFrom(...texts);
const randomMessage = fc.tuple(fc.constantFrom(...'QPBDECHSFdcf'), fc.uint8Array({maxLength: 20})).map(([type, body]) => {
	const header = Buffer.alloc(5);
	header.write(type, 0, 'latin1');
	header.writeUInt32BE(body.length + 4, 1);
	return Buffer.concat([header, body]);
});
const message = fc.oneof(
	{weight: 4, arbitrary: text.map(query => serialize.query(query))},
	{weight: 4, arbitrary: fc.record({name, text}).map(options => serialize.parse(options))},
	{weight: 4, arbitrary: fc.record({portal: name, statement: name}).map(options => serialize.bind(options))},
	{weight: 4, arbitrary: fc.record({portal: name, rows: fc.nat(2)}).map(options => serialize.execute(options))},
	{weight: 2, arbitrary: fc.record({type: fc.constantFrom('S' as const, 'P' as const), name}).map(options => serialize.describe(options))},
	{weight: 2, arbitrary: fc.record({type: fc.constantFrom('S' as const, 'P' as const), name}).map(options => serialize.close(options))},
	{weight: 1, arbitrary: fc.constant(serialize.flush())},
	{weight: 4, arbitrary: fc.constant(serialize.sync())},
	{weight: 1, arbitrary: randomMessage},
);

describe('random messages', () => {
	it.prop([fc.array(message, {maxLength: 30})], {numRuns: 300})('are all answered up to the last Sync, which guards against a caller that waits', async messages => {
		await using harness = await Harness.start();
		const caller = await harness.connectRaw();
		caller.socket.write(Buffer.concat([...messages, serialize.sync(), serialize.end()]));
		await caller.waitForClose();
		const count = (types: string) => messages.filter(bytes => types.includes(String.fromCodePoint(bytes[0] ?? 0))).length;
		const readyCount = caller.receivedMessages.filter(({type}) => type === 'Z').length;
		if (caller.errorCodes.at(-1) === '08P01' && caller.receivedTypes.endsWith('E')) {
			// A Query message before the Sync of preceding extended-query messages closes the connection.
			return;
		}

		// Each Sync is answered. As in PostgreSQL, messages between an error and the next Sync are skipped.
		expect(readyCount).toBeGreaterThanOrEqual(count('S') + 1);
		expect(readyCount).toBeLessThanOrEqual(count('SQF') + 1);
		expect(caller.receivedTypes.endsWith('Z')).toBe(true);
		expect(harness.executor.cancelledRequests).toEqual([]);
	}, 60_000);
});
