import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import pg from 'pg';
import {afterEach, describe, expect, it} from 'vitest';
import {SystemTimerService} from '@tarragonstack/core';
import {DatabaseInstance, type InstanceOptions} from '../../src/index.js';

const timerService = new SystemTimerService();
const resources: AsyncDisposable[] = [];

afterEach(async () => {
	for (const resource of resources.splice(0).toReversed()) {
		await resource[Symbol.asyncDispose]();
	}
});

type Status = {
	readonly accepted: boolean;
	readonly truncated: string;
	readonly role: string;
	readonly term: string;
	readonly promoter: string;
	readonly log_term: string;
	readonly log_index: string;
	readonly term_start_index: string;
	readonly primary_silence_ms: string;
	readonly primary_address: string;
};

class Member {
	static async start(name: string, options: Partial<InstanceOptions> = {}): Promise<Member> {
		const instance = new DatabaseInstance({
			name,
			address: '127.0.0.1',
			port: 0,
			controlPort: 0,
			slots: 3,
			connectionLimit: 20,
			connectMilliseconds: 0,
			serviceMilliseconds: 0,
			exponentialService: false,
			seed: 1,
			lagMilliseconds: 0,
			lockWaitMilliseconds: 300,
			...options,
		});
		const addresses = await instance.listen();
		const member = new Member(instance, addresses.database, addresses.control);
		resources.push(member);
		await member.connect();
		return member;
	}

	client!: pg.Client;

	private constructor(readonly instance: DatabaseInstance, readonly database: string, readonly controlAddress: string) {}

	async connect(): Promise<pg.Client> {
		const client = new pg.Client({host: '127.0.0.1', port: Number(this.database.split(':')[1]), user: 'test'});
		client.on('error', () => {});
		await client.connect();
		this.client ??= client;
		return client;
	}

	async call(statement: string): Promise<Status> {
		const {rows} = await this.client.query<Status>(`SELECT * FROM ${statement}`);
		return rows[0]!;
	}

	async status(): Promise<Status> {
		return this.call('tarragon_status()');
	}

	async control(body: Record<string, unknown>): Promise<void> {
		const response = await fetch(`http://${this.controlAddress}/control`, {method: 'POST', body: JSON.stringify(body)});
		expect(response.status).toBe(200);
	}

	async dump(): Promise<{tables: Record<string, unknown[]>; log: unknown[]}> {
		const response = await fetch(`http://${this.controlAddress}/dump`);
		return await response.json() as {tables: Record<string, unknown[]>; log: unknown[]};
	}

	async insert(...keys: readonly number[]): Promise<void> {
		for (const key of keys) {
			await this.client.query(`INSERT INTO t (id) VALUES (${key})`);
		}
	}

	async keys(): Promise<string[]> {
		const {rows} = await this.client.query<{id: string}>('SELECT id FROM t');
		return rows.map(({id}) => id);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.instance[Symbol.asyncDispose]();
	}
}

async function waitFor(condition: () => Promise<boolean>): Promise<void> {
	const limit = timerService.now() + 5000;
	while (!await condition()) {
		expect(timerService.now()).toBeLessThan(limit);
		await timerService.sleep(5);
	}
}

async function waitForIndex(member: Member, index: number): Promise<void> {
	await waitFor(async () => {
		const status = await member.status();
		return status.log_index === String(index);
	});
}

async function getCode(query: Promise<unknown>): Promise<string | undefined> {
	try {
		await query;
		return undefined;
	} catch (error: unknown) {
		return (error as {code?: string}).code;
	}
}

/** Starts a primary with term 1 and two replicas. */
async function startGroup(): Promise<[Member, Member, Member]> {
	const [a, b, c] = await Promise.all([Member.start('a'), Member.start('b'), Member.start('c')]);
	for (const member of [a, b, c]) {
		await member.call('tarragon_raise(1, \'p\')');
	}

	await a.call('tarragon_promote(1, \'p\')');
	await b.call(`tarragon_follow('${a.database}', 1)`);
	await c.call(`tarragon_follow('${a.database}', 1)`);
	return [a, b, c];
}

describe('terms', () => {
	it.each([
		{guards: 'a raise to a greater term', call: 'tarragon_raise(3, \'q\')', accepted: true, term: '3', promoter: 'q', role: 'replica'},
		{guards: 'two promoters that raise the same term', call: 'tarragon_raise(2, \'q\')', accepted: false, term: '2', promoter: 'p', role: 'replica'},
		{guards: 'a term that decreases', call: 'tarragon_raise(1, \'q\')', accepted: false, term: '2', promoter: 'p', role: 'replica'},
		{guards: 'a promotion by the promoter of the term', call: 'tarragon_promote(2, \'p\')', accepted: true, term: '2', promoter: 'p', role: 'primary'},
		{guards: 'a promotion by another promoter', call: 'tarragon_promote(2, \'q\')', accepted: false, term: '2', promoter: 'p', role: 'replica'},
		{guards: 'a promotion for an older term', call: 'tarragon_promote(1, \'p\')', accepted: false, term: '2', promoter: 'p', role: 'replica'},
		{guards: 'a promotion for a term that was not raised', call: 'tarragon_promote(3, \'p\')', accepted: false, term: '2', promoter: 'p', role: 'replica'},
		{guards: 'an attempt to follow a primary with an older term', call: 'tarragon_follow(\'127.0.0.1:1\', 1)', accepted: false, term: '2', promoter: 'p', role: 'replica'},
	])('handles $guards', async ({call, accepted, term, promoter, role}) => {
		const member = await Member.start('a');
		await member.call('tarragon_raise(2, \'p\')');
		const reply = await member.call(call);
		expect(reply.accepted).toBe(accepted);
		expect(reply).toMatchObject({term, promoter, role});
	});

	it('rejects writes and open transactions on a demoted primary with 25006', async () => {
		const [a] = await startGroup();
		const other = await a.connect();
		await other.query('BEGIN; INSERT INTO t (id) VALUES (1)');
		await a.call('tarragon_raise(2, \'q\')');
		expect(await getCode(other.query('COMMIT'))).toBe('25006');
		expect(await getCode(a.insert(2))).toBe('25006');
		expect(await a.keys()).toEqual([]);
		await other.end();
	});

	it('rejects the commit of a transaction from an older term even if the same instance is promoted again', async () => {
		const [a] = await startGroup();
		const other = await a.connect();
		await other.query('BEGIN; INSERT INTO t (id) VALUES (1)');
		await a.call('tarragon_raise(2, \'q\')');
		await a.call('tarragon_promote(2, \'q\')');
		expect(await getCode(other.query('COMMIT'))).toBe('25006');
		await a.insert(2);
		await other.end();
	});

	it('rejects writes on a replica with 25006', async () => {
		const [, b] = await startGroup();
		expect(await getCode(b.insert(1))).toBe('25006');
	});

	it('keeps the log index equal to the number of transactions that wrote, across a promotion as well', async () => {
		const [a, b] = await startGroup();
		await a.insert(1, 2);
		await a.client.query('BEGIN; INSERT INTO t (id) VALUES (3), (4); COMMIT');
		await a.client.query('SELECT 1');
		await a.client.query('BEGIN; SELECT 1; COMMIT');
		await waitForIndex(b, 3);
		await b.call('tarragon_raise(2, \'q\')');
		expect(await b.call('tarragon_promote(2, \'q\')')).toMatchObject({log_term: '2', log_index: '3', term_start_index: '3'});
	});
});

describe('replication', () => {
	it('sends the whole log to a replica that joins late', async () => {
		const [a, b] = await startGroup();
		await a.insert(...Array.from({length: 250}, (_, index) => index));
		await waitForIndex(b, 250);
		const late = await Member.start('late');
		await late.call(`tarragon_follow('${a.database}', 1)`);
		await waitForIndex(late, 250);
		expect(await late.dump()).toEqual(await a.dump());
		expect(await late.status()).toMatchObject({role: 'replica', term: '1', log_term: '1', primary_address: a.database});
	});

	it('sends large rows to a late replica in several messages, because a message has a size limit', async () => {
		const [a] = await startGroup();
		for (let key = 0; key < 12; key++) {
			await a.client.query('INSERT INTO t (id, text) VALUES ($1, $2)', [key, 'x'.repeat(200_000)]);
		}

		const late = await Member.start('late');
		await late.call(`tarragon_follow('${a.database}', 1)`);
		await waitForIndex(late, 12);
		expect(await getCode(a.client.query('INSERT INTO t (id, text) VALUES ($1, $2)', [99, 'x'.repeat(600_000)]))).toBe('54000');
	});

	it('applies writes on a replica only after the configured lag', async () => {
		const [a, b] = await startGroup();
		await b.control({lagMilliseconds: 200});
		await a.insert(1);
		const before = timerService.now();
		expect(await b.keys()).toEqual([]);
		await waitForIndex(b, 1);
		expect(timerService.now() - before).toBeGreaterThanOrEqual(150);
	});

	it('discards entries of an older term after a raise, including those that the lag delays', async () => {
		const [a, b] = await startGroup();
		await b.control({lagMilliseconds: 100});
		await a.insert(1);
		await b.call('tarragon_raise(2, \'q\')');
		await a.insert(2);
		await timerService.sleep(250);
		expect(await b.status()).toMatchObject({term: '2', log_index: '0', primary_address: ''});
	});

	it('measures the silence of the primary from its last message, including keep-alives', async () => {
		const [a, b] = await startGroup();
		await timerService.sleep(200);
		const before = await b.status();
		expect(Number(before.primary_silence_ms)).toBeLessThan(150);
		await a[Symbol.asyncDispose]();
		await timerService.sleep(300);
		const after = await b.status();
		expect(Number(after.primary_silence_ms)).toBeGreaterThanOrEqual(299);
	});

	it.each([
		{guards: 'truncated entries that remain in the tables', keep: false},
		{guards: 'a diverged log that is shorter than the log of the new primary', keep: true},
	])('truncates a diverged log and reports the number of removed entries: $guards', async ({keep}) => {
		const [a, b, c] = await startGroup();
		await a.insert(1, 2);
		await waitForIndex(b, 2);
		await waitForIndex(c, 2);
		// The new primary does not receive entries 3 to 5.
		await b.call('tarragon_raise(2, \'q\')');
		await c.call('tarragon_raise(2, \'q\')');
		await a.insert(3, 4, 5);
		await b.call('tarragon_promote(2, \'q\')');
		const later = keep ? [6, 7, 8, 9] : [6];
		await b.insert(...later);
		await c.call(`tarragon_follow('${b.database}', 2)`);
		expect(await a.call(`tarragon_follow('${b.database}', 2)`)).toMatchObject({accepted: true, truncated: '3', role: 'replica', term: '2'});
		await waitForIndex(a, 2 + later.length);
		await waitForIndex(c, 2 + later.length);
		const expected = await b.dump();
		expect(await a.dump()).toEqual(expected);
		expect(await c.dump()).toEqual(expected);
	});

	it.each([
		{guards: 'a primary that ignores a newer term', ignores: false, role: 'replica', term: '3'},
		{guards: 'a test that needs a primary that a newer term does not demote', ignores: true, role: 'primary', term: '1'},
	])('handles a replica with a newer term: $guards', async ({ignores, role, term}) => {
		const [a] = await startGroup();
		await a.control({ignoreReplicationLoss: ignores});
		const newer = await Member.start('newer');
		await newer.call('tarragon_raise(3, \'q\')');
		await newer.call(`tarragon_follow('${a.database}', 3)`);
		await timerService.sleep(100);
		expect(await a.status()).toMatchObject({role, term});
	});
});

describe('journal', () => {
	it('preserves the log, truncations and the term across a restart, so that a majority does not forget a promotion', async () => {
		const directory = await mkdtemp(path.join(os.tmpdir(), 'journal-'));
		resources.push({
			async [Symbol.asyncDispose]() {
				await rm(directory, {recursive: true});
			},
		});
		const journalFile = path.join(directory, 'a.journal');
		const a = await Member.start('a', {journalFile});
		const b = await Member.start('b');
		for (const member of [a, b]) {
			await member.call('tarragon_raise(1, \'p\')');
		}

		await a.call('tarragon_promote(1, \'p\')');
		await a.insert(1, 2);
		await b.call('tarragon_raise(2, \'q\')');
		await b.call('tarragon_promote(2, \'q\')');
		await b.insert(3);
		expect(await a.call(`tarragon_follow('${b.database}', 2)`)).toMatchObject({truncated: '2'});
		await waitForIndex(a, 1);
		const expected = await a.dump();
		await a[Symbol.asyncDispose]();

		const restarted = await Member.start('a', {journalFile});
		expect(await restarted.dump()).toEqual(expected);
		expect(await restarted.status()).toMatchObject({role: 'replica', term: '2', log_term: '2', log_index: '1'});
	});
});
