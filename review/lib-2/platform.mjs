/* eslint-disable @stylistic/indent, camelcase, n/prefer-global/buffer, require-unicode-regexp, unicorn/empty-brace-spaces, unicorn/no-array-sort -- a script of the review, which runs outside of CI */
/**
 * Stand-in of the platform: the metadata store and the cloud API. It keeps to PROTOCOL.md: one revision counter, conditional
 * transactions, leases, watches with history. It stays sound unless a case asks for a disruption.
 */
import {createServer} from 'node:http';
import {once} from 'node:events';

export class Platform {
	/** Calls of /promote in the order of their arrival. */
	promotions = [];
	/** Called for each promotion; returns the HTTP status. */
	onPromote = () => 200;
	items = new Map();
	events = [];
	leases = new Map();
	revision = 100;
	/** Number of the store's era, which a restoration raises; 0 for a store that sends none. */
	era = 0;
	#nextLease = 9000;
	#waiting = new Set();
	#servers = [];
	#sockets = new Set();

	/** Starts an HTTP server for the store and the cloud API; returns its address. */
	async listen(address) {
		const server = createServer((request, response) => {
			this.#serve(request, response);
		});
		server.keepAliveTimeout = 60_000;
		server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('error', () => {
});
			socket.on('close', () => this.#sockets.delete(socket));
		});
		server.listen(0, address);
		await once(server, 'listening');
		this.#servers.push(server);
		return `${address}:${server.address().port}`;
	}

	close() {
		for (const server of this.#servers) {
			server.close();
		}

		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	/** Writes an item for the operator or an instance. */
	put(key, value) {
		this.#write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
		this.#wake();
	}

	remove(key) {
		this.#delete(key);
		this.#wake();
	}

	/** Returns the values under a prefix, decoded. */
	read(prefix) {
		return [...this.items.values()].filter(({key}) => key.startsWith(prefix)).map(({key, value}) => ({key, value: Buffer.from(value, 'base64').toString()}));
	}

	/** Takes a copy from which the store can be restored. */
	copy() {
		return {items: new Map(this.items), events: this.events.length, revision: this.revision};
	}

	/** Returns to an earlier copy: what was written since is gone, leases too, and revisions are given out again. */
	restore({items, events, revision}) {
		this.era++;
		this.items = new Map(items);
		this.events.length = events;
		this.revision = revision;
		this.leases.clear();
		this.#wake();
	}

	#serve(request, response) {
		const chunks = [];
		request.on('data', chunk => chunks.push(chunk));
		request.on('end', () => {
			setTimeout(() => {
				const text = Buffer.concat(chunks).toString();
				Promise.resolve(this.#handle(request, text === '' ? {} : JSON.parse(text))).then(([status, body]) => {
					const payload = JSON.stringify(body);
					response.writeHead(status, {
						'content-type': 'application/json', 'content-length': Buffer.byteLength(payload), ...(this.era > 0 && {'store-era': this.era}),
					}).end(payload);
				}, () => response.writeHead(400, {'content-length': 0}).end());
			}, 4);
		});
	}

	#handle(request, body) {
		const {pathname, searchParams: query} = new URL(request.url, 'http://platform');
		this.#expireLeases();
		const call = `${request.method} ${pathname}`;
		if (call === 'POST /promote') {
			const promotion = {at: performance.now(), group: body.backend, id: body.id, holder: request.headers['x-lease-holder'], token: Number(request.headers['x-fencing-token'])};
			this.promotions.push(promotion);
			return Promise.resolve(this.onPromote(promotion)).then(status => [status, {}]);
		}

		if (call === 'GET /kv-key') {
			const item = this.items.get(query.get('key'));
			return item ? [200, {...item, store_revision: this.revision}] : [404, {}];
		}

		if (call === 'GET /kv-range') {
			const after = query.get('after') ?? '';
			const items = [...this.items.values()].filter(({key}) => key.startsWith(query.get('path_prefix') ?? '') && key > after).sort((a, b) => a.key < b.key ? -1 : 1);
			return [200, {items: items.slice(0, 500), truncated: items.length > 500, store_revision: this.revision}];
		}

		if (call === 'GET /kv-watch') {
			return this.#watch(query, request);
		}

		if (call === 'POST /kv-txn') {
			return this.#commit(body);
		}

		if (call === 'POST /kv-lease') {
			this.#nextLease++;
			this.leases.set(this.#nextLease, {ttl: body.ttl_ms, until: performance.now() + body.ttl_ms});
			return [200, {lease: this.#nextLease, ttl_ms: body.ttl_ms}];
		}

		const [, verb, id] = /^\/(kv-keep|kv-lease-end)\/(\d+)$/.exec(pathname) ?? [];
		const lease = this.leases.get(Number(id));
		if (!lease) {
			return [404, {}];
		}

		if (verb === 'kv-keep') {
			lease.until = performance.now() + lease.ttl;
		} else {
			this.#endLease(Number(id));
		}

		return [200, {ttl_ms: lease.ttl}];
	}

	async #watch(query, request) {
		const after = Number(query.get('after'));
		const prefix = query.get('path_prefix') ?? '';
		const find = () => this.events.filter(({rev, key}) => rev > after && key.startsWith(prefix));
		const until = performance.now() + Number(query.get('wait_ms'));
		const {era} = this;
		if (after > this.revision) {
			return [410, {}];
		}

		while (era === this.era && find().length === 0 && performance.now() < until && !request.destroyed) {
			await new Promise(resolve => {
				const wake = () => {
					clearTimeout(timer);
					this.#waiting.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, Math.max(1, until - performance.now()));
				this.#waiting.add(wake);
			});
		}

		return era === this.era ? [200, {events: find(), store_revision: this.revision}] : [410, {}];
	}

	#commit({expected = [], writes = [], remove = []}) {
		if (expected.some(({key, rev}) => (this.items.get(key)?.rev ?? 0) !== rev)) {
			return [412, {items: expected.map(({key}) => this.items.get(key) ?? {key, value: '', rev: 0, create_revision: 0, lease: 0})}];
		}

		if ([...writes.map(({key}) => key), ...remove].some(key => /^(?:op|servers)\//.test(key))) {
			return [403, {}];
		}

		this.revision++;
		for (const {key, value, lease} of writes) {
			this.#write(key, value, lease, this.revision);
		}

		for (const key of remove) {
			this.#delete(key, this.revision);
		}

		this.#wake();
		return [200, {rev: this.revision}];
	}

	#write(key, value, lease, rev = ++this.revision) {
		const item = {key, value, rev, create_revision: this.items.get(key)?.create_revision ?? rev, lease};
		this.items.set(key, item);
		this.events.push(item);
	}

	#delete(key, rev = ++this.revision) {
		if (this.items.delete(key)) {
			this.events.push({key, rev, deleted: true});
		}
	}

	#endLease(id) {
		this.leases.delete(id);
		for (const item of this.items.values()) {
			if (item.lease === id) {
				this.remove(item.key);
			}
		}
	}

	#expireLeases() {
		for (const [id, {until}] of this.leases) {
			if (until < performance.now()) {
				this.#endLease(id);
			}
		}
	}

	#wake() {
		for (const wake of this.#waiting) {
			wake();
		}
	}
}
