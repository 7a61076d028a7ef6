/* eslint-disable @stylistic/indent, camelcase, require-unicode-regexp, unicorn/empty-brace-spaces, unicorn/import-style -- a script of the review, which runs outside of CI */
// Starts hosts with the command of the deploy file, and the stand-ins of a small deployment around them.
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {Group} from './group.mjs';
import {Instance} from './instance.mjs';
import {Store} from './store.mjs';

const root = join(import.meta.dirname, '../..');
const heartbeatMilliseconds = 1200;
/** Second and third octets of the loopback addresses of this run. */
const network = `127.${64 + (process.pid % 100)}.${1 + (Math.floor(process.pid / 100) % 250)}`;

export const sleep = milliseconds => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

const [command, ...commandArguments] = /^run = "(.*)"$/m.exec(readFileSync(join(root, 'deploy/system.toml'), 'utf8'))[1].split(' ');
const temporaryFolder = mkdtempSync(join(tmpdir(), 'review-'));

export async function getFreePort(host) {
	const server = createServer().listen(0, host);
	await once(server, 'listening');
	const {port} = server.address();
	server.close();
	await once(server, 'close');
	return port;
}

/** Renders the settings template. It uses plain placeholders and the `json` filter only. */
function renderSettings(fields) {
	return readFileSync(join(root, 'deploy/settings.json'), 'utf8').replaceAll(/{{([\w.]+)(\|json)?}}/g, (_, path, json) => {
		let value = fields;
		for (const key of path.split('.')) {
			value = value[key];
		}

		return json ? JSON.stringify(value) : String(value);
	});
}

/** One machine of the system. Its process is started again after a short delay when it ends, as the platform does. */
export class Host {
	output = '';
	exits = [];
	/** Results of the health probes, newest last. */
	probes = [];
	#stopped = false;
	#isBootstrap = true;

	constructor(name, ip, zone, graceSeconds) {
		Object.assign(this, {name, ip, zone, graceSeconds, restarts: true});
	}

	async prepare(store) {
		this.store = store;
		const ports = [await getFreePort(this.ip), await getFreePort(this.ip), await getFreePort(this.ip), await getFreePort(this.ip)];
		this.front = `${this.ip}:${ports[0]}`;
		this.ready = `${this.ip}:${ports[1]}`;
		this.internalPorts = ports.slice(2);
		this.settings = join(temporaryFolder, `${this.name}.json`);
	}

	start() {
		writeFileSync(this.settings, renderSettings({
			node_name: this.name, zone: this.zone, ip: this.ip, listen_addrs: {front: this.front, ready: this.ready}, internal_ports: this.internalPorts,
			platform: {address: this.store}, cloud_api: {address: this.store}, bounds: {grace_s: this.graceSeconds, config_apply_ms: 3000},
			limits: {max_fds: 4300, cpu_share: 0.675, cores: 1}, bootstrap: this.#isBootstrap,
		}));
		this.#isBootstrap = false;
		const child = spawn(command, commandArguments, {cwd: root, env: {...process.env, TARRAGONSTACK_BOOT: this.settings}, stdio: ['ignore', 'pipe', 'pipe']});
		this.process = child;
		for (const stream of [child.stdout, child.stderr]) {
			stream.on('data', chunk => {
				this.output += chunk;
			});
		}

		child.on('exit', (code, signal) => {
			this.exits.push({at: Date.now(), code, signal});
			this.onExit?.(code, signal);
			if (!this.#stopped && this.restarts) {
				setTimeout(() => {
					if (!this.#stopped) {
						this.start();
					}
				}, 500);
			}
		});
	}

	signal(name) {
		this.process.kill(name);
	}

	/** Sends the health probe of the platform. */
	probe() {
		return new Promise(resolve => {
			get(`http://${this.ready}/readyz`, {timeout: 900, agent: false}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			}).on('error', () => resolve(false)).on('timeout', function () {
				this.destroy();
			});
		});
	}

	stop() {
		this.#stopped = true;
		if (this.process && this.process.exitCode === null && this.process.signalCode === null) {
			this.process.kill('SIGCONT');
			this.process.kill('SIGKILL');
		}
	}
}

/** A small deployment: hosts, one group of three instances, the store, and the operator's configuration. */
export class Deployment {
	hosts = [];
	instances = [];
	groups = [];
	#timers = [];

	static async start({hosts = 3, groups = 1, graceSeconds = 6, work, record = () => {
}, connectStore = async address => address, connectInstance = async address => address}) {
		const deployment = new Deployment();
		deployment.record = record;
		const store = new Store();
		store.onPromote = ({backend, id, holder, token}) => {
			const status = deployment.groups[Number(backend.split('-').at(-1))].promote(id);
			record({event: 'promote call', id, holder, token, status});
			deployment.onPromote?.(id);
			return status;
		};

		deployment.store = store;
		await store.listen(`${network}.250`);
		for (let group = 0; group < groups; group++) {
			const members = [];
			for (let index = 0; index < 3; index++) {
				const instance = new Instance({service: `lavado-${group}`, id: `i-${group}-${index}`, role: index === 0 ? 'primary' : 'replica', work, record});
				await instance.listen(`${network}.${150 + (10 * group) + index}`);
				instance.publicAddress = await connectInstance(instance.address, instance.id);
				members.push(instance);
			}

			deployment.groups.push(new Group(members, record));
			deployment.instances.push(...members);
			for (const instance of members) {
				deployment.#report(instance, Date.now());
			}
		}

		store.put('op/config', deployment.createConfiguration(7));
		for (let index = 0; index < hosts; index++) {
			const host = new Host(`front-${index}`, `${network}.${1 + index}`, `zone-${index % 3}`, graceSeconds);
			await host.prepare(await connectStore(store.address));
			deployment.hosts.push(host);
			host.start();
			deployment.#probeRegularly(host);
		}

		return deployment;
	}

	/** @param databases - Further databases, with the group of each; their routes need the primary. */
	createConfiguration(version, databases = {}) {
		const types = {booking: ['primary', 800, 100], lookup: ['bounded_staleness', 1500, 800], stage: ['read_your_writes', 800, 200]};
		return {
			config_version: version,
			routes: [...Object.entries(types), ...Object.keys(databases).map(database => [database, types.booking])].map(([database, [type, timeout, target]], priority) => ({
				name: `r-${database}`, database, path_prefix: '/', type, timeout_ms: timeout, target_latency_ms: target, priority: Math.min(priority, 2),
				backend: `lavado-${databases[database] ?? 0}`, max_attempts: 2, ...(type !== 'primary' && {max_staleness_ms: type === 'bounded_staleness' ? 1500 : 2500}),
			})),
			services: this.groups.map((_, group) => ({
				name: `lavado-${group}`, health_path: '/healthz', max_conns: 30, protocol: 'h1', tls: false, sync_replicas: 0,
			})),
			limits: {max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3000, idle_timeout_ms: 15_000, tx_idle_ms: 3000},
		};
	}

	/** Waits until every host is ready. */
	async waitUntilReady(milliseconds = 20_000) {
		const deadline = Date.now() + milliseconds;
		for (const host of this.hosts) {
			while (!(await host.probe())) {
				if (Date.now() > deadline) {
					throw new Error(`${host.name} is not ready`);
				}

				await sleep(50);
			}
		}
	}

	/** Ends an instance for good. Its entry is removed after three intervals of silence. */
	loseInstance(instance) {
		clearInterval(instance.reports);
		instance.isGone = true;
		instance.close();
		setTimeout(() => {
			this.store.remove(`servers/${instance.id}`);
		}, 3 * heartbeatMilliseconds).unref();
	}

	stop() {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		for (const host of this.hosts) {
			host.stop();
		}

		for (const instance of this.instances) {
			instance.close();
		}

		this.store.close();
		rmSync(temporaryFolder, {recursive: true, force: true});
	}

	/** Writes the entry of an instance now and at each interval of its liveness reports. */
	#report(instance, born) {
		let seq = 0;
		const write = () => {
			this.store.put(`servers/${instance.id}`, {
				backend: instance.service, address: instance.publicAddress, zone: 'zone-0', config_version: 'v1', slots: instance.slots, state: 'ready',
				cold_remaining_ms: 0, seq: ++seq, born, db_role: instance.role,
			});
		};

		write();
		instance.reports = setInterval(write, heartbeatMilliseconds);
		this.#timers.push(instance.reports);
	}

	#probeRegularly(host) {
		this.#timers.push(setInterval(async () => {
			host.probes.push(await host.probe());
		}, 1000));
	}
}
