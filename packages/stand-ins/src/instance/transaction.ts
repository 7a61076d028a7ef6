import {type RowChange} from './table-store.js';

/** Changes of a transaction that are not yet committed. */
export class Transaction {
	readonly #changes = new Map<string, Map<string, RowChange>>();

	/**
	 * @param epoch - Epoch of the instance at the beginning; the transaction can commit only in the same epoch.
	 */
	constructor(readonly epoch: number) {}

	/** All changes. */
	get changes(): RowChange[] {
		return [...this.#changes.values()].flatMap(table => [...table.values()]);
	}

	/**
	 * Returns the changes of a table by primary key.
	 *
	 * @param table - Name of the table.
	 */
	getChanges(table: string): ReadonlyMap<string, RowChange> {
		return this.#changes.get(table) ?? new Map<string, RowChange>();
	}

	/**
	 * Notes a change.
	 *
	 * @param change - Replaces an earlier change of the same row.
	 */
	add(change: RowChange): void {
		const table = this.#changes.get(change.table) ?? new Map<string, RowChange>();
		table.set(change.key, change);
		this.#changes.set(change.table, table);
	}
}
