import {readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';
import {configurationSchema, contractSchema, type Contract} from '../../src/index.js';

/**
 * Reads an example contract.
 *
 * @param path - Path below `examples`.
 */
function readExample(path: string): Contract {
	const url = new URL(`../../../../examples/${path}`, import.meta.url);
	return contractSchema.parse(JSON.parse(readFileSync(url, 'utf8')));
}

const ronquido = readExample('ronquido/ronquido-cero.json');

describe('contractSchema', () => {
	it.each(['ronquido/ronquido-cero.json', 'edredon/edredon-limpio.json'])('accepts the documented example %s', path => {
		expect(readExample(path).ranks.urgent.lateRefund).toBeGreaterThan(readExample(path).ranks.least.lateRefund);
	});

	it.each([
		{scenario: 'floor shares whose sum exceeds 1', change: {ranks: {...ronquido.ranks, middle: {...ronquido.ranks.middle, floorShare: 0.6}}}, path: ['ranks']},
		{scenario: 'a timeout below the target', change: {ranks: {...ronquido.ranks, urgent: {...ronquido.ranks.urgent, timeoutMilliseconds: 50}}}, path: ['ranks', 'urgent', 'timeoutMilliseconds']},
		{scenario: 'a password in plain text', change: {users: [{name: 'ronquido', passwordSha256: 'secret'}]}, path: ['users', 0, 'passwordSha256']},
		{scenario: 'a contract without groups', change: {groups: []}, path: ['groups']},
	])('rejects $scenario and names the field', ({change, path}) => {
		const parsed = contractSchema.safeParse({...ronquido, ...change});
		expect(parsed.error?.issues[0]?.path).toEqual(path);
	});
});

describe('configurationSchema', () => {
	it('rejects a contract that refers to an undefined group', () => {
		const parsed = configurationSchema.safeParse({
			version: 1, changeIdentifier: 'c1', author: 'operator', time: '2026-12-04T00:00:00Z', contracts: [ronquido], groups: [],
		});
		expect(parsed.error?.issues[0]).toMatchObject({path: ['contracts', 0, 'groups', 0], message: 'group "subs-core-1" is not defined'});
	});
});
