import {MetricName, Rank, RefusalReason, TransactionStatus, Verdict} from '@tarragonstack/core';
import {describe, expect, it} from 'vitest';
import {createRefusal} from './fake-executor.js';
import {Harness} from './harness.js';

describe('request options', () => {
	it.each([
		{guards: 'the default of the contract', options: {}, text: 'SELECT 1', rank: Rank.Middle},
		{guards: 'a rule on the statement', options: {}, text: 'INSERT INTO orders VALUES (1)', rank: Rank.Urgent},
		{guards: 'a rule on the application name', options: {application_name: 'reports'}, text: 'SELECT 1', rank: Rank.Least},
		{guards: 'a startup option that is ignored', options: {options: '-c tarragon.rank=urgent'}, text: 'SELECT 1', rank: Rank.Urgent},
		{guards: 'an option that a rule overrides', options: {options: '-c tarragon.rank=least'}, text: 'INSERT INTO orders VALUES (1)', rank: Rank.Least},
		{guards: 'a comment that is ignored', options: {options: '-c tarragon.rank=least'}, text: 'SELECT 1 /*rank=\'urgent\'*/', rank: Rank.Urgent},
	])('selects the rank $rank, which guards against an error with $guards', async ({options, text, rank}) => {
		await using harness = await Harness.start();
		const client = await harness.connect(options);
		await client.query(text);
		expect(harness.executor.requests[0]).toMatchObject({rank, customer: 'ronquido', group: 'subs-core', configurationVersion: 7});
	});

	it('uses the smaller staleness of contract and option, which guards against reads that are staler than the contract permits', async () => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		await client.query('SELECT 1');
		await client.query('SET tarragon.max_staleness_ms = 500');
		await client.query('SELECT 1');
		await client.query('SET tarragon.max_staleness_ms TO \'9000\'');
		await client.query('SELECT 1');
		await client.query('RESET tarragon.max_staleness_ms');
		await client.query('SELECT 1 /*max_staleness_ms=\'0\'*/');
		expect(harness.executor.requests.map(request => request.maximumStalenessMilliseconds)).toEqual([2000, 500, 2000, 0]);
	});

	it('applies a comment to one statement only', async () => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		await client.query('INSERT INTO a VALUES (1) /*idempotency_key=\'a1\',repeatable=\'on\',group=\'subs-other\',session=\'s\',position=\'2:3\'*/');
		await client.query('INSERT INTO a VALUES (2)');
		expect(harness.executor.requests).toMatchObject([
			{idempotencyKey: 'a1', repeatable: true, group: 'subs-other'}, {repeatable: false, group: 'subs-core'},
		]);
		expect(harness.executor.requests[1]).not.toHaveProperty('idempotencyKey');
		expect(harness.executor.sessions).toMatchObject([{identifier: 's', positionToken: {term: 2, index: 3}}, {}]);
		expect(harness.executor.sessions[1]?.identifier).toBeUndefined();
	});

	it('uses an idempotency key of the session for one write, which guards against two writes under one key', async () => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		await client.query('SET tarragon.idempotency_key = \'a1\'');
		await client.query('SELECT 1');
		await client.query('INSERT INTO a VALUES (1)');
		await client.query('INSERT INTO a VALUES (2)');
		expect(harness.executor.requests.map(request => request.idempotencyKey)).toEqual([undefined, 'a1', undefined]);
	});

	it('sets, shows and resets options locally, which guards against options that reach pooled connections', async () => {
		await using harness = await Harness.start();
		const client = await harness.connect({options: '-c tarragon.session=first'});
		await client.query('SET tarragon.session = \'second\'; SET tarragon.repeatable = on');
		expect(await client.query('SHOW tarragon.session')).toMatchObject({rows: [{'tarragon.session': 'second'}]});
		expect(await client.query({name: 'show', text: 'SHOW tarragon.repeatable'})).toMatchObject({rows: [{'tarragon.repeatable': 'on'}]});
		await client.query('RESET tarragon.session');
		expect(await client.query('SHOW tarragon.session')).toMatchObject({rows: [{'tarragon.session': 'first'}]});
		expect(await client.query('SHOW tarragon.group')).toMatchObject({rows: [{'tarragon.group': 'subs-core'}]});
		expect(harness.executor.requests).toEqual([]);
	});

	it('shows the position of the session, which guards against a caller that cannot read its writes through another host', async () => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		expect(await client.query('SHOW tarragon.position')).toMatchObject({rows: [{'tarragon.position': ''}]});
		harness.executor.updateSession = session => {
			session.observedPositions.set('subs-core', {term: 4, index: 19});
		};

		await client.query('INSERT INTO a VALUES (1)');
		expect(await client.query('SHOW tarragon.position')).toMatchObject({rows: [{'tarragon.position': '4:19'}]});
		await client.query('SET tarragon.position = \'5:1\'');
		expect(await client.query('SHOW tarragon.position')).toMatchObject({rows: [{'tarragon.position': '5:1'}]});
		await client.query('SET tarragon.position = \'4:2\'');
		expect(await client.query('SHOW tarragon.position')).toMatchObject({rows: [{'tarragon.position': '4:19'}]});
	});

	it.each([
		['SET tarragon.rank = \'first\'', '22023', 'an invalid value'],
		['SET tarragon.speed = \'fast\'', '22023', 'an unknown option'],
		['SHOW tarragon.speed', '22023', 'an unknown option that SHOW accepts'],
		['SET tarragon.group = \'foreign\'', '22023', 'a group of another customer'],
		['SELECT 1 /*group=\'foreign\'*/', '22023', 'a group of another customer in a comment'],
		['SELECT 1 /*rank=\'first\'*/', '22023', 'an invalid value in a comment'],
		['SET tarragon.rank = \'least\'; SELECT 1', '0A000', 'an option that is ignored in a unit with other statements'],
		['SET tarragon.rank = \'least\'; SET tarragon.repeatable = \'maybe\'', '22023', 'a unit that is partly applied'],
	])('refuses %j with %s (guards against %s)', async (text, code, _guards) => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		await expect(client.query(text)).rejects.toMatchObject({code});
		await expect(client.query({text, name: 'n'})).rejects.toThrow();
		expect(await client.query('SHOW tarragon.rank')).toMatchObject({rows: [{'tarragon.rank': ''}]});
		expect(harness.executor.requests.filter(request => harness.executor.getSqlText(request).startsWith('SET tarragon.rank = \'least\'; SELECT'))).toEqual([]);
	});

	it.each([
		'SET application_name = \'shop\'',
		'SET client_encoding TO \'UTF8\'',
		'SET extra_float_digits = 3',
		'SET DateStyle = \'ISO\'',
		'SET statement_timeout = 0',
		'SET search_path = public',
	])('accepts %j locally, which guards against drivers that cannot connect', async text => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		expect(await client.query(text)).toMatchObject({command: 'SET'});
		expect(harness.executor.requests).toEqual([]);
	});
});

describe('configuration changes', () => {
	it('uses the current version when the unit begins, and closes connections of removed users', async () => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		const {configuration} = harness.configurationStore;
		harness.configurationStore.configuration = configuration && {...configuration, version: 8};
		await client.query('SELECT 1');
		expect(harness.executor.requests[0]?.configurationVersion).toBe(8);
		harness.configurationStore.configuration = configuration && {...configuration, contracts: []};
		await expect(client.query('SELECT 1')).rejects.toMatchObject({code: '28000'});
	});
});

describe('metrics', () => {
	const getMetricNames = (harness: Harness) => harness.metrics.map(metric => metric.name);

	it.each([
		{guards: 'an answered request', result: undefined, expected: [MetricName.RequestCount, MetricName.RequestDuration]},
		{guards: 'a refusal', result: createRefusal(RefusalReason.Overloaded), expected: [MetricName.RequestCount, MetricName.RequestDuration, MetricName.RequestRefused]},
		{guards: 'an unknown outcome', result: createRefusal(RefusalReason.OutcomeUnknown), expected: [MetricName.RequestCount, MetricName.RequestDuration, MetricName.RequestOutcomeUnknown]},
	])('counts $guards per customer and rank', async ({result, expected}) => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		harness.executor.override = async () => result;
		await client.query('INSERT INTO a VALUES (1)').catch(() => {});
		await harness.waitUntil(() => harness.metrics.length === expected.length);
		expect(getMetricNames(harness)).toEqual(expected);
		expect(harness.metrics[0]).toMatchObject({value: 1, tags: {customer: 'ronquido', rank: Rank.Middle}});
	});

	it('counts a late request, which guards against refunds that are not recorded', async () => {
		await using harness = await Harness.start();
		const client = await harness.connect();
		harness.executor.override = async () => {
			await harness.timerService.sleep(60);
			return {verdict: Verdict.Ran, transactionStatus: TransactionStatus.Idle};
		};

		await client.query('INSERT INTO orders VALUES (1)').catch(() => {});
		await harness.waitUntil(() => harness.metrics.length === 3);
		expect(getMetricNames(harness)).toContain(MetricName.RequestLate);
		const duration = harness.metrics.find(metric => metric.name === MetricName.RequestDuration);
		expect(duration?.value).toBeGreaterThan(50);
	});
});
