import {Rank} from '@tarragonstack/core';
import {describe, expect, it} from 'vitest';
import {
	parseCommentOptions, parseOption, parseStartupOptions, type RequestOptions,
} from '../../../src/index.js';

describe('parseOption', () => {
	it.each([
		['rank', 'Urgent', {rank: Rank.Urgent}],
		['max_staleness_ms', '0', {maximumStalenessMilliseconds: 0}],
		['repeatable', 'on', {repeatable: true}],
		['idempotency_key', 'a1', {idempotencyKey: 'a1'}],
		['position', '3:17', {position: {term: 3, index: 17}}],
	])('parses %s = %j (guards against an option that has no effect)', (name, value, expected) => {
		expect(parseOption(name, value)._unsafeUnwrap()).toEqual(expected);
	});

	it.each([
		['rank', 'first'],
		['max_staleness_ms', '-1'],
		['max_staleness_ms', '99999999'],
		['max_staleness_ms', '1.5'],
		['repeatable', 'maybe'],
		['idempotency_key', ''],
		['idempotency_key', 'a'.repeat(201)],
		['session', ''],
		['position', '3'],
		['speed', 'fast'],
	])('rejects %s = %j (guards against a typing error that is ignored)', (name, value) => {
		expect(parseOption(name, value).isErr()).toBe(true);
	});
});

describe('parseCommentOptions', () => {
	it.each<[string, RequestOptions, string]>([
		['rank=\'urgent\',idempotency_key=\'a1\'', {rank: Rank.Urgent, idempotencyKey: 'a1'}, 'several pairs'],
		['traceparent=\'00-ab\',rank=\'least\'', {rank: Rank.Least}, 'an unknown name that is rejected'],
		['idempotency_key=\'it%27s %C3%B1\'', {idempotencyKey: 'it\'s ñ'}, 'values that stay URL-encoded'],
		[String.raw`idempotency_key='it\'s'`, {idempotencyKey: 'it\'s'}, 'an escaped quote that ends the value'],
		['idempotency_key=\'100%\'', {idempotencyKey: '100%'}, 'an invalid escape that throws'],
		['an ordinary remark', {}, 'a plain comment that is parsed as options'],
	])('parses %j as %j (guards against %s)', (comment, expected, _guards) => {
		expect(parseCommentOptions([comment])._unsafeUnwrap()).toEqual(expected);
	});

	it('rejects an invalid value (guards against a typing error that is ignored)', () => {
		expect(parseCommentOptions(['rank=\'first\'']).isErr()).toBe(true);
	});
});

describe('parseStartupOptions', () => {
	it.each([
		[String.raw`-c tarragon.rank=urgent -c tarragon.session=a\ b`, [['tarragon.rank', 'urgent'], ['tarragon.session', 'a b']]],
		['-ctarragon.rank=urgent --tarragon.group=x', [['tarragon.rank', 'urgent'], ['tarragon.group', 'x']]],
		['', []],
	])('parses %j (guards against options that are lost)', (text, expected) => {
		expect(parseStartupOptions(text)._unsafeUnwrap()).toEqual(expected);
	});

	it.each(['-c', 'tarragon.rank=urgent', '-c tarragon.rank'])('rejects %j (guards against options that are ignored)', text => {
		expect(parseStartupOptions(text).isErr()).toBe(true);
	});
});
