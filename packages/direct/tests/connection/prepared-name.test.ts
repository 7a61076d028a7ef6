import {fc, test} from '@fast-check/vitest';
import {describe, expect, it} from 'vitest';
import {getPreparedName, type PreparedDefinition} from '../../src/index.js';

/** Shapes as clients may send them: any text, often with blanks and with words of the protocol. */
const shapes = fc.oneof(
	fc.string({minLength: 1, unit: fc.constantFrom('a', ' ', 'WRITE', 'READ', 'q2c', '\t', '\u00E9', '_')}),
	fc.constantFrom('q2c', 'q2c WRITE q9 x', 'wq2c', 'W', ' ', 'x'.repeat(32), 'x'.repeat(33), 'x'.repeat(100_000)),
);
const definitions: fc.Arbitrary<PreparedDefinition> = fc.record({writes: fc.boolean(), shape: shapes});

describe('getPreparedName', () => {
	// Guards against a shape with blanks that changes the prepared statements of other clients (review/5).
	it.each(['q2c', 'q2c WRITE q9 x', ' q2c', 'q2c ', '\t', 'caf\u00E9', 'x'.repeat(1_000_000)])('is a short word for the shape %j', shape => {
		expect(getPreparedName({writes: true, shape})).toMatch(/^[!-~]{1,64}$/v);
	});

	test.prop([definitions])('is one word that the protocol can carry', definition => {
		expect(getPreparedName(definition)).toMatch(/^[!-~]{1,64}$/v);
	});

	test.prop([definitions, definitions])('differs for different definitions', (left, right) => {
		expect(getPreparedName(left) === getPreparedName(right)).toBe(left.writes === right.writes && left.shape === right.shape);
	});

	it('does not take a digest for a word', () => {
		const digest = getPreparedName({writes: true, shape: 'q2c WRITE q9 x'});
		expect(getPreparedName({writes: true, shape: digest.slice(1)})).not.toBe(digest);
		expect(getPreparedName({writes: true, shape: digest})).not.toBe(digest);
	});
});
