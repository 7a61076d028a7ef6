import {type LogPosition} from '@tarragonstack/core';
import {TableStore, type RowChange} from './table-store.js';

/** Start of a term in the log. Entries with an index greater than `startIndex` belong to the term, up to the next mark. */
export type TermMark = {
	readonly term: number;
	readonly startIndex: number;
};

/** Log record: either the changes of one transaction or the start of a term. */
export type LogRecord
	= | {readonly kind: 'entry'; readonly index: number; readonly changes: readonly RowChange[]}
		| {readonly kind: 'term'; readonly term: number; readonly startIndex: number};

type AppliedEntry = {
	readonly changes: readonly RowChange[];
	readonly undo: readonly RowChange[];
};

/** Log of the committed transactions, together with the tables that result from applying it. */
export class ReplicatedLog {
	/** Tables after applying all entries. */
	readonly tables = new TableStore();
	readonly #entries: AppliedEntry[] = [];
	#marks: TermMark[] = [];

	/** Latest term and index of the last entry. */
	get position(): LogPosition {
		return {term: this.#marks.at(-1)?.term ?? 0, index: this.#entries.length};
	}

	/** Index at which the latest term started. */
	get termStartIndex(): number {
		return this.#marks.at(-1)?.startIndex ?? 0;
	}

	/** Term marks in ascending order. */
	get marks(): readonly TermMark[] {
		return this.#marks;
	}

	/**
	 * Appends a record.
	 *
	 * @param record - Record that directly follows the last one.
	 */
	append(record: LogRecord): void {
		if (record.kind === 'term') {
			if (record.startIndex !== this.#entries.length) {
				throw new Error(`term ${record.term} starts at index ${record.startIndex}, but the log ends at index ${this.#entries.length}`);
			}

			this.#marks.push({term: record.term, startIndex: record.startIndex});
			return;
		}

		if (record.index !== this.#entries.length + 1) {
			throw new Error(`entry ${record.index} does not directly follow entry ${this.#entries.length}`);
		}

		this.#entries.push({changes: record.changes, undo: this.tables.apply(record.changes)});
	}

	/**
	 * Returns the records after an index.
	 *
	 * @param index - Index of the last entry that the receiver already has.
	 * @param markCount - Number of marks that the receiver already has.
	 * @param limit - Maximum number of entries.
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
	 * Returns the end of the common prefix with another log. All entries of a term come from the same primary, so terms with
	 * the same number and start index contain the same entries.
	 *
	 * @param marks - Term marks of the other log.
	 * @param lastIndex - Index of the last entry of the other log.
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
	 * Truncates the log after an index and reverts the changes of the removed entries.
	 *
	 * @param index - Index of the last entry to keep.
	 * @param markCount - Number of marks to keep.
	 * @returns The number of truncated entries.
	 */
	truncate(index: number, markCount: number): number {
		const count = this.#entries.length - index;
		while (this.#entries.length > index) {
			this.tables.apply(this.#entries.pop()!.undo);
		}

		this.#marks = this.#marks.slice(0, markCount);
		return count;
	}

	/** Returns all records, for comparison in tests. */
	dump(): LogRecord[] {
		return this.getRecords(0, 0, Infinity);
	}
}
