import {RequestKind, TransactionStatus} from '@tarragonstack/core';
import {describe, expect, it} from 'vitest';
import {Harness} from './harness.js';

describe('CallerListener with the pg driver', () => {
	it.each([
		{query: {text: 'SELECT 1'}, guards: 'a simple query with a missing or wrong response'},
		{query: {text: 'SELECT $1', values: ['a']}, guards: 'an extended query without a response'},
		{query: {name: 'first', text: 'SELECT $1', values: ['a']}, guards: 'a named statement that is sent upstream under its name'},
	])('answers $query (guards against $guards)', async ({query}) => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		const first = await client.query(query);
		const second = await client.query(query);
		expect([first.rows, second.rows]).toEqual([[{text: query.text}], [{text: query.text}]]);
		expect(harness.executor.requests.map(request => request.kind)).toEqual([RequestKind.Read, RequestKind.Read]);
	});
});
