import {
	closeSync, existsSync, openSync, readFileSync, writeSync,
} from 'node:fs';
import {encodeFrame, FrameDecoder} from '@tarragonstack/core';
import {type LogRecord} from './replicated-log.js';

/** Record in the journal file. */
export type JournalRecord
	= | {readonly kind: 'raise'; readonly term: number; readonly promoter: string}
		| {readonly kind: 'truncate'; readonly index: number; readonly markCount: number}
		| LogRecord;

/** File that preserves the term and the log when the process is killed. Writes are not synced to disk. */
export class Journal implements Disposable {
	readonly #file: string | undefined;
	#descriptor: number | undefined;

	/** @param file - Path of the file; if omitted, nothing is written. */
	constructor(file: string | undefined) {
		this.#file = file;
	}

	/** Reads the records of earlier processes and opens the file for appending. */
	load(): JournalRecord[] {
		if (this.#file === undefined) {
			return [];
		}

		const records = new FrameDecoder().push(existsSync(this.#file) ? readFileSync(this.#file) : Buffer.alloc(0));
		if (records.isErr()) {
			throw new Error(`cannot decode the journal "${this.#file}": ${records.error}`);
		}

		this.#descriptor = openSync(this.#file, 'a');
		return records.value as JournalRecord[];
	}

	/**
	 * Appends a record. Must be called before the effect of the record becomes visible to clients and replicas.
	 *
	 * @param record - Record to append.
	 */
	write(record: JournalRecord): void {
		if (this.#descriptor !== undefined) {
			writeSync(this.#descriptor, encodeFrame(record));
		}
	}

	/** @inheritdoc */
	[Symbol.dispose](): void {
		if (this.#descriptor !== undefined) {
			closeSync(this.#descriptor);
			this.#descriptor = undefined;
		}
	}
}
