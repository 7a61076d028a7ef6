import {type SharedStore} from '@tarragonstack/core/adapters/shared-store';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type EventLog} from './event-log.js';
import {type HostRecord} from './host-record.js';
import {type StoreEra} from './store-era.js';

/** Timeout of a write, in milliseconds. It also delays the retry of a write that was sent just before the store recovers. */
const writeTimeoutMilliseconds = 500;

/** Delay before a failed write is retried, in milliseconds. */
const retryDelayMilliseconds = 200;

/** Reports in the record of a host that makes them to its delegate. */
const noReports: Pick<HostRecord, 'confirmed' | 'suspected' | 'noticed' | 'followers'> = {
	confirmed: {}, suspected: [], noticed: {}, followers: {confirmed: {}, suspected: {}},
};

/** Keeps this host's record in the shared store up to date. */
export class HostRegistration {
	/** Called when the confirmations or suspicions in the desired record have changed. */
	onReportsChanged: (() => void) | undefined;
	readonly #store: SharedStore;
	readonly #timer: TimerService;
	readonly #log: EventLog;
	readonly #era: StoreEra;
	readonly #hostName: string;
	#desired: HostRecord;
	#writtenText: string | undefined;
	#revision = 0;
	#pendingWrite: Promise<void> = Promise.resolve();
	#isWriting = false;
	/** Whether the record has been asked for. Until then, a host that starts does not replace the record of its former process. */
	#isWanted = false;
	#isStopped = false;

	/**
	 * @param options - Dependencies, name of the host and its initial record.
	 */
	constructor(options: {store: SharedStore; timer: TimerService; log: EventLog; era: StoreEra; hostName: string; record: HostRecord}) {
		this.#store = options.store;
		this.#timer = options.timer;
		this.#log = options.log;
		this.#era = options.era;
		this.#hostName = options.hostName;
		this.#desired = options.record;
	}

	/** Desired record of this host. The store may not contain it yet. */
	get record(): HostRecord {
		return this.#desired;
	}

	/** Changes the record without writing it. The next write contains the change. */
	prepare(change: Partial<HostRecord>): void {
		this.#desired = {...this.#desired, ...change};
	}

	/** Changes the record and starts to write it. */
	update(change: Partial<HostRecord>): void {
		this.#desired = {...this.#desired, ...change};
		if (change.confirmed !== undefined || change.suspected !== undefined) {
			this.onReportsChanged?.();
		}

		void this.#write();
	}

	/**
	 * Changes the record and waits until it is stored.
	 *
	 * @returns Whether the changed record is stored; false if the host is stopping.
	 */
	async updateAndWait(change: Partial<HostRecord>): Promise<boolean> {
		this.#desired = {...this.#desired, ...change};
		await this.#write();
		return this.#writtenText === this.#serialize();
	}

	/**
	 * Handles a change of the stored record.
	 *
	 * @param text - Value of the item, or `undefined` if there is none.
	 * @param revision - Revision of the item; 0 if there is none.
	 */
	handleStoredRecord(text: string | undefined, revision: number): void {
		if (revision === 0 || revision > this.#revision) {
			this.#writtenText = text;
			this.#revision = revision;
		}

		if (this.#isWanted) {
			void this.#write();
		}
	}

	/** Whether the store is known to contain the record of this process. */
	get isRegistered(): boolean {
		return this.#revision > 0 && this.#writtenText !== undefined && this.#writtenText.includes(this.#desired.incarnation);
	}

	/**
	 * Handles a new era of the store, which has no record of this host, no leases and no changes to confirm. Writes the record
	 * again if the host was registered in the era before.
	 */
	handleEraEntered(): void {
		const wasRegistered = this.isRegistered || this.#isWriting;
		this.#revision = 0;
		this.#writtenText = undefined;
		this.#desired = {...this.#desired, lease: 0, confirmed: {}, noticed: {}, followers: {...this.#desired.followers, confirmed: {}}};
		if (wasRegistered) {
			void this.#write();
		}
	}

	/** Stops writing and removes the record. */
	async remove(): Promise<void> {
		this.#isStopped = true;
		await this.#store.commit({expected: [{key: this.#key, revision: this.#revision}], writes: [], removals: [this.#key]}, writeTimeoutMilliseconds);
	}

	get #key(): string {
		return `${this.#era.keys.hostPrefix}${this.#hostName}`;
	}

	#serialize(): string {
		return JSON.stringify(this.#desired.isDelegated ? {...this.#desired, ...noReports} : this.#desired);
	}

	/** Writes until the desired record is stored. Concurrent calls share one loop. */
	#write(): Promise<void> {
		this.#isWanted = true;
		if (!this.#isWriting) {
			this.#pendingWrite = this.#writeUntilStored();
		}

		return this.#pendingWrite;
	}

	async #writeUntilStored(): Promise<void> {
		this.#isWriting = true;
		while (!this.#isStopped) {
			const text = this.#serialize();
			if (text === this.#writtenText) {
				break;
			}

			const key = this.#key;
			const outcome = await this.#store.commit({expected: [{key, revision: this.#revision}], writes: [{key, value: text}], removals: []}, writeTimeoutMilliseconds);
			if (key !== this.#key) {
				continue;
			}

			if (outcome.isErr()) {
				this.#log.write('registration-failed', {reason: outcome.error.message});
				await this.#timer.sleep(retryDelayMilliseconds);
			} else if (outcome.value.committed) {
				this.#writtenText = text;
				this.#revision = outcome.value.revision;
			} else {
				const current = outcome.value.current.find(item => item.key === key);
				this.#revision = current?.revision ?? 0;
				this.#writtenText = current?.value;
			}
		}

		this.#isWriting = false;
	}
}
