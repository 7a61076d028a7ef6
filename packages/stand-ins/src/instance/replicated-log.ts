import {type LogPosition} from '@tarragonstack/core';
import {TableStore, type RowChange} from './table-store.js';

/** Mark at which a term of the log begins: entries with an index greater than `startIndex` belong to it. */
export type TermMark = {
	readonly term: number;
	readonly startIndex: number;
};

/** Record of the log in the order in which it is applied: the changes of one transaction or the beginning of a term. */
export type LogRecord
	= | {readonly kind: 'entry'; readonly index: number; readonly changes: readonly RowChange[]}
		| {readonly kind: 'term'; readonly term: number; readonly startIndex: number};

type AppliedEntry = {
	readonly changes: readonly RowChange[];
	readonly undo: readonly RowChange[];
};

/** Log of the committed transactions with the tables that result from it. */
export class ReplicatedLog {
	/** Tables after all entries. */
	readonly tables = new TableStore();
	readonly #entries: AppliedEntry[] = [];
	#marks: TermMark[] = [];

	/** Term of the newest mark and index of the last entry. */
	get position(): LogPosition {
		return {term: this.#marks.at(-1)?.term ?? 0, index: this.#entries.length};
	}

	/** Index at which the newest term began. */
	get termStartIndex(): number {
		return this.#marks.at(-1)?.startIndex ?? 0;
	}

	/** Terms of the log in ascending order. */
	get marks(): readonly TermMark[] {
		return this.#marks;
	}

	/**
	 * Appends a record.
	 *
	 * @param record - Must follow the last entry directly.
	 */
	append(record: LogRecord): void {
		if (record.kind === 'term') {
			if (record.startIndex !== this.#entries.length) {
				throw new Error(`term ${record.term} begins at ${record.startIndex}, but the log ends at ${this.#entries.length}`);
			}

			this.#marks.push({term: record.term, startIndex: record.startIndex});
			return;
		}

		if (record.index !== this.#entries.length + 1) {
			throw new Error(`entry ${record.index} does not follow ${this.#entries.length}`);
		}

		this.#entries.push({changes: record.changes, undo: this.tables.apply(record.changes)});
	}

	/**
	 * Returns the records after an index.
	 *
	 * @param index - Index of the last entry that is not returned.
	 * @param markCount - Number of marks that the receiver already has.
	 * @param limit - Greatest number of entries.
	 */
	getRecords(index: number, markCount: number, limit: number): LogRecord[] {
		const records: LogRecord[] = [];
		const last = Math.min(this.#entries.length, index + limit);
		let nextMark = markCount;
		for (let current = index; current <= last; current++) {
			if (current > index) {
				records.push({kind: 'entry', index: current, changes: this.#entries[current - 1]!.changes});
			}

			for (let mark = this.#marks[nextMark]; mark?.startIndex === current; mark = this.#marks[nextMark]) {
				records.push({kind: 'term', term: mark.term, startIndex: mark.startIndex});
				nextMark++;
			}
		}

		return records;
	}

	/**
	 * Finds the common prefix with another log. Entries of the same term come from one primary, so equal terms with equal
	 * beginnings imply equal entries.
	 *
	 * @param marks - Terms of the other log.
	 * @param lastIndex - Index of its last entry.
	 */
	getCommonPrefix(marks: readonly TermMark[], lastIndex: number): {readonly index: number; readonly markCount: number} {
		let markCount = 0;
		while (markCount < marks.length && markCount < this.#marks.length
			&& marks[markCount]!.term === this.#marks[markCount]!.term && marks[markCount]!.startIndex === this.#marks[markCount]!.startIndex) {
			markCount++;
		}

		const otherEnd = marks[markCount]?.startIndex ?? lastIndex;
		const ownEnd = this.#marks[markCount]?.startIndex ?? this.#entries.length;
		return {index: Math.min(otherEnd, ownEnd), markCount};
	}

	/**
	 * Removes the entries after an index.
	 *
	 * @param index - Index of the last entry that remains.
	 * @param markCount - Number of marks that remain.
	 * @returns The number of removed entries.
	 */
	truncate(index: number, markCount: number): number {
		const count = this.#entries.length - index;
		while (this.#entries.length > index) {
			this.tables.apply(this.#entries.pop()!.undo);
		}

		this.#marks = this.#marks.slice(0, markCount);
		return count;
	}

	/** Returns all records as plain data for test oracles. */
	dump(): LogRecord[] {
		return this.getRecords(0, 0, Infinity);
	}
}
