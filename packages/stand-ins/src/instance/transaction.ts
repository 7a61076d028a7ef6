import {type RowChange} from './table-store.js';

/** Uncommitted changes of a transaction. */
export class Transaction {
	readonly #changes = new Map<string, Map<string, RowChange>>();

	/**
	 * @param epoch - Epoch of the instance when the transaction begins; the transaction can commit only in the same epoch.
	 */
	constructor(readonly epoch: number) {}

	/** Changes of all tables. */
	get changes(): RowChange[] {
		return [...this.#changes.values()].flatMap(table => [...table.values()]);
	}

	/**
	 * Returns the changes of a table by primary key.
	 *
	 * @param table - Table name.
	 */
	getChanges(table: string): ReadonlyMap<string, RowChange> {
		return this.#changes.get(table) ?? new Map<string, RowChange>();
	}

	/**
	 * Adds a change. It replaces an earlier change of the same row.
	 *
	 * @param change - Change to add.
	 */
	add(change: RowChange): void {
		const table = this.#changes.get(change.table) ?? new Map<string, RowChange>();
		table.set(change.key, change);
		this.#changes.set(change.table, table);
	}
}
