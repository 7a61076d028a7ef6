import {type Value} from './sql-statement.js';

/** Table row: values by column name. */
export type Row = Readonly<Record<string, Value>>;

/** Change of a single row. */
export type RowChange = {
	readonly table: string;
	/** Name of the primary key column. */
	readonly primaryKey: string;
	readonly key: string;
	/** New row; if omitted, the row is deleted. */
	readonly row?: Row;
};

type Table = {
	readonly primaryKey: string;
	readonly rows: Map<string, Row>;
	/** Names of all columns seen so far, in order of first appearance. */
	readonly columns: Set<string>;
};

/** Committed contents of all tables. A table is created when its first row is written. */
export class TableStore {
	readonly #tables = new Map<string, Table>();

	/**
	 * Returns a row by its primary key.
	 *
	 * @param table - Table name.
	 * @param key - Primary key value.
	 */
	getRow(table: string, key: string): Row | undefined {
		return this.#tables.get(table)?.rows.get(key);
	}

	/**
	 * Returns all rows of a table by primary key.
	 *
	 * @param table - Table name.
	 */
	getRows(table: string): ReadonlyMap<string, Row> {
		return this.#tables.get(table)?.rows ?? new Map<string, Row>();
	}

	/**
	 * Returns the name of the primary key column, or `undefined` if the table does not exist.
	 *
	 * @param table - Table name.
	 */
	getPrimaryKey(table: string): string | undefined {
		return this.#tables.get(table)?.primaryKey;
	}

	/**
	 * Returns the names of all columns in order of first appearance.
	 *
	 * @param table - Table name.
	 */
	getColumns(table: string): readonly string[] {
		return [...this.#tables.get(table)?.columns ?? []];
	}

	/**
	 * Applies changes to the tables.
	 *
	 * @param changes - Changes in the order to apply.
	 * @returns The changes that revert them, in the order to apply.
	 */
	apply(changes: readonly RowChange[]): RowChange[] {
		const undoChanges: RowChange[] = [];
		for (const change of changes) {
			let table = this.#tables.get(change.table);
			if (!table) {
				table = {primaryKey: change.primaryKey, rows: new Map(), columns: new Set([change.primaryKey])};
				this.#tables.set(change.table, table);
			}

			const previous = table.rows.get(change.key);
			undoChanges.unshift({
				table: change.table, primaryKey: change.primaryKey, key: change.key, ...(previous && {row: previous}),
			});
			if (change.row) {
				table.rows.set(change.key, change.row);
				for (const column of Object.keys(change.row)) {
					table.columns.add(column);
				}
			} else {
				table.rows.delete(change.key);
			}
		}

		return undoChanges;
	}

	/** Returns the rows of all tables, for comparison in tests. */
	dump(): Record<string, Row[]> {
		return Object.fromEntries([...this.#tables].map(([name, table]) => [name, [...table.rows.values()]]));
	}
}
