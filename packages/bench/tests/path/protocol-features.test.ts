import {fileURLToPath} from 'node:url';
import {SystemTimerService} from '@tarragonstack/core';
import {Client, type DatabaseError} from 'pg';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {DeploymentName, deployments, Fleet, loadContracts} from '../../src/fleet/index.js';

const duplicateInsert = 'INSERT INTO items (id, text) VALUES (\'i1\', \'again\')';
const timerService = new SystemTimerService();
const deployment = {...deployments[DeploymentName.Ronquido], groups: ['subs-core-1'], hostCount: 2};

/** Members of the driver's internal connection that send a cancel request. */
type DriverConnection = {
	connect(port: number, host: string): void;
	cancel(processIdentifier: number, secretKey: number): void;
	on(event: string, listener: () => void): void;
};

describe('an unmodified pg client through two hosts', () => {
	let fleet: Fleet;

	beforeAll(async () => {
		const contracts = await loadContracts(fileURLToPath(new URL('../../../../examples/ronquido', import.meta.url)));
		fleet = await Fleet.start({deployment, contracts: contracts.map(contract => ({...contract, groups: deployment.groups}))});
		const client = await connect('host-1');
		for (let index = 0; index < 300; index++) {
			await client.query('INSERT INTO items (id, text) VALUES ($1, $2)', [`i${index}`, 'x'.repeat(2000)]);
		}

		await client.end();
	});

	afterAll(async () => {
		await fleet[Symbol.asyncDispose]();
	});

	async function connect(host: string, options = ''): Promise<Client> {
		const client = new Client({connectionString: fleet.getConnectionString(host), options});
		await client.connect();
		return client;
	}

	async function getSqlState(promise: Promise<unknown>): Promise<string | undefined> {
		try {
			await promise;
			return undefined;
		} catch (error) {
			return (error as DatabaseError).code;
		}
	}

	// Only one of the two hosts owns the primary, so each case also runs through a host that forwards over a peer link.
	describe.each(['host-1', 'host-2'])('through %s', host => {
		it.each([
			{guardsAgainst: 'lost rows of a simple query', run: async (client: Client) => (await client.query('SELECT id FROM items WHERE id = \'i1\'')).rows.length, expected: 1},
			{guardsAgainst: 'lost parameters', run: async (client: Client) => (await client.query('SELECT id FROM items WHERE id = $1', ['i2'])).rows.length, expected: 1},
			{
				guardsAgainst: 'a named statement that is unknown to another pooled connection',
				async run(client: Client) {
					const counts: number[] = [];
					for (let index = 0; index < 20; index++) {
						const {rows} = await client.query({name: 'by-id', text: 'SELECT id FROM items WHERE id = $1', values: [`i${index}`]});
						counts.push(rows.length);
					}

					return counts.every(count => count === 1);
				},
				expected: true,
			},
			{guardsAgainst: 'a large result that is truncated', run: async (client: Client) => (await client.query('SELECT * FROM items')).rows.length, expected: 300},
			{guardsAgainst: 'COPY that hangs', run: async (client: Client) => getSqlState(client.query('COPY items FROM STDIN')), expected: '0A000'},
			{guardsAgainst: 'a database error that is altered', run: async (client: Client) => getSqlState(client.query(duplicateInsert)), expected: '23505'},
			{
				guardsAgainst: 'a connection that is unusable after an error',
				async run(client: Client) {
					await getSqlState(client.query(duplicateInsert));
					return (await client.query('SELECT id FROM items WHERE id = \'i1\'')).rows.length;
				},
				expected: 1,
			},
			{
				guardsAgainst: 'a transaction whose statements run on different connections',
				async run(client: Client) {
					await client.query('BEGIN');
					await client.query(`UPDATE items SET text = '${host}' WHERE id = 'i5'`);
					const result = await client.query('SELECT text FROM items WHERE id = \'i5\'');
					await client.query('COMMIT');
					return (result.rows as Array<{text: string}>)[0]?.text;
				},
				expected: host,
			},
			{
				guardsAgainst: 'a failed transaction that continues',
				async run(client: Client) {
					await client.query('BEGIN');
					await getSqlState(client.query(duplicateInsert));
					const state = await getSqlState(client.query('SELECT id FROM items WHERE id = \'i1\''));
					await client.query('ROLLBACK');
					return state;
				},
				expected: '25P02',
			},
		])('guards against $guardsAgainst', async ({run, expected}) => {
			const client = await connect(host);
			expect(await run(client)).toBe(expected);
			await client.end();
		});

		it('cancels the running statement only', async () => {
			const client = await connect(host);
			const cancelClient = new Client({connectionString: fleet.getConnectionString(host)});
			const sqlState = getSqlState(client.query('SELECT pg_sleep(2)'));
			// The statement must have reached the instance before it is canceled.
			await timerService.sleep(300);
			const [address, port] = fleet.getHostOrThrow(host).callerAddress.split(':');
			const {processID, secretKey} = client as unknown as {processID: number; secretKey: number};
			const {connection} = cancelClient as unknown as {connection: DriverConnection};
			connection.on('connect', () => {
				connection.cancel(processID, secretKey);
			});
			connection.on('error', () => {});
			connection.connect(Number(port), address!);
			expect(await sqlState).toBe('57014');
			expect((await client.query('SELECT id FROM items WHERE id = \'i1\'')).rows).toHaveLength(1);
			await client.end();
		});
	});

	it('rejects a wrong password with SQLSTATE 28P01', async () => {
		const url = new URL(fleet.getConnectionString('host-1'));
		url.password = 'wrong';
		expect(await getSqlState(new Client({connectionString: url.href}).connect())).toBe('28P01');
	});
});
