import {
	closeSync, existsSync, openSync, readFileSync, writeSync,
} from 'node:fs';
import {encodeFrame, FrameDecoder} from '@tarragonstack/core';
import {type LogRecord} from './replicated-log.js';

/** Record of the journal. */
export type JournalRecord
	= | {readonly kind: 'raise'; readonly term: number; readonly promoter: string}
		| {readonly kind: 'truncate'; readonly index: number; readonly markCount: number}
		| LogRecord;

/** File that keeps the term and the log when the process is killed. It is not synchronized to a disk. */
export class Journal implements Disposable {
	readonly #file: string | undefined;
	#descriptor: number | undefined;

	/** @param file - Path of the file; without it nothing is kept. */
	constructor(file: string | undefined) {
		this.#file = file;
	}

	/** Reads the records that an earlier process wrote, then opens the file for further ones. */
	load(): JournalRecord[] {
		if (this.#file === undefined) {
			return [];
		}

		const records = new FrameDecoder().push(existsSync(this.#file) ? readFileSync(this.#file) : Buffer.alloc(0));
		if (records.isErr()) {
			throw new Error(`the journal "${this.#file}" cannot be read: ${records.error}`);
		}

		this.#descriptor = openSync(this.#file, 'a');
		return records.value as JournalRecord[];
	}

	/**
	 * Writes a record before its effect is visible to others.
	 *
	 * @param record - Record to write.
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
