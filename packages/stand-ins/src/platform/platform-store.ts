import {setTimeout as sleep} from 'node:timers/promises';
import {HttpEndpoint, HttpError, type HttpCall} from '../process/http-endpoint.js';

/** Page size of range responses. Smaller than the platform's page size, so that tests exercise paging. */
const itemsPerPage = 50;

type Item = {readonly key: string; readonly value: string; readonly rev: number; readonly create_revision: number; readonly lease: number};

type Event = Item | {readonly key: string; readonly rev: number; readonly deleted: true};

/** Promotion request that the store received. */
export type ReceivedPromotion = {readonly backend: string; readonly id: string; readonly holder: string; readonly token: number};

/** Copy of a `PlatformStore` from which it can be restored. */
export type PlatformStoreCopy = {readonly items: ReadonlyMap<string, Item>; readonly eventCount: number; readonly revision: number};

/** Stand-in for the platform's metadata store and its promote call. */
export class PlatformStore implements AsyncDisposable {
	/** Promotion requests in order of arrival. */
	readonly promotions: ReceivedPromotion[] = [];
	/** HTTP status with which all calls are rejected; `undefined` serves them normally. */
	rejectionStatus: number | undefined;
	/** Whether calls take effect but get no response. */
	dropsResponses = false;
	/** Time until a call is handled, in milliseconds. */
	answerMilliseconds = 0;
	readonly #items = new Map<string, Item>();
	readonly #events: Event[] = [];
	readonly #leases = new Set<number>();
	readonly #pendingWatches = new Set<() => void>();
	readonly #endpoint = new HttpEndpoint(call => this.#handle(call));
	readonly #handlers: Readonly<Record<string, (call: HttpCall) => unknown>> = {
		'GET /kv-key': ({query}) => this.#getItem(query.get('key') ?? ''),
		'GET /kv-range': ({query}) => this.#getRange(query),
		'GET /kv-watch': async ({query}) => this.#watch(query),
		'POST /kv-txn': ({body}) => this.#commit(body),
		'POST /kv-lease': ({body}) => this.#createLease(body),
		'POST /promote': ({body, request}) => this.#promote(body, request.headers),
	};

	#revision = 10;
	#nextLease = 7000;
	#compactedRevision = 0;
	#era = 1;

	/** Called for each promotion request; returns whether the instance is running. */
	onPromote: (promotion: ReceivedPromotion) => boolean = () => true;

	/**
	 * Starts listening.
	 *
	 * @param address - IP address to listen on.
	 * @returns The address and port.
	 */
	async listen(address: string): Promise<string> {
		return this.#endpoint.listen(address, 0);
	}

	/** Writes an item on behalf of the operator or an instance, without the checks of a transaction. */
	put(key: string, value: unknown): void {
		this.#write(key, Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64'), 0);
		this.#completeWatches();
	}

	/** Returns the decoded value of an item. */
	get(key: string): string | undefined {
		const item = this.#items.get(key);
		return item && Buffer.from(item.value, 'base64').toString();
	}

	/** Removes an item. */
	remove(key: string): void {
		this.#delete(key);
		this.#completeWatches();
	}

	/** Compacts the history: watches from an earlier revision fail with 410. */
	compact(): void {
		this.#compactedRevision = this.#revision;
		this.#completeWatches();
	}

	/** Takes a copy from which the store can be restored. */
	copy(): PlatformStoreCopy {
		return {items: new Map(this.#items), eventCount: this.#events.length, revision: this.#revision};
	}

	/** Returns to an earlier copy. What was acknowledged since is lost, as are all leases, and waiting watches are cut. */
	restore({items, eventCount, revision}: PlatformStoreCopy): void {
		this.#era++;
		this.#items.clear();
		for (const [key, item] of items) {
			this.#items.set(key, item);
		}

		this.#events.length = eventCount;
		this.#revision = revision;
		this.#leases.clear();
		this.#completeWatches();
	}

	/** @inheritdoc */
	async [Symbol.asyncDispose](): Promise<void> {
		this.#completeWatches();
		await this.#endpoint[Symbol.asyncDispose]();
	}

	async #handle(call: HttpCall): Promise<unknown> {
		if (this.answerMilliseconds > 0) {
			await sleep(this.answerMilliseconds);
		}

		call.response.setHeader('store-era', this.#era);
		const result = await this.#execute(call);
		return this.dropsResponses ? undefined : result;
	}

	#execute(call: HttpCall): unknown {
		if (this.rejectionStatus !== undefined) {
			throw new HttpError(this.rejectionStatus, {error: 'rejected'});
		}

		const handler = this.#handlers[`${call.method} ${call.path}`];
		if (handler) {
			return handler(call);
		}

		const lease = Number(/^\/kv-(?:keep|lease-end)\/(?<id>\d+)$/v.exec(call.path)?.groups?.id);
		if (!this.#leases.has(lease)) {
			throw new HttpError(404, {error: 'not found'});
		}

		if (call.method === 'DELETE') {
			this.#leases.delete(lease);
		}

		return {ttl_ms: 10_000};
	}

	#getItem(key: string): unknown {
		const item = this.#items.get(key);
		if (!item) {
			throw new HttpError(404, {error: 'not found'});
		}

		return {...item, store_revision: this.#revision};
	}

	#getRange(query: URLSearchParams): unknown {
		const afterKey = query.get('after') ?? '';
		const items = [...this.#items.values()]
			.filter(({key}) => key.startsWith(query.get('path_prefix') ?? '') && key > afterKey)
			.toSorted((left, right) => left.key < right.key ? -1 : 1);
		return {items: items.slice(0, itemsPerPage), truncated: items.length > itemsPerPage, store_revision: this.#revision};
	}

	async #watch(query: URLSearchParams): Promise<unknown> {
		const afterRevision = Number(query.get('after'));
		const era = this.#era;
		const findEvents = () => this.#events.filter(({key, rev}) => rev > afterRevision && key.startsWith(query.get('path_prefix') ?? ''));
		if (findEvents().length === 0 && afterRevision >= this.#compactedRevision && afterRevision <= this.#revision) {
			await new Promise<void>(resolve => {
				const timer = setTimeout(resolve, Number(query.get('wait_ms')));
				this.#pendingWatches.add(() => {
					clearTimeout(timer);
					resolve();
				});
			});
		}

		if (afterRevision < this.#compactedRevision || afterRevision > this.#revision || era !== this.#era) {
			throw new HttpError(410, {error: 'gone'});
		}

		return {events: findEvents(), store_revision: this.#revision};
	}

	#commit(body: Readonly<Record<string, unknown>>): unknown {
		const {expected = [], writes = [], remove = []} = body as {
			expected?: Array<{key: string; rev: number}>; writes?: Array<{key: string; value: string; lease: number}>; remove?: string[];
		};
		if (expected.some(({key, rev}) => (this.#items.get(key)?.rev ?? 0) !== rev)) {
			throw new HttpError(412, {items: expected.map(({key}) => this.#items.get(key)).filter(item => item !== undefined)});
		}

		if (writes.some(({key}) => key.startsWith('op/') || key.startsWith('servers/'))) {
			throw new HttpError(403, {error: 'forbidden'});
		}

		for (const {key, value, lease} of writes) {
			this.#write(key, value, lease);
		}

		for (const key of remove) {
			this.#delete(key);
		}

		this.#completeWatches();
		return {rev: this.#revision};
	}

	#createLease(body: Readonly<Record<string, unknown>>): unknown {
		this.#nextLease++;
		this.#leases.add(this.#nextLease);
		return {lease: this.#nextLease, ttl_ms: body.ttl_ms};
	}

	#promote(body: Readonly<Record<string, unknown>>, headers: Readonly<Record<string, string | string[] | undefined>>): unknown {
		const promotion = {
			backend: String(body.backend), id: String(body.id), holder: String(headers['x-lease-holder']), token: Number(headers['x-fencing-token']),
		};
		this.promotions.push(promotion);
		if (!this.onPromote(promotion)) {
			throw new HttpError(409, {error: 'the instance is not running'});
		}

		return {};
	}

	#write(key: string, value: string, lease: number): void {
		this.#revision++;
		const item: Item = {key, value, rev: this.#revision, create_revision: this.#items.get(key)?.create_revision ?? this.#revision, lease};
		this.#items.set(key, item);
		this.#events.push(item);
	}

	#delete(key: string): void {
		if (this.#items.delete(key)) {
			this.#revision++;
			this.#events.push({key, rev: this.#revision, deleted: true});
		}
	}

	#completeWatches(): void {
		for (const complete of this.#pendingWatches) {
			complete();
		}

		this.#pendingWatches.clear();
	}
}
