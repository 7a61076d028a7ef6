/* eslint-disable camelcase, require-unicode-regexp, unicorn/no-array-sort -- a script of the review, which runs outside of CI */
// Stand-in of the platform's metadata store and of its promote call (PROTOCOL: "The platform's metadata store", "Singleton duties").
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

/** Number of items of one page of a range response. */
const itemsPerPage = 500;

export class Store {
	/** Time until an answer, in milliseconds, as the pages state it. */
	answerMilliseconds = 4;
	/** Handles a promotion order; returns the HTTP status. */
	onPromote = () => 200;
	#items = new Map();
	#events = [];
	#leases = new Map();
	#watches = new Set();
	#revision = 100;
	#nextLease = 1000;
	#server = createServer((request, response) => {
		this.#receive(request, response);
	});

	constructor() {
		// Idle connections stay open, as the pages name no time after which the store would close them.
		this.#server.keepAliveTimeout = 0;
		this.#server.requestTimeout = 0;
	}

	async listen(host) {
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(0, host, resolve);
		});
		this.address = `${host}:${this.#server.address().port}`;
	}

	close() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** Writes a value on behalf of the operator or an instance. */
	put(key, value) {
		this.#write(key, Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64'), 0);
		this.#notify();
	}

	remove(key) {
		this.#delete(key);
		this.#notify();
	}

	get(key) {
		const item = this.#items.get(key);
		return item && JSON.parse(Buffer.from(item.value, 'base64').toString());
	}

	#receive(request, response) {
		const chunks = [];
		request.on('data', chunk => chunks.push(chunk));
		request.on('end', async () => {
			const url = new URL(request.url, 'http://store');
			const text = Buffer.concat(chunks).toString();
			await new Promise(resolve => {
				setTimeout(resolve, this.answerMilliseconds);
			});
			const [status, body] = await this.#handle(request, url, text === '' ? {} : JSON.parse(text));
			response.writeHead(status, {'content-type': 'application/json', 'store-era': '1'}).end(JSON.stringify(body));
		});
	}

	async #handle({method, headers}, {pathname, searchParams: query}, body) {
		switch (`${method} ${pathname}`) {
			case 'GET /kv-key': {
				const item = this.#items.get(query.get('key'));
				return item ? [200, {...item, store_revision: this.#revision}] : [404, {}];
			}

			case 'GET /kv-range': {
				const prefix = query.get('path_prefix') ?? '';
				const after = query.get('after') ?? '';
				const found = [...this.#items.values()].filter(({key}) => key.startsWith(prefix) && key > after).sort((left, right) => left.key < right.key ? -1 : 1);
				return [200, {items: found.slice(0, itemsPerPage), truncated: found.length > itemsPerPage, store_revision: this.#revision}];
			}

			case 'GET /kv-watch': {
				return this.#watch(query.get('path_prefix') ?? '', Number(query.get('after')), Number(query.get('wait_ms')));
			}

			case 'POST /kv-txn': {
				return this.#commit(body);
			}

			case 'POST /kv-lease': {
				const lease = ++this.#nextLease;
				this.#leases.set(lease, {ttl: body.ttl_ms, until: Date.now() + body.ttl_ms});
				return [200, {lease, ttl_ms: body.ttl_ms}];
			}

			case 'POST /promote': {
				return [this.onPromote({backend: body.backend, id: body.id, holder: headers['x-lease-holder'], token: Number(headers['x-fencing-token'])}), {}];
			}

			default: {
				const [, verb, id] = /^\/kv-(keep|lease-end)\/(\d+)$/.exec(pathname) ?? [];
				const lease = this.#leases.get(Number(id));
				if (!lease || lease.until < Date.now()) {
					return [404, {}];
				}

				lease.until = verb === 'keep' ? Date.now() + lease.ttl : 0;
				return [200, {ttl_ms: lease.ttl}];
			}
		}
	}

	async #watch(prefix, after, wait) {
		const find = () => this.#events.filter(event => event.rev > after && event.key.startsWith(prefix));
		const deadline = Date.now() + wait;
		while (find().length === 0 && Date.now() < deadline) {
			await new Promise(resolve => {
				const timer = setTimeout(resolve, Math.max(1, deadline - Date.now()));
				this.#watches.add(() => {
					clearTimeout(timer);
					resolve();
				});
			});
		}

		return [200, {events: find(), store_revision: this.#revision}];
	}

	#commit({expected = [], writes = [], remove = []}) {
		if (expected.some(({key, rev}) => (this.#items.get(key)?.rev ?? 0) !== rev)) {
			return [412, {items: expected.flatMap(({key}) => this.#items.get(key) ?? [])}];
		}

		if ([...writes.map(({key}) => key), ...remove].some(key => key.startsWith('op/') || key.startsWith('servers/'))) {
			return [403, {}];
		}

		for (const {key, value, lease} of writes) {
			this.#write(key, value, lease ?? 0);
		}

		for (const key of remove) {
			this.#delete(key);
		}

		this.#notify();
		return [200, {rev: this.#revision}];
	}

	#write(key, value, lease) {
		const rev = ++this.#revision;
		const item = {key, value, rev, create_revision: this.#items.get(key)?.create_revision ?? rev, lease};
		this.#items.set(key, item);
		this.#events.push(item);
	}

	#delete(key) {
		if (this.#items.delete(key)) {
			this.#events.push({key, rev: ++this.#revision, deleted: true});
		}
	}

	#notify() {
		for (const wake of this.#watches) {
			this.#watches.delete(wake);
			wake();
		}
	}
}
