/** Entry in the format of the etcd JSON API: 64-bit integers are strings, keys and values are base64. */
export type StoredEntry = {
	readonly key: string;
	readonly value: string;
	readonly create_revision: string;
	readonly mod_revision: string;
	readonly version: string;
	readonly lease?: string;
};

/** Change of a single key. */
export type StoreEvent = {
	readonly revision: number;
	readonly type: 'PUT' | 'DELETE';
	readonly entry: StoredEntry;
};

type Lease = {
	readonly ttlSeconds: number;
	expiresAt: number;
	readonly keys: Set<string>;
};

/** Copy of a `KeyValueStore` from which it can be restored. */
export type KeyValueStoreCopy = {readonly entries: ReadonlyMap<string, StoredEntry>; readonly eventCount: number; readonly revision: number};

/** Multi-version key-value store with leases, after the data model of etcd. */
export class KeyValueStore {
	readonly #now: () => number;
	readonly #entries = new Map<string, StoredEntry>();
	readonly #events: StoreEvent[] = [];
	readonly #leases = new Map<string, Lease>();
	readonly #listeners = new Set<(events: readonly StoreEvent[]) => void>();
	#revision = 1;
	#nextLease = 1;

	/** @param now - Returns the monotonic time in milliseconds. */
	constructor(now: () => number) {
		this.#now = now;
	}

	/** Revision of the last change. */
	get revision(): number {
		return this.#revision;
	}

	/** Complete change history, in order. */
	get events(): readonly StoreEvent[] {
		return this.#events;
	}

	/**
	 * Returns the current entry of a key.
	 *
	 * @param key - Key in base64.
	 */
	get(key: string): StoredEntry | undefined {
		return this.#entries.get(key);
	}

	/**
	 * Returns the entry of a key as it was some changes ago.
	 *
	 * @param key - Key in base64.
	 * @param changesBack - Number of changes of the key to skip, counted from the latest one.
	 */
	getEarlierVersion(key: string, changesBack: number): StoredEntry | undefined {
		const event = this.#events.filter(({entry}) => entry.key === key).at(-1 - changesBack);
		return event?.type === 'PUT' ? event.entry : undefined;
	}

	/**
	 * Returns the entries of a range, sorted by key.
	 *
	 * @param key - First key in base64.
	 * @param rangeEnd - Exclusive end in base64; omitted for a single key; a zero byte means no upper bound.
	 */
	getRange(key: string, rangeEnd?: string): StoredEntry[] {
		if (rangeEnd === undefined || rangeEnd === '') {
			const entry = this.#entries.get(key);
			return entry ? [entry] : [];
		}

		return [...this.#entries.values()]
			.filter(entry => isInRange(entry.key, key, rangeEnd))
			.toSorted((left, right) => Buffer.compare(Buffer.from(left.key, 'base64'), Buffer.from(right.key, 'base64')));
	}

	/**
	 * Applies changes atomically at one new revision.
	 *
	 * @param operations - Keys with their new value; a key without a value is deleted.
	 * @returns The previous entries.
	 */
	apply(operations: ReadonlyArray<{readonly key: string; readonly value?: string; readonly lease?: string}>): Array<StoredEntry | undefined> {
		const effectiveOperations = operations.filter(({key, value}) => value !== undefined || this.#entries.has(key));
		if (effectiveOperations.length === 0) {
			return operations.map(() => undefined);
		}

		this.#revision++;
		const events: StoreEvent[] = [];
		const previous = operations.map(operation => {
			const entry = this.#entries.get(operation.key);
			const event = this.#applyOperation(operation, entry);
			if (event) {
				events.push(event);
			}

			return entry;
		});
		this.#events.push(...events);
		for (const listener of this.#listeners) {
			listener(events);
		}

		return previous;
	}

	/**
	 * Subscribes to changes.
	 *
	 * @param listener - Called with the changes of each revision.
	 */
	subscribe(listener: (events: readonly StoreEvent[]) => void): Disposable {
		this.#listeners.add(listener);
		return {
			[Symbol.dispose]: () => {
				this.#listeners.delete(listener);
			},
		};
	}

	/**
	 * Grants a lease.
	 *
	 * @param ttlSeconds - Time to live.
	 * @param identifier - Requested identifier; the store assigns one if this is "0" or omitted.
	 */
	grantLease(ttlSeconds: number, identifier?: string): string {
		const lease = identifier === undefined || identifier === '0' ? String(this.#nextLease++) : identifier;
		this.#leases.set(lease, {ttlSeconds, expiresAt: this.#now() + (ttlSeconds * 1000), keys: new Set()});
		return lease;
	}

	/**
	 * Renews a lease.
	 *
	 * @param identifier - Lease identifier.
	 * @returns The time to live in seconds; 0 if the lease does not exist.
	 */
	keepLeaseAlive(identifier: string): number {
		const lease = this.#leases.get(identifier);
		if (!lease) {
			return 0;
		}

		lease.expiresAt = this.#now() + (lease.ttlSeconds * 1000);
		return lease.ttlSeconds;
	}

	/**
	 * Revokes a lease and deletes its keys.
	 *
	 * @param identifier - Lease identifier.
	 * @returns Whether the lease existed.
	 */
	revokeLease(identifier: string): boolean {
		const lease = this.#leases.get(identifier);
		if (!lease) {
			return false;
		}

		this.#leases.delete(identifier);
		this.apply([...lease.keys].map(key => ({key})));
		return true;
	}

	/** Revokes all expired leases. */
	expireLeases(): void {
		const now = this.#now();
		for (const [identifier, lease] of this.#leases) {
			if (lease.expiresAt <= now) {
				this.revokeLease(identifier);
			}
		}
	}

	/** Takes a copy from which the store can be restored. */
	copy(): KeyValueStoreCopy {
		return {entries: new Map(this.#entries), eventCount: this.#events.length, revision: this.#revision};
	}

	/** Returns to an earlier copy. What was acknowledged since is lost, as are all leases, and its revisions are assigned again. */
	restore({entries, eventCount, revision}: KeyValueStoreCopy): void {
		this.#entries.clear();
		for (const [key, entry] of entries) {
			this.#entries.set(key, entry);
		}

		this.#events.length = eventCount;
		this.#revision = revision;
		this.#leases.clear();
	}

	#applyOperation(operation: {readonly key: string; readonly value?: string; readonly lease?: string}, previous: StoredEntry | undefined): StoreEvent | undefined {
		const {key, value} = operation;
		if (previous?.lease !== undefined) {
			this.#leases.get(previous.lease)?.keys.delete(key);
		}

		const revision = String(this.#revision);
		if (value === undefined) {
			this.#entries.delete(key);
			return previous && {
				revision: this.#revision, type: 'DELETE', entry: {
					key, value: '', create_revision: '0', mod_revision: revision, version: '0',
				},
			};
		}

		const lease = operation.lease === undefined || operation.lease === '0' ? undefined : operation.lease;
		const entry: StoredEntry = {
			key,
			create_revision: previous?.create_revision ?? revision,
			mod_revision: revision,
			version: String(Number(previous?.version ?? '0') + 1),
			value,
			...(lease !== undefined && {lease}),
		};
		this.#entries.set(key, entry);
		if (lease !== undefined) {
			this.#leases.get(lease)?.keys.add(key);
		}

		return {revision: this.#revision, type: 'PUT', entry};
	}
}

/**
 * Returns whether a key lies in a range.
 *
 * @param candidate - Key in base64.
 * @param key - First key in base64.
 * @param rangeEnd - Exclusive end in base64; omitted for a single key; a zero byte means no upper bound.
 */
export function isInRange(candidate: string, key: string, rangeEnd?: string): boolean {
	if (rangeEnd === undefined || rangeEnd === '') {
		return candidate === key;
	}

	const bytes = Buffer.from(candidate, 'base64');
	const endBytes = Buffer.from(rangeEnd, 'base64');
	const isUnbounded = endBytes.length === 1 && endBytes[0] === 0;
	return Buffer.compare(bytes, Buffer.from(key, 'base64')) >= 0 && (isUnbounded || Buffer.compare(bytes, endBytes) < 0);
}
