#!/usr/bin/env node
import process from 'node:process';
import {
	binary, command, flag, number, option, optional, run, string, subcommands,
} from 'cmd-ts';
import {DatabaseInstance} from './instance/index.js';
import {KeyValueServer} from './key-value/index.js';
import {MembershipServer} from './membership/index.js';
import {announceReady, stopOnSignal} from './process/index.js';
import {Relay} from './relay/index.js';

const address = option({
	long: 'address', type: string, defaultValue: () => '127.0.0.1', description: 'IP address to listen on',
});
const createNameOption = (defaultName: string) => option({
	long: 'name', type: string, defaultValue: () => defaultName, description: 'process name to print in the ready line',
});
const createIntegerOption = (long: string, defaultNumber: number, description: string) => option({
	long, type: number, defaultValue: () => defaultNumber, description,
});

const instance = command({
	name: 'instance',
	description: 'database instance that speaks the PostgreSQL protocol',
	args: {
		name: createNameOption('instance'),
		address,
		port: createIntegerOption('port', 0, 'database port; 0 selects a free port'),
		controlPort: createIntegerOption('control-port', 0, 'port of the HTTP control API; 0 selects a free port'),
		password: option({long: 'password', type: optional(string), description: 'password of all users; if omitted, no password is required'}),
		slots: createIntegerOption('slots', 3, 'maximum number of statements that execute concurrently'),
		connectionLimit: createIntegerOption('connection-limit', 20, 'maximum number of connections; further ones are refused with 53300'),
		connectMilliseconds: createIntegerOption('connect-milliseconds', 10, 'time to open a connection'),
		serviceMilliseconds: createIntegerOption('service-milliseconds', 1, 'service time of statements without a service_ms comment'),
		exponentialService: flag({long: 'exponential-service', description: 'draw service times from an exponential distribution'}),
		seed: createIntegerOption('seed', 1, 'seed of the service time generator'),
		lagMilliseconds: createIntegerOption('lag-milliseconds', 0, 'replication lag'),
		lockWaitMilliseconds: createIntegerOption('lock-wait-milliseconds', 5000, 'maximum time to wait for a row lock'),
		journalFile: option({long: 'journal-file', type: optional(string), description: 'file that preserves the log across restarts'}),
	},
	async handler({password, journalFile, ...options}) {
		const server = new DatabaseInstance({...options, ...(password !== undefined && {password}), ...(journalFile !== undefined && {journalFile})});
		const addresses = await server.listen();
		stopOnSignal(server);
		announceReady({role: 'instance', name: options.name, addresses});
	},
});

const keyValue = command({
	name: 'key-value',
	description: 'key-value service with the etcd JSON API',
	args: {
		name: createNameOption('key-value'),
		address,
		port: createIntegerOption('port', 0, 'port; 0 lets the system choose'),
		readsPerSecond: createIntegerOption('reads-per-second', 2000, 'maximum rate of reads; further ones are refused'),
		writesPerSecond: createIntegerOption('writes-per-second', 300, 'maximum rate of writes; further ones are refused'),
	},
	async handler(options) {
		const server = new KeyValueServer(options);
		const http = await server.listen();
		stopOnSignal(server);
		announceReady({role: 'key-value', name: options.name, addresses: {http}});
	},
});

const membership = command({
	name: 'membership',
	description: 'membership list with the Consul health API',
	args: {
		name: createNameOption('membership'),
		address,
		port: createIntegerOption('port', 0, 'port; 0 lets the system choose'),
		lagMilliseconds: createIntegerOption('lag-milliseconds', 0, 'delay until a change becomes visible'),
	},
	async handler(options) {
		const server = new MembershipServer(options);
		const http = await server.listen();
		stopOnSignal(server);
		announceReady({role: 'membership', name: options.name, addresses: {http}});
	},
});

const relay = command({
	name: 'relay',
	description: 'network relay that injects faults',
	args: {
		name: createNameOption('relay'),
		address,
		port: createIntegerOption('port', 0, 'port of the HTTP control API; 0 selects a free port'),
	},
	async handler(options) {
		const server = new Relay(options);
		const control = await server.listen();
		stopOnSignal(server);
		announceReady({role: 'relay', name: options.name, addresses: {control}});
	},
});

await run(binary(subcommands({
	name: 'stand-ins',
	description: 'Test servers that stand in for the external systems of the product',
	cmds: {
		instance, 'key-value': keyValue, membership, relay,
	},
})), process.argv);
