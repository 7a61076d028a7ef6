/* eslint camelcase: off, complexity: off, no-void: off, unicorn/prefer-switch: off -- names of the pages, and one handler for each message of the wire */
import {randomBytes} from 'node:crypto';
import {appendFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Client, Host, isBuilt} from './hosts.mjs';
import {Group} from './instances.mjs';
import {now, PromotionApi, Store} from './store.mjs';

const readyMilliseconds = 12_000;

/**
 * Small deployment like `sites/edredon-counter.toml`: three zones with 3, 2 and 2 hosts, three services with three instances each,
 * one in each zone, and clients that read and write all the time.
 */
export class Deployment {
	hosts = [];
	groups = [];
	/** Answers that clients got: `{id, text, answer, sentAt, at, host, group}`. */
	operations = [];
	#recordPath;
	#startedAt = now();
	#isLoading = true;
	#loads = [];

	constructor(recordPath) {
		this.#recordPath = recordPath;
		writeFileSync(recordPath, '');
		this.record = (kind, fields) => {
			appendFileSync(this.#recordPath, `${((now() - this.#startedAt) / 1000).toFixed(3)} ${kind} ${JSON.stringify(fields)}\n`);
		};
	}

	/** Seconds since the start of the script. */
	get seconds() {
		return (now() - this.#startedAt) / 1000;
	}

	/**
	 * Starts stand-ins and hosts, and waits until all hosts are ready and serve writes.
	 *
	 * @param options - Zones with their numbers of hosts, zone of each group's primary, and a listener for log events of the hosts.
	 */
	async start({zones, primaryZones, onEvent}) {
		if (!isBuilt()) {
			throw new Error('the program of the deploy file has not been built');
		}

		this.store = new Store(this.record);
		this.promotions = new PromotionApi(this.record, (name, id) => this.groups.find(group => group.name === name)?.promote(id) ?? false);
		const promotions = await this.promotions.listen();
		for (const [index, zone] of primaryZones.entries()) {
			const group = new Group({name: `group${String.fromCodePoint(97 + index)}`, store: this.store, record: this.record});
			this.groups.push(group);
			await group.start(Object.keys(zones), zone);
		}

		this.store.put('op/config', {
			config_version: 7,
			routes: this.groups.map(({name}) => ({database: `db-${name}`, backend: name, type: 'primary', timeout_ms: 800, target_latency_ms: 100, priority: 0, max_staleness_ms: 0})),
			services: this.groups.map(({name}) => ({name, max_conns: 30, sync_replicas: 0})),
			limits: {tx_idle_ms: 5000},
		});
		const network = 10 + (randomBytes(1)[0] % 200);
		let number = 1;
		for (const [zone, count] of Object.entries(zones)) {
			for (let index = 1; index <= count; index++) {
				const name = `front-${zone}-${index}`;
				const host = new Host({name, zone, address: `127.${network}.${number}.1`, store: await this.store.listenFor(name), promotions, onEvent});
				number++;
				this.hosts.push(host);
			}
		}

		await Promise.all(this.hosts.map(async host => host.start(true)));
		const until = now() + readyMilliseconds;
		while (!(await this.#isReady())) {
			if (now() > until) {
				throw new Error('the hosts did not become ready');
			}

			await sleep(100);
		}
	}

	async #isReady() {
		const ready = await Promise.all(this.hosts.map(async host => host.readReady()));
		return ready.every(Boolean) && this.store.read(/^fleet\/.*\/group\//v).length === this.groups.length;
	}

	findHost(name) {
		return this.hosts.find(host => host.name === name);
	}

	/** Starts clients of each host for each group, which read and write in turn. */
	startLoad(pauseMilliseconds = 60) {
		for (const host of this.hosts) {
			for (const group of this.groups) {
				this.#loads.push(this.#load(host, group, pauseMilliseconds));
			}
		}
	}

	async stopLoad() {
		this.#isLoading = false;
		await Promise.all(this.#loads);
	}

	async #load(host, group, pauseMilliseconds) {
		let client;
		for (let turn = 0; this.#isLoading; turn++) {
			if (!client || client.isClosed) {
				client = new Client(host.front);
				if (!(await client.open(`db-${group.name}`))) {
					client.close();
					client = undefined;
					await sleep(200);
					continue;
				}
			}

			const id = randomBytes(8).toString('hex');
			const text = turn % 2 === 0 ? `WRITE item${turn % 7} ${id}` : `READ item${turn % 7}`;
			const sentAt = now();
			const answer = await client.query(id, text, 1500);
			this.operations.push({id, text, answer, sentAt, at: now(), host: host.name, group: group.name});
			this.record('operation', {host: host.name, group: group.name, id, text, answer: answer ?? 'none', milliseconds: Math.round(now() - sentAt)});
			if (!answer) {
				client.close();
				client = undefined;
			}

			await sleep(pauseMilliseconds);
		}

		client?.close();
	}

	async close() {
		this.#isLoading = false;
		await Promise.all(this.hosts.map(async host => host.close()));
		for (const group of this.groups) {
			group.close();
		}

		this.promotions?.close();
		this.store?.close();
	}
}

/** Whether the script brings the disruption about. */
export const hasTrouble = process.env.TROUBLE !== '0';

/**
 * Runs a script: `run` returns whether the rule was broken, as a text, or `undefined`. Exits with 1 if it was, 0 if it was not, and 2 if
 * the case could not run.
 */
export async function runCase(recordPath, run) {
	const deployment = new Deployment(recordPath);
	let code = 2;
	const limit = setTimeout(async () => {
		deployment.record('time-limit', {});
		await deployment.close();
		process.exit(2);
	}, 110_000);
	try {
		const broken = await run(deployment);
		deployment.record('result', {broken: broken ?? 'no'});
		process.stdout.write(`${broken ?? 'the rule held'}\n`);
		code = broken === undefined ? 0 : 1;
	} catch (error) {
		deployment.record('not-run', {error: error.stack});
		process.stdout.write(`could not run: ${error.message}\n`);
	} finally {
		clearTimeout(limit);
		await deployment.close();
	}

	process.exit(code);
}
