import {type ServerResponse} from 'node:http';
import {SystemTimerService} from '@tarragonstack/core';
import {HttpEndpoint, HttpError, type HttpCall} from '../process/index.js';
import {isInRange, KeyValueStore, type KeyValueStoreCopy, type StoredEntry} from './key-value-store.js';
import {TokenBucket} from './token-bucket.js';

/** Maximum size of a value, in bytes. */
const maximumValueBytes = 1_000_000;

/** Interval at which expired leases are revoked. */
const leaseCheckIntervalMilliseconds = 100;

/** Simulated outage of the service. */
enum Outage {
	None = 'none',
	/** Calls fail immediately with 503, and watches are closed. */
	Refuse = 'refuse',
	/** Calls get no response, and watches send no events. */
	Hang = 'hang',
}

/** Options of a `KeyValueServer`. */
export type KeyValueOptions = {
	readonly address: string;
	readonly port: number;
	readonly readsPerSecond: number;
	readonly writesPerSecond: number;
};

type Watch = {
	readonly response: ServerResponse;
	readonly key: string;
	readonly rangeEnd?: string;
	/** Index of the next event to send, in the list of all events. */
	nextEventIndex: number;
};

type Json = Readonly<Record<string, unknown>>;

function getField(object: Json, snakeCase: string, camelCase: string): unknown {
	return object[snakeCase] ?? object[camelCase];
}

function getText(object: Json, snakeCase: string, camelCase = snakeCase): string | undefined {
	const value = getField(object, snakeCase, camelCase);
	return typeof value === 'string' || typeof value === 'number' ? String(value) : undefined;
}

/** Stand-in for etcd: the subset of its v3 JSON API that the product uses, with fault injection. */
export class KeyValueServer implements AsyncDisposable {
	readonly #options: KeyValueOptions;
	readonly #timerService = new SystemTimerService();
	readonly #store = new KeyValueStore(() => this.#timerService.now());
	readonly #endpoint = new HttpEndpoint(call => this.#handle(call));
	readonly #leaseExpirySubscription: Disposable;
	readonly #watches = new Set<Watch>();
	readonly #callCounts: Record<string, number> = {};
	readonly #readLimiter: TokenBucket;
	readonly #writeLimiter: TokenBucket;
	#outage = Outage.None;
	#delayMilliseconds = 0;
	#writeResponsesToDrop = 0;
	#readStalenessInChanges = 0;
	#copy: KeyValueStoreCopy;

	readonly #routes: Readonly<Record<string, {readonly isWrite: boolean; run(body: Json): Json}>> = {
		'/v3/kv/range': {isWrite: false, run: body => this.#range(body, true)},
		'/v3/kv/put': {isWrite: true, run: body => this.#put(body)},
		'/v3/kv/deleterange': {isWrite: true, run: body => this.#delete(body)},
		'/v3/kv/txn': {isWrite: true, run: body => this.#transact(body)},
		'/v3/lease/grant': {isWrite: true, run: body => this.#grant(body)},
		'/v3/lease/keepalive': {isWrite: true, run: body => this.#keepAlive(body)},
		'/v3/lease/revoke': {isWrite: true, run: body => this.#revoke(body)},
	};

	/** @param options - Listening address and rate limits. */
	constructor(options: KeyValueOptions) {
		this.#options = options;
		this.#copy = this.#store.copy();
		this.#readLimiter = new TokenBucket(options.readsPerSecond, this.#timerService.now());
		this.#writeLimiter = new TokenBucket(options.writesPerSecond, this.#timerService.now());
		this.#store.subscribe(() => {
			for (const watch of this.#watches) {
				this.#sendEvents(watch);
			}
		});
		this.#leaseExpirySubscription = this.#timerService.subscribe(leaseCheckIntervalMilliseconds, () => {
			this.#store.expireLeases();
		});
	}

	/** Starts listening and returns the address and port. */
	async listen(): Promise<string> {
		return this.#endpoint.listen(this.#options.address, this.#options.port);
	}

	/** @inheritdoc */
	async [Symbol.asyncDispose](): Promise<void> {
		this.#leaseExpirySubscription[Symbol.dispose]();
		await this.#endpoint[Symbol.asyncDispose]();
	}

	async #handle(call: HttpCall): Promise<unknown> {
		if (call.path === '/control') {
			return this.#applyControl(call);
		}

		if (call.path === '/status') {
			return {
				calls: this.#callCounts, revision: this.#store.revision, outage: this.#outage, delayMilliseconds: this.#delayMilliseconds,
			};
		}

		this.#callCounts[call.path] = (this.#callCounts[call.path] ?? 0) + 1;
		const route = this.#routes[call.path];
		if (!route && call.path !== '/v3/watch') {
			throw new HttpError(404, {error: 'Not Found', code: 5, message: 'Not Found'});
		}

		if (this.#outage === Outage.Hang) {
			return undefined;
		}

		if (this.#outage === Outage.Refuse) {
			throw new HttpError(503, {error: 'etcdserver: no leader', code: 14, message: 'etcdserver: no leader'});
		}

		if (!route) {
			this.#watch(call);
			return undefined;
		}

		if (!(route.isWrite ? this.#writeLimiter : this.#readLimiter).tryConsume(this.#timerService.now())) {
			throw new HttpError(429, {error: 'etcdserver: too many requests', code: 8, message: 'etcdserver: too many requests'});
		}

		if (this.#delayMilliseconds > 0) {
			await this.#timerService.sleep(this.#delayMilliseconds);
		}

		const result = route.run(call.body);
		if (route.isWrite && this.#writeResponsesToDrop > 0) {
			this.#writeResponsesToDrop--;
			call.response.destroy();
			return undefined;
		}

		return result;
	}

	#applyControl(call: HttpCall): Json {
		const {body} = call;
		this.#outage = Object.values(Outage).find(value => value === body.outage) ?? this.#outage;
		this.#delayMilliseconds = Number(body.delayMilliseconds ?? this.#delayMilliseconds);
		this.#writeResponsesToDrop = Number(body.loseWriteReplies ?? this.#writeResponsesToDrop);
		this.#readStalenessInChanges = Number(body.staleChanges ?? this.#readStalenessInChanges);
		if (body.readsPerSecond !== undefined) {
			this.#readLimiter.setRate(Number(body.readsPerSecond));
		}

		if (body.writesPerSecond !== undefined) {
			this.#writeLimiter.setRate(Number(body.writesPerSecond));
		}

		if (body.copy === true) {
			this.#copy = this.#store.copy();
		}

		if (body.restore === true) {
			this.#store.restore(this.#copy);
		}

		for (const watch of this.#watches) {
			if (this.#outage === Outage.Refuse || body.restore === true) {
				watch.response.destroy();
			} else {
				this.#sendEvents(watch);
			}
		}

		return {
			outage: this.#outage, delayMilliseconds: this.#delayMilliseconds, loseWriteReplies: this.#writeResponsesToDrop, staleChanges: this.#readStalenessInChanges,
		};
	}

	get #responseHeader(): Json {
		return {
			cluster_id: '1', member_id: '1', revision: String(this.#store.revision), raft_term: '1',
		};
	}

	#range(body: Json, allowsStale: boolean): Json {
		const key = getText(body, 'key') ?? '';
		const rangeEnd = getText(body, 'range_end', 'rangeEnd');
		const entries = this.#store.getRange(key, rangeEnd);
		const kvs = allowsStale && this.#readStalenessInChanges > 0
			? entries.map(entry => this.#store.getEarlierVersion(entry.key, this.#readStalenessInChanges)).filter(entry => entry !== undefined)
			: entries;
		const limit = Number(getText(body, 'limit') ?? 0);
		return {header: this.#responseHeader, ...(kvs.length > 0 && {kvs: limit > 0 ? kvs.slice(0, limit) : kvs}), count: String(kvs.length)};
	}

	#parsePut(body: Json): {key: string; value: string; lease?: string} {
		const value = getText(body, 'value') ?? '';
		if (Buffer.byteLength(value, 'base64') > maximumValueBytes) {
			throw new HttpError(400, {error: 'etcdserver: request is too large', code: 3, message: 'etcdserver: request is too large'});
		}

		const lease = getText(body, 'lease');
		return {key: getText(body, 'key') ?? '', value, ...(lease !== undefined && {lease})};
	}

	#put(body: Json): Json {
		this.#store.apply([this.#parsePut(body)]);
		return {header: this.#responseHeader};
	}

	#delete(body: Json): Json {
		const entries = this.#store.getRange(getText(body, 'key') ?? '', getText(body, 'range_end', 'rangeEnd'));
		this.#store.apply(entries.map(({key}) => ({key})));
		return {header: this.#responseHeader, deleted: String(entries.length)};
	}

	#transact(body: Json): Json {
		const compares = (body.compare ?? []) as readonly Json[];
		const succeeded = compares.every(compare => this.#isCompareSatisfied(compare));
		const operations = (body[succeeded ? 'success' : 'failure'] ?? []) as readonly Json[];
		const puts = operations.map(operation => getField(operation, 'request_put', 'requestPut') as Json | undefined);
		const deletes = operations.map(operation => getField(operation, 'request_delete_range', 'requestDeleteRange') as Json | undefined);
		const deleted = deletes.map(operation => operation
			? this.#store.getRange(getText(operation, 'key') ?? '', getText(operation, 'range_end', 'rangeEnd')).map(({key}) => ({key}))
			: []);
		this.#store.apply([...puts.filter(put => put !== undefined).map(put => this.#parsePut(put)), ...deleted.flat()]);
		const responses = operations.map((operation, index) => {
			if (puts[index]) {
				return {response_put: {header: this.#responseHeader}};
			}

			if (deletes[index]) {
				return {response_delete_range: {header: this.#responseHeader, deleted: String(deleted[index]!.length)}};
			}

			return {response_range: this.#range(getField(operation, 'request_range', 'requestRange') as Json, false)};
		});
		return {header: this.#responseHeader, ...(succeeded && {succeeded}), responses};
	}

	#isCompareSatisfied(compare: Json): boolean {
		const entry = this.#store.get(getText(compare, 'key') ?? '');
		const target = getText(compare, 'target') ?? 'VERSION';
		const fields: Readonly<Record<string, keyof StoredEntry>> = {
			VERSION: 'version', CREATE: 'create_revision', MOD: 'mod_revision', VALUE: 'value',
		};
		const field = fields[target];
		if (!field) {
			throw new HttpError(400, {error: `unknown compare target ${target}`, code: 3});
		}

		const camelCase = field.replace(/_(?<letter>[a-z])/v, (_, letter: string) => letter.toUpperCase());
		if (field === 'value') {
			return this.#isResultSatisfied(getText(compare, 'result'), entry?.value === getText(compare, 'value') ? 0 : 1);
		}

		return this.#isResultSatisfied(getText(compare, 'result'), Number(entry?.[field] ?? 0) - Number(getText(compare, field, camelCase) ?? 0));
	}

	#isResultSatisfied(result: string | undefined, difference: number): boolean {
		const outcomes: Readonly<Record<string, boolean>> = {GREATER: difference > 0, LESS: difference < 0, NOT_EQUAL: difference !== 0};
		return outcomes[result ?? 'EQUAL'] ?? difference === 0;
	}

	#grant(body: Json): Json {
		const ttl = Number(getText(body, 'TTL') ?? 0);
		return {header: this.#responseHeader, ID: this.#store.grantLease(ttl, getText(body, 'ID')), TTL: String(ttl)};
	}

	#keepAlive(body: Json): Json {
		const identifier = getText(body, 'ID') ?? '';
		return {result: {header: this.#responseHeader, ID: identifier, TTL: String(this.#store.keepLeaseAlive(identifier))}};
	}

	#revoke(body: Json): Json {
		if (!this.#store.revokeLease(getText(body, 'ID') ?? '')) {
			throw new HttpError(404, {error: 'etcdserver: requested lease not found', code: 5, message: 'etcdserver: requested lease not found'});
		}

		return {header: this.#responseHeader};
	}

	#watch(call: HttpCall): void {
		const request = (getField(call.body, 'create_request', 'createRequest') ?? {}) as Json;
		const startRevision = Number(getText(request, 'start_revision', 'startRevision') ?? 0);
		const rangeEnd = getText(request, 'range_end', 'rangeEnd');
		const firstEventIndex = startRevision === 0 ? -1 : this.#store.events.findIndex(({revision}) => revision >= startRevision);
		const watch: Watch = {
			response: call.response,
			key: getText(request, 'key') ?? '',
			...(rangeEnd !== undefined && {rangeEnd}),
			nextEventIndex: firstEventIndex === -1 ? this.#store.events.length : firstEventIndex,
		};
		this.#watches.add(watch);
		watch.response.on('close', () => {
			this.#watches.delete(watch);
		});
		watch.response.writeHead(200, {'content-type': 'application/json'});
		watch.response.write(`${JSON.stringify({result: {header: this.#responseHeader, created: true}})}\n`);
		this.#sendEvents(watch);
	}

	/** Sends the pending events of a watch. During an outage they stay pending. */
	#sendEvents(watch: Watch): void {
		if (this.#outage !== Outage.None) {
			return;
		}

		const events = this.#store.events.slice(watch.nextEventIndex).filter(({entry}) => isInRange(entry.key, watch.key, watch.rangeEnd));
		watch.nextEventIndex = this.#store.events.length;
		if (events.length === 0) {
			return;
		}

		const line = `${JSON.stringify({
			result: {
				header: this.#responseHeader,
				// The JSON mapping of protocol buffers omits default values, and PUT is the default type.
				events: events.map(({type, entry}) => ({...(type === 'DELETE' && {type}), kv: entry})),
			},
		})}\n`;
		if (this.#delayMilliseconds === 0) {
			watch.response.write(line);
		} else {
			this.#timerService.schedule(this.#delayMilliseconds, () => {
				watch.response.write(line);
			});
		}
	}
}
