import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import pg from 'pg';
import {describe, expect, it} from 'vitest';
import {SystemTimerService} from '@tarragonstack/core';
import {deployments, DeploymentName, Fleet, loadContracts, ManagedProcess} from '../../src/index.js';

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
	const deadline = timerService.now() + 5000;
	while (!await condition()) {
		expect(timerService.now()).toBeLessThan(deadline);
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

describe('Fleet with hosts', () => {
	it('serves callers at every host through the relay, also after a primary is killed', async () => {
		await using fleet = await Fleet.start({
			deployment: deployments[DeploymentName.Edredon], contracts: await loadContracts(`${examples}/edredon`), clientDelayMilliseconds: 1,
		});
		expect(fleet.hosts).toHaveLength(6);
		const clients = await Promise.all(fleet.hosts.map(async ({name}) => {
			const client = new pg.Client({connectionString: fleet.getConnectionString(name)});
			client.on('error', () => {});
			await client.connect();
			return client;
		}));
		for (const [index, client] of clients.entries()) {
			await client.query(`INSERT INTO t (id) VALUES (${index})`);
		}

		const primary = await fleet.getPrimary('lavado-db-1');
		await fleet.kill(primary!.name);
		await waitFor(async () => {
			const next = await fleet.getPrimary('lavado-db-1');
			return next !== undefined && next.name !== primary!.name;
		});
		await fleet.restart(primary!.name);
		await fleet.kill('host-1');
		await fleet.restart('host-1');
		await clients[1]!.query('SELECT id FROM t WHERE id = 1');
		await Promise.all(clients.map(async client => client.end().catch(() => {})));
	});
});

describe('faults', () => {
	it('partitions a zone from the others and heals the partition', async () => {
		await using fleet = await startFleet(DeploymentName.Ronquido, false);
		const group = 'subs-core-1';
		const primary = await fleet.getPrimary(group);
		const client = await connect(primary!.directAddress);
		const getIndexes = async () => Promise.all(fleet.instances.filter(instance => instance.group === group).map(async ({name}) => {
			const {position} = await fleet.getInstanceStatus(name);
			return (position as {index: number}).index;
		}));
		{
			await using _partition = await fleet.network.partitionZone(primary!.availabilityZone);
			await client.query('INSERT INTO t (id) VALUES (1)');
			await timerService.sleep(200);
			const indexes = await getIndexes();
			expect(indexes.toSorted((left, right) => left - right)).toEqual([0, 0, 1]);
		}

		await waitFor(async () => {
			const indexes = await getIndexes();
			return indexes.every(index => index === 1);
		});
		await client.end();
	});

	it('pauses and resumes a process', async () => {
		await using fleet = await startFleet(DeploymentName.Edredon, false);
		const {name} = fleet.instances[0]!;
		fleet.pause(name);
		const status = fleet.getInstanceStatus(name);
		const outcome = await Promise.race([status, timerService.sleep(200).then(() => 'silent')]);
		expect(outcome).toBe('silent');
		fleet.resume(name);
		expect(await status).toMatchObject({name});
	});

	it('includes the standard error stream in the error of a process that cannot start', async () => {
		const broken = new ManagedProcess('broken', '/nonexistent/main.js', []);
		await expect(broken.start()).rejects.toThrow('Cannot find module');
		expect(broken.isRunning).toBe(false);
	});
});

describe('processes of a parent that exits', () => {
	it.each([
		{guards: 'a parent that is killed', signal: 'SIGKILL'},
		{guards: 'a parent that is interrupted', signal: 'SIGINT'},
	] as const)('end with it: $guards', async ({signal}) => {
		const demo = fileURLToPath(new URL('../../dist/demo/main.js', import.meta.url));
		const parent = spawn(process.execPath, [demo, '--hold', '--deployment', 'edredon'], {stdio: ['ignore', 'pipe', 'inherit']});
		const [line] = await once(createInterface({input: parent.stdout}), 'line') as [string];
		const {processes} = JSON.parse(line) as {processes: Array<{role: string; pid: number; connectionString?: string}>};
		expect(processes).toHaveLength(18);
		expect(processes.filter(({role, connectionString}) => role === 'host' && connectionString !== undefined)).toHaveLength(6);
		const exit = once(parent, 'exit');
		parent.kill(signal);
		await exit;
		await waitFor(async () => processes.every(({pid}) => !exists(pid)));
	});
});
