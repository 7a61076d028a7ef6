import {encodeFrame, maximumFrameBytes, type LogPosition, type TimerService} from '@tarragonstack/core';
import {Journal} from './journal.js';
import {ReplicatedLog, type LogRecord} from './replicated-log.js';
import {SqlError} from './sql-error.js';
import {type RowChange} from './table-store.js';

/** Maximum encoded size of a transaction's changes. Leaves room for the rest of a replication message. */
const maximumTransactionBytes = maximumFrameBytes / 2;

/** Replication role of an instance in its group. */
export enum InstanceRole {
	Primary = 'primary',
	Replica = 'replica',
}

/** Term, role and log of an instance. */
export class InstanceState implements Disposable {
	readonly log = new ReplicatedLog();
	/** Address of the followed primary; empty if unknown. */
	primaryAddress = '';
	/** Number of log entries truncated since the start of the process. */
	truncatedEntries = 0;
	readonly #journal: Journal;
	readonly #timerService: TimerService;
	readonly #recordListeners = new Set<() => void>();
	readonly #roleListeners = new Set<() => void>();
	#term = 0;
	#promoter = '';
	#role = InstanceRole.Replica;
	#epoch = 0;
	#lastPrimaryMessageTime: number;

	/**
	 * @param timerService - Clock that measures the silence of the primary.
	 * @param journalFile - File that preserves the state across restarts.
	 */
	constructor(timerService: TimerService, journalFile?: string) {
		this.#timerService = timerService;
		this.#lastPrimaryMessageTime = timerService.now();
		this.#journal = new Journal(journalFile);
		for (const record of this.#journal.load()) {
			if (record.kind === 'raise') {
				this.#term = record.term;
				this.#promoter = record.promoter;
			} else if (record.kind === 'truncate') {
				this.log.truncate(record.index, record.markCount);
			} else {
				this.log.append(record);
			}
		}
	}

	/** Highest term that the instance has accepted. */
	get term(): number {
		return this.#term;
	}

	/** Name of the promoter that raised the term; empty if the term was adopted from another instance. */
	get promoter(): string {
		return this.#promoter;
	}

	/** Current role. */
	get role(): InstanceRole {
		return this.#role;
	}

	/** Counter that increases with every promotion, demotion and raise of the term. */
	get epoch(): number {
		return this.#epoch;
	}

	/** Position of the log end. */
	get position(): LogPosition {
		return this.log.position;
	}

	/** Time since the last message from the primary, in milliseconds; 0 on the primary itself. */
	get primarySilenceMilliseconds(): number {
		return this.#role === InstanceRole.Primary ? 0 : Math.floor(this.#timerService.now() - this.#lastPrimaryMessageTime);
	}

	/** Records the time of a message from the primary. */
	recordPrimaryMessage(): void {
		this.#lastPrimaryMessageTime = this.#timerService.now();
	}

	/**
	 * Raises the term. A primary is demoted to a read-only replica.
	 *
	 * @param term - New term.
	 * @param promoter - Name of the promoter.
	 * @returns Whether the new term was greater than the current one.
	 */
	raise(term: number, promoter: string): boolean {
		if (term <= this.#term) {
			return false;
		}

		this.#journal.write({kind: 'raise', term, promoter});
		this.#term = term;
		this.#promoter = promoter;
		this.primaryAddress = '';
		this.#setRole(InstanceRole.Replica);
		return true;
	}

	/**
	 * Adopts the term of the followed primary if it is newer.
	 *
	 * @param term - Term in a message from the primary.
	 */
	adoptTerm(term: number): void {
		if (term > this.#term) {
			this.#journal.write({kind: 'raise', term, promoter: ''});
			this.#term = term;
			this.#promoter = '';
		}
	}

	/**
	 * Promotes the instance to primary.
	 *
	 * @param term - Expected current term.
	 * @param promoter - Expected promoter of the term.
	 * @returns Whether both match the stored values.
	 */
	promote(term: number, promoter: string): boolean {
		if (term !== this.#term || promoter !== this.#promoter || term === 0) {
			return false;
		}

		if (this.#role === InstanceRole.Primary) {
			return true;
		}

		this.appendRecord({kind: 'term', term, startIndex: this.position.index});
		this.primaryAddress = '';
		this.#setRole(InstanceRole.Primary);
		return true;
	}

	/**
	 * Sets the primary to follow if its term permits that.
	 *
	 * @param address - Address of the primary.
	 * @param term - Term of the primary.
	 * @returns Whether the instance may follow it: the term is not older, and the instance is not itself the primary of that term.
	 */
	follow(address: string, term: number): boolean {
		if (term < this.#term || (term === this.#term && this.#role === InstanceRole.Primary)) {
			return false;
		}

		this.raise(term, '');
		this.primaryAddress = address;
		return true;
	}

	/**
	 * Commits the changes of a transaction.
	 *
	 * @param changes - Changes of the transaction.
	 * @param epoch - Epoch in which the transaction began.
	 */
	commit(changes: readonly RowChange[], epoch: number): void {
		if (this.#role !== InstanceRole.Primary || epoch !== this.#epoch) {
			throw new SqlError('25006', 'cannot commit: the instance is not, or no longer, the primary of its group');
		}

		const record: LogRecord = {kind: 'entry', index: this.position.index + 1, changes};
		if (encodeFrame(record).length > maximumTransactionBytes) {
			throw new SqlError('54000', `transaction changes exceed the limit of ${maximumTransactionBytes} bytes`);
		}

		this.appendRecord(record);
	}

	/**
	 * Appends a record to the log.
	 *
	 * @param record - Record that directly follows the last one.
	 */
	appendRecord(record: LogRecord): void {
		this.#journal.write(record);
		this.log.append(record);
		for (const listener of this.#recordListeners) {
			listener();
		}
	}

	/**
	 * Truncates the entries that the primary does not have.
	 *
	 * @param index - Index of the last entry to keep.
	 * @param markCount - Number of term marks to keep.
	 * @returns The number of truncated entries.
	 */
	truncate(index: number, markCount: number): number {
		if (index === this.position.index && markCount === this.log.marks.length) {
			return 0;
		}

		this.#journal.write({kind: 'truncate', index, markCount});
		const count = this.log.truncate(index, markCount);
		this.truncatedEntries += count;
		return count;
	}

	/**
	 * Subscribes to new log records.
	 *
	 * @param listener - Called after each record is appended.
	 */
	subscribeToRecords(listener: () => void): Disposable {
		return this.#subscribe(this.#recordListeners, listener);
	}

	/**
	 * Subscribes to promotions, demotions and raises of the term.
	 *
	 * @param listener - Called after each change.
	 */
	subscribeToRole(listener: () => void): Disposable {
		return this.#subscribe(this.#roleListeners, listener);
	}

	/** @inheritdoc */
	[Symbol.dispose](): void {
		this.#journal[Symbol.dispose]();
	}

	#subscribe(listeners: Set<() => void>, listener: () => void): Disposable {
		listeners.add(listener);
		return {
			[Symbol.dispose]() {
				listeners.delete(listener);
			},
		};
	}

	#setRole(role: InstanceRole): void {
		// On a demoted primary, the silence of the new primary is measured from the demotion.
		if (this.#role === InstanceRole.Primary && role === InstanceRole.Replica) {
			this.recordPrimaryMessage();
		}

		this.#role = role;
		this.#epoch++;
		for (const listener of this.#roleListeners) {
			listener();
		}
	}
}
