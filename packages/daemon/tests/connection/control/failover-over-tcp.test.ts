import process from 'node:process';
import {SystemTimerService} from '@tarragonstack/core';
import {describe, expect, it} from 'vitest';
import {
	InstanceControlDirectory, InstanceRole, type InstanceStatus, PostgresInstanceControl,
} from '../../../src/index.js';
import {SimulatedGroup, type SimulatedInstance} from '../../request/failover/simulated-group.js';
import {createGroupDefinition, SimulatedHost} from '../../request/failover/simulated-host.js';
import {FakeControlServer, createRowResponse} from './fake-control-server.js';

const groupName = 'group-1';

function createRow(status: InstanceStatus): Record<string, string> {
	return {
		instance: status.instance,
		role: status.role,
		term: String(status.term),
		promoter: status.promoter,
		log_term: String(status.position.term),
		log_index: String(status.position.index),
		term_start_index: String(status.termStartIndex),
		primary_silence_ms: String(Math.round(status.primarySilenceMilliseconds)),
		primary_address: status.primaryAddress,
		slots: String(status.slots),
		connection_limit: String(status.connectionLimit),
	};
}

/** Executes a control statement on a simulated instance and returns the row of the response. */
function execute(group: SimulatedGroup, instance: SimulatedInstance, query: string, now: number): Record<string, string> {
	const change = /^SELECT \* FROM tarragon_(?<operation>raise|promote)\((?<term>\d+), '(?<promoter>[^']+)'\)$/v.exec(query)?.groups;
	const follow = /^SELECT \* FROM tarragon_follow\('(?<address>[^']+)', (?<term>\d+)\)$/v.exec(query)?.groups;
	let columns: Record<string, string> = {};
	if (change) {
		const {operation, term, promoter} = change;
		const accepted = operation === 'raise'
			? group.raise(instance, Number(term), promoter ?? '')
			: group.promote(instance, Number(term), promoter ?? '');
		columns = {accepted: accepted ? 't' : 'f'};
	} else if (follow) {
		const {accepted, truncated} = group.follow(instance, follow.address ?? '', Number(follow.term));
		columns = {accepted: accepted ? 't' : 'f', truncated: String(truncated)};
	}

	return {...columns, ...createRow(instance.getStatus(now, now))};
}

class TcpGroup implements AsyncDisposable {
	static async create(members: number): Promise<TcpGroup> {
		const servers = await Promise.all(Array.from({length: members}, async () => new FakeControlServer().listen()));
		const created = new TcpGroup(servers);
		created.#start();
		return created;
	}

	readonly timerService = new SystemTimerService();
	readonly definition;
	readonly group;
	readonly hosts: SimulatedHost[] = [];
	readonly #servers: readonly FakeControlServer[];
	#replication: Disposable | undefined;

	private constructor(servers: readonly FakeControlServer[]) {
		this.#servers = servers;
		const definition = createGroupDefinition(servers.length);
		this.definition = {
			...definition,
			instances: definition.instances.map((instance, index) =>
				({...instance, address: `127.0.0.1:${servers[index]?.getPort() ?? 0}`})),
		};
		this.group = new SimulatedGroup(this.definition, this.timerService);
	}

	/** Kills the process of an instance, which resets its connections and refuses further ones. */
	async kill(name: string): Promise<void> {
		this.group.getInstance(name).alive = false;
		await this.#servers[this.definition.instances.findIndex(instance => instance.name === name)]?.close();
	}

	/** Waits until a condition holds, but at most for the limit. Returns the elapsed time. */
	async waitFor(condition: () => boolean, limitMilliseconds: number): Promise<number> {
		const start = this.timerService.now();
		while (!condition() && this.timerService.now() - start < limitMilliseconds) {
			await this.timerService.sleep(2);
		}

		return this.timerService.now() - start;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#replication?.[Symbol.dispose]();
		for (const host of this.hosts) {
			await host.stop();
		}

		for (const server of this.#servers) {
			await server.close();
		}
	}

	#start(): void {
		this.group.initialize();
		for (const instance of this.group.instances) {
			instance.lastReceivedAt = this.timerService.now();
		}

		this.#replication = this.timerService.subscribe(10, () => {
			for (const instance of this.group.instances) {
				this.group.replicate(instance, 1000);
			}
		});
		for (const [index, server] of this.#servers.entries()) {
			const instance = this.group.instances[index];
			server.onQuery = (connection, query) => {
				if (instance) {
					connection.socket.write(createRowResponse(execute(this.group, instance, query, this.timerService.now())));
				}
			};
		}

		for (const order of [0, 1]) {
			this.hosts.push(new SimulatedHost({
				name: `host-${order + 1}`,
				order,
				timerService: this.timerService,
				definition: this.definition,
				controls: new InstanceControlDirectory(instance => new PostgresInstanceControl({
					timerService: this.timerService,
					instance,
					localAddress: `127.0.0.${order + 11}`,
					user: 'tarragon',
					password: 'secret',
					database: groupName,
				})),
			}));
		}
	}
}

describe('failover over TCP', () => {
	it('replaces a killed primary within 500 ms (if socket errors were misclassified, it would wait for the timeout)', async () => {
		await using tcp = await TcpGroup.create(3);
		await tcp.waitFor(() => tcp.hosts.every(host => host.monitor.getPrimary(groupName)), 2000);
		await tcp.timerService.sleep(200);
		await tcp.kill('db-1');
		const isReplaced = () => tcp.group.instances.some(instance => instance.alive && instance.role === InstanceRole.Primary);
		const milliseconds = await tcp.waitFor(isReplaced, 5000);
		process.stdout.write(`failover over TCP: new primary after ${Math.round(milliseconds)} ms\n`);
		expect(milliseconds).toBeLessThan(500);
		await tcp.waitFor(() => tcp.hosts.every(host => host.monitor.getPrimary(groupName)?.term === 2), 1000);
		const primary = tcp.hosts[0]?.monitor.getPrimary(groupName);
		expect(primary?.term).toBe(2);
		const confirmed = await tcp.hosts[1]?.confirmation.confirm(groupName, primary?.instance ?? '', {
			expectedTerm: 2, replicated: true, timeoutMilliseconds: 1000,
		});
		expect(confirmed?.isOk()).toBe(true);
	});

	it('confirms the term of the primary for many writes at once', async () => {
		await using tcp = await TcpGroup.create(3);
		await tcp.waitFor(() => tcp.hosts.every(host => host.monitor.getPrimary(groupName)), 2000);
		const [host] = tcp.hosts;
		const start = tcp.timerService.now();
		const results = await Promise.all(Array.from({length: 2000}, async () => host?.confirmation.confirm(groupName, 'db-1', {
			expectedTerm: 1, replicated: true, timeoutMilliseconds: 1000,
		})));
		process.stdout.write(`failover over TCP: 2000 confirmations at once in ${Math.round(tcp.timerService.now() - start)} ms\n`);
		expect(results.every(result => result?.isOk())).toBe(true);
	});

	it('keeps all log entries in a manual switchover', async () => {
		await using tcp = await TcpGroup.create(3);
		await tcp.waitFor(() => tcp.hosts.every(host => host.monitor.getPrimary(groupName)), 2000);
		for (let index = 0; index < 50; index++) {
			tcp.group.write(tcp.group.getInstance('db-1'), `write-${index}`);
		}

		const start = tcp.timerService.now();
		const promoted = await tcp.hosts[0]?.promoter.promoteManually(groupName, 'db-3');
		process.stdout.write(`failover over TCP: planned switchover in ${Math.round(tcp.timerService.now() - start)} ms\n`);
		expect(promoted?._unsafeUnwrap()).toEqual({instance: 'db-3', term: 2});
		expect(tcp.group.getInstance('db-3').log).toHaveLength(50);
	});
});
