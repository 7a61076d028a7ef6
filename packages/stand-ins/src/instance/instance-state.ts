import {encodeFrame, maximumFrameBytes, type LogPosition, type TimerService} from '@tarragonstack/core';
import {Journal} from './journal.js';
import {ReplicatedLog, type LogRecord} from './replicated-log.js';
import {SqlError} from './sql-error.js';
import {type RowChange} from './table-store.js';

/** Greatest size of a transaction's changes; leaves room for the rest of a replication message. */
const maximumTransactionBytes = maximumFrameBytes / 2;

/** Role of an instance in its group. */
export enum InstanceRole {
	Primary = 'primary',
	Replica = 'replica',
}

/** Term, role and log of an instance. */
export class InstanceState implements Disposable {
	readonly log = new ReplicatedLog();
	/** Address of the primary that the instance follows; empty if unknown. */
	primaryAddress = '';
	/** Removed entries since the start of the process. */
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
	 * @param timerService - Measures the silence of the primary.
	 * @param journalFile - File that keeps the state across restarts.
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

	/** Highest term that the instance accepted. */
	get term(): number {
		return this.#term;
	}

	/** Name under which the term was raised. */
	get promoter(): string {
		return this.#promoter;
	}

	/** Role of the instance. */
	get role(): InstanceRole {
		return this.#role;
	}

	/** Number that changes with every change of the term or the role. */
	get epoch(): number {
		return this.#epoch;
	}

	/** Position of the log. */
	get position(): LogPosition {
		return this.log.position;
	}

	/** Time since the last message of the primary, in milliseconds; 0 on the primary. */
	get primarySilenceMilliseconds(): number {
		return this.#role === InstanceRole.Primary ? 0 : Math.floor(this.#timerService.now() - this.#lastPrimaryMessageTime);
	}

	/** Notes that the primary sent a message. */
	recordPrimaryMessage(): void {
		this.#lastPrimaryMessageTime = this.#timerService.now();
	}

	/**
	 * Raises the term. A primary becomes a read-only replica.
	 *
	 * @param term - New term.
	 * @param promoter - Name of the promoter.
	 * @returns Whether the term was greater than the present one.
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
	 * Notes the term of the primary that the instance follows.
	 *
	 * @param term - Term of a message of the primary.
	 */
	adoptTerm(term: number): void {
		if (term > this.#term) {
			this.#journal.write({kind: 'raise', term, promoter: ''});
			this.#term = term;
			this.#promoter = '';
		}
	}

	/**
	 * Makes the instance the primary.
	 *
	 * @param term - Present term.
	 * @param promoter - Promoter that raised it.
	 * @returns Whether both are as stored.
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
	 * Checks and notes the primary to follow.
	 *
	 * @param address - Address of the primary.
	 * @param term - Term of the primary.
	 * @returns Whether the instance may follow it: the term is not older, and the instance is not the primary of the term.
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
	 * Commits a transaction that wrote.
	 *
	 * @param changes - Changes of the transaction.
	 * @param epoch - Epoch in which the transaction began.
	 */
	commit(changes: readonly RowChange[], epoch: number): void {
		if (this.#role !== InstanceRole.Primary || epoch !== this.#epoch) {
			throw new SqlError('25006', 'cannot commit: the instance is not the primary of its group, or no longer');
		}

		const record: LogRecord = {kind: 'entry', index: this.position.index + 1, changes};
		if (encodeFrame(record).length > maximumTransactionBytes) {
			throw new SqlError('54000', `the changes of a transaction take more than ${maximumTransactionBytes} bytes`);
		}

		this.appendRecord(record);
	}

	/**
	 * Appends a record to the log.
	 *
	 * @param record - Record that follows the last one.
	 */
	appendRecord(record: LogRecord): void {
		this.#journal.write(record);
		this.log.append(record);
		for (const listener of this.#recordListeners) {
			listener();
		}
	}

	/**
	 * Removes the entries that the primary does not have.
	 *
	 * @param index - Index of the last entry that remains.
	 * @param markCount - Number of term marks that remain.
	 * @returns The number of removed entries.
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
	 * Subscribes to new records of the log.
	 *
	 * @param listener - Called after each record.
	 */
	subscribeToRecords(listener: () => void): Disposable {
		return this.#subscribe(this.#recordListeners, listener);
	}

	/**
	 * Subscribes to changes of the term or the role.
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
		// The silence of the primary counts from the moment at which the instance ceases to lead.
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
