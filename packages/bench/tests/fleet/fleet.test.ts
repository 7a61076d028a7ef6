import {fileURLToPath} from 'node:url';
import pg from 'pg';
import {describe, expect, it} from 'vitest';
import {SystemTimerService} from '@tarragonstack/core';
import {deployments, DeploymentName, Fleet, loadContracts} from '../../src/index.js';

const timerService = new SystemTimerService();
const examples = fileURLToPath(new URL('../../../../examples', import.meta.url));

async function startFleet(name: DeploymentName, startHosts: boolean): Promise<Fleet> {
	return Fleet.start({deployment: deployments[name], contracts: await loadContracts(`${examples}/${name}`), startHosts});
}

function exists(pid: number): boolean {
	try {
		process.kill(pid, 0);
		return true;
	} catch {
		return false;
	}
}

async function connect(address: string): Promise<pg.Client> {
	const [host, port] = address.split(':');
	const client = new pg.Client({
		host: host!, port: Number(port), user: 'tarragon', password: 'upstream-of-the-fleet', database: 'tarragon',
	});
	client.on('error', () => {});
	await client.connect();
	return client;
}

async function waitFor(condition: () => Promise<boolean>): Promise<void> {
	const limit = timerService.now() + 5000;
	while (!await condition()) {
		expect(timerService.now()).toBeLessThan(limit);
		await timerService.sleep(10);
	}
}

describe('Fleet without hosts', () => {
	it('forms groups whose replicas receive writes through the relay, and leaves no process behind', async () => {
		const pids: number[] = [];
		{
			await using fleet = await startFleet(DeploymentName.Ronquido, false);
			pids.push(...fleet.readyLines.map(({pid}) => pid));
			expect(pids).toHaveLength(12);
			for (const group of fleet.deployment.groups) {
				const primary = await fleet.getPrimary(group);
				const client = await connect(primary!.relayAddress);
				await client.query('INSERT INTO t (id, a) VALUES (1, 2)');
				await client.end();
				for (const {name} of fleet.instances.filter(instance => instance.group === group)) {
					await waitFor(async () => {
						const {tables} = await fleet.dumpInstance(name);
						return JSON.stringify(tables) === '{"t":[{"id":"1","a":"2"}]}';
					});
				}
			}
		}

		expect(pids.filter(pid => exists(pid))).toEqual([]);
	});

	it('keeps the log and the term of an instance that is killed and started again', async () => {
		await using fleet = await startFleet(DeploymentName.Edredon, false);
		const primary = await fleet.getPrimary('lavado-db-1');
		const client = await connect(primary!.relayAddress);
		await client.query('INSERT INTO t (id, a) VALUES (1, 2)');
		await fleet.kill(primary!.name);
		await fleet.restart(primary!.name);
		const status = await fleet.getInstanceStatus(primary!.name);
		expect(status).toMatchObject({role: 'replica', term: 1, position: {term: 1, index: 1}});
	});
});
