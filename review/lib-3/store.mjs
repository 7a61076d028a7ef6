/* eslint camelcase: off, complexity: off, no-void: off, unicorn/prefer-switch: off -- names of the pages, and one handler for each message of the wire */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const pageItems = 500;
const historyMilliseconds = 20_000;

/** Monotonic time in milliseconds. */
export const now = () => Number(process.hrtime.bigint() / 1000n) / 1000;

async function readBody(request) {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString('utf8'));
}

/**
 * Stand-in of the platform's metadata store, as PROTOCOL states it. Each host gets a listener of its own, so that answers can be
 * withheld from single hosts. `onTransaction` decides on each conditional write: `undefined` serves it, `{lateMilliseconds}` gives
 * no answer and executes the write later if its condition still holds.
 */
export class Store {
	onTransaction = () => undefined;
	/** Called after a conditional write was executed. */
	onCommitted = () => undefined;
	/** Hosts that the store does not serve at present. */
	silentHosts = new Set();
	transactions = [];
	#items = new Map();
	#events = [];
	#revision = 100;
	#compactedRevision = 0;
	#leases = new Map();
	#nextLease = 500;
	#waiting = new Set();
	#servers = [];
	#record;

	constructor(record) {
		this.#record = record;
		this.#sweep = setInterval(() => {
			this.#expire();
		}, 50);
	}

	#sweep;

	/** Opens the listener of a host and returns its address. */
	async listenFor(host) {
		const server = createServer(async (request, response) => {
			try {
				await this.#handle(host, request, response);
			} catch (error) {
				this.#record('store-error', {host, message: String(error)});
				response.destroy();
			}
		});
		server.keepAliveTimeout = 120_000;
		await new Promise(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		this.#servers.push(server);
		return `127.0.0.1:${server.address().port}`;
	}

	close() {
		clearInterval(this.#sweep);
		for (const server of this.#servers) {
			server.closeAllConnections();
			server.close();
		}
	}

	/** Writes as the operator or an instance. */
	put(key, value) {
		this.#write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
		this.#notify();
	}

	delete(key) {
		this.#remove(key);
		this.#notify();
	}

	/** Returns the decoded values of the keys that match. */
	read(pattern) {
		return [...this.#items.values()].filter(({key}) => pattern.test(key)).map(({key, value}) => ({key, value: JSON.parse(Buffer.from(value, 'base64').toString('utf8'))}));
	}

	async #handle(host, request, response) {
		const url = new URL(request.url, 'http://store');
		const body = request.method === 'POST' ? await readBody(request) : {};
		const answer = (status, value) => {
			const text = JSON.stringify(value ?? {});
			response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text), 'store-era': '1'}).end(text);
		};

		await sleep(4);
		if (this.silentHosts.has(host)) {
			return;
		}

		const {pathname: path, searchParams: query} = url;
		if (path === '/kv-key') {
			const item = this.#items.get(query.get('key'));
			answer(item ? 200 : 404, item ? {...item, store_revision: this.#revision} : {});
		} else if (path === '/kv-range') {
			const after = query.get('after') ?? '';
			const items = [...this.#items.values()].filter(({key}) => key.startsWith(query.get('path_prefix') ?? '') && key > after).toSorted((left, right) => left.key < right.key ? -1 : 1);
			answer(200, {items: items.slice(0, pageItems), truncated: items.length > pageItems, store_revision: this.#revision});
		} else if (path === '/kv-watch') {
			await this.#watch(host, query, answer, response);
		} else if (path === '/kv-txn') {
			await this.#transact(host, body, answer);
		} else if (path === '/kv-lease') {
			this.#nextLease++;
			this.#leases.set(this.#nextLease, {until: now() + body.ttl_ms, milliseconds: body.ttl_ms});
			answer(200, {lease: this.#nextLease, ttl_ms: body.ttl_ms});
		} else if (path.startsWith('/kv-keep/')) {
			const lease = this.#leases.get(Number(path.slice(9)));
			if (lease) {
				lease.until = now() + lease.milliseconds;
			}

			answer(lease ? 200 : 404, lease && {ttl_ms: lease.milliseconds});
		} else if (path.startsWith('/kv-lease-end/')) {
			answer(this.#leases.delete(Number(path.slice(14))) ? 200 : 404);
		} else {
			answer(404);
		}
	}

	async #watch(host, query, answer, response) {
		const prefix = query.get('path_prefix') ?? '';
		const after = Number(query.get('after'));
		const find = () => this.#events.filter(({key, rev}) => rev > after && key.startsWith(prefix));
		if (find().length === 0 && after >= this.#compactedRevision) {
			await new Promise(resolve => {
				const finish = () => {
					clearTimeout(timer);
					this.#waiting.delete(finish);
					resolve();
				};

				const timer = setTimeout(finish, Number(query.get('wait_ms')));
				this.#waiting.add(finish);
				response.on('close', finish);
			});
		}

		if (this.silentHosts.has(host)) {
			return;
		}

		if (after < this.#compactedRevision) {
			answer(410);
			return;
		}

		answer(200, {events: find().map(({at: _, ...event}) => event), store_revision: this.#revision});
	}

	async #transact(host, body, answer) {
		const writes = (body.writes ?? []).map(({key, value}) => ({key, value: JSON.parse(Buffer.from(value, 'base64').toString('utf8'))}));
		const decision = this.onTransaction({host, writes, removals: body.remove ?? []});
		const entry = {host, at: now(), late: decision !== undefined};
		this.transactions.push(entry);
		if (decision) {
			this.#record('store-no-answer', {host, writes, executedAfterMilliseconds: decision.lateMilliseconds});
			await sleep(decision.lateMilliseconds, undefined, {ref: false});
			const {status} = this.#execute(body);
			this.#record('store-late-write', {host, keys: writes.map(({key}) => key), status});
			return;
		}

		const {status, value} = this.#execute(body);
		answer(status, value);
		if (status === 200) {
			this.onCommitted({host, writes});
		}
	}

	#execute({expected = [], writes = [], remove = []}) {
		if (expected.some(({key, rev}) => (this.#items.get(key)?.rev ?? 0) !== rev)) {
			return {status: 412, value: {items: expected.flatMap(({key}) => this.#items.get(key) ?? [])}};
		}

		if ([...writes.map(({key}) => key), ...remove].some(key => key.startsWith('op/') || key.startsWith('servers/'))) {
			return {status: 403, value: {}};
		}

		for (const {key, value, lease} of writes) {
			this.#write(key, value, lease ?? 0);
		}

		for (const key of remove) {
			this.#remove(key);
		}

		this.#notify();
		return {status: 200, value: {rev: this.#revision}};
	}

	#write(key, value, lease) {
		this.#revision++;
		const item = {key, value, rev: this.#revision, create_revision: this.#items.get(key)?.create_revision ?? this.#revision, lease};
		this.#items.set(key, item);
		this.#events.push({...item, at: now()});
	}

	#remove(key) {
		if (this.#items.delete(key)) {
			this.#revision++;
			this.#events.push({key, rev: this.#revision, deleted: true, at: now()});
		}
	}

	#notify() {
		for (const finish of this.#waiting) {
			finish();
		}
	}

	#expire() {
		for (const [id, {until}] of this.#leases) {
			if (until < now()) {
				this.#leases.delete(id);
			}
		}

		while (this.#events.length > 0 && this.#events[0].at < now() - historyMilliseconds) {
			this.#compactedRevision = this.#events.shift().rev;
		}
	}
}

/** Stand-in of the platform's promotion call. It records all orders in the order of their arrival. */
export class PromotionApi {
	orders = [];
	#server;
	#record;
	#promote;

	/**
	 * @param record - Recorder.
	 * @param promote - Carries out an order; returns whether the instance is running.
	 */
	constructor(record, promote) {
		this.#record = record;
		this.#promote = promote;
	}

	async listen() {
		this.#server = createServer(async (request, response) => {
			const body = await readBody(request);
			const order = {at: now(), backend: body.backend, id: body.id, holder: request.headers['x-lease-holder'], token: Number(request.headers['x-fencing-token'])};
			this.orders.push(order);
			const isRunning = this.#promote(body.backend, body.id);
			this.#record('promote', {...order, status: isRunning ? 200 : 409});
			response.writeHead(isRunning ? 200 : 409, {'content-type': 'application/json', 'content-length': 2}).end('{}');
		});
		await new Promise(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${this.#server.address().port}`;
	}

	close() {
		this.#server.closeAllConnections();
		this.#server.close();
	}
}
