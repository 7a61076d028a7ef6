import {fileURLToPath} from 'node:url';
import {Client} from 'pg';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {DeploymentName, deployments, Fleet, loadContracts} from '../../src/fleet/index.js';

const deploymentNames = [DeploymentName.Ronquido, DeploymentName.Edredon];

describe.each(deploymentNames)('client connections to deployment %s', name => {
	let fleet: Fleet;

	beforeAll(async () => {
		fleet = await Fleet.start({
			deployment: deployments[name],
			contracts: await loadContracts(fileURLToPath(new URL(`../../../../examples/${name}`, import.meta.url))),
		});
	});

	afterAll(async () => {
		await fleet?.[Symbol.asyncDispose]();
	});

	async function connect(host: string, options = ''): Promise<Client> {
		const client = new Client({connectionString: fleet.getConnectionString(host), options});
		await client.connect();
		return client;
	}

	it('returns the write of a session at every host, which guards against stale reads when a session moves between hosts', async () => {
		for (let round = 0; round < 10; round++) {
			for (const host of fleet.hosts) {
				const writer = await connect(host.name, '-c tarragon.session=s1');
				await writer.query('INSERT INTO orders (id, state) VALUES ($1, $2)', [`${host.name}-${round}`, 'new']);
				const reader = await connect(fleet.hosts[(fleet.hosts.indexOf(host) + 1 + round) % fleet.hosts.length]!.name, '-c tarragon.session=s1');
				const {rows} = await reader.query('SELECT state FROM orders WHERE id = $1', [`${host.name}-${round}`]);
				expect(rows).toEqual([{state: 'new'}]);
				await Promise.all([writer.end(), reader.end()]);
			}
		}
	});

	it('rolls back a whole transaction, which guards against statements that run on different connections', async () => {
		const client = await connect(fleet.hosts[0]!.name);
		await client.query('BEGIN');
		await client.query('INSERT INTO orders (id, state) VALUES (\'t1\', \'new\')');
		await client.query('ROLLBACK');
		const {rows} = await client.query('SELECT id FROM orders WHERE id = \'t1\'');
		expect(rows).toEqual([]);
		await client.end();
	});

	it('runs a write once if it is sent through two hosts with the same idempotency key', async () => {
		const statement = 'UPDATE counters SET value = value + 1 WHERE id = \'c\' /*idempotency_key=\'k1\'*/';
		const first = await connect(fleet.hosts[0]!.name);
		const second = await connect(fleet.hosts[3]!.name);
		await first.query('INSERT INTO counters (id, value) VALUES (\'c\', 0)');
		const results = [await first.query(statement), await second.query(statement)];
		const {rows} = await second.query('SELECT value FROM counters WHERE id = \'c\'');
		expect(results.map(({rowCount}) => rowCount)).toEqual([1, 1]);
		expect(String((rows as Array<{value: unknown}>)[0]?.value)).toBe('1');
		await Promise.all([first.end(), second.end()]);
	});
});
