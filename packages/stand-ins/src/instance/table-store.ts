import {type Value} from './sql-statement.js';

/** Row of a table: column names with values. */
export type Row = Readonly<Record<string, Value>>;

/** Change of one row; without a row it is deleted. */
export type RowChange = {
	readonly table: string;
	/** Name of the primary key column. */
	readonly primaryKey: string;
	readonly key: string;
	readonly row?: Row;
};

type Table = {
	readonly primaryKey: string;
	readonly rows: Map<string, Row>;
	/** All column names seen so far, in order of appearance. */
	readonly columns: Set<string>;
};

/** Committed contents of all tables. Tables come into being with their first row. */
export class TableStore {
	readonly #tables = new Map<string, Table>();

	/**
	 * Returns a row.
	 *
	 * @param table - Name of the table.
	 * @param key - Primary key.
	 */
	getRow(table: string, key: string): Row | undefined {
		return this.#tables.get(table)?.rows.get(key);
	}

	/**
	 * Returns all rows of a table by primary key.
	 *
	 * @param table - Name of the table.
	 */
	getRows(table: string): ReadonlyMap<string, Row> {
		return this.#tables.get(table)?.rows ?? new Map<string, Row>();
	}

	/**
	 * Returns the name of the primary key column.
	 *
	 * @param table - Name of the table.
	 */
	getPrimaryKey(table: string): string | undefined {
		return this.#tables.get(table)?.primaryKey;
	}

	/**
	 * Returns the names of all columns in order of appearance.
	 *
	 * @param table - Name of the table.
	 */
	getColumns(table: string): readonly string[] {
		return [...this.#tables.get(table)?.columns ?? []];
	}

	/**
	 * Applies changes.
	 *
	 * @param changes - Changes in order.
	 * @returns The changes that undo them, in the order in which they must be applied.
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

	/** Returns the contents as plain data for comparisons in tests. */
	dump(): Record<string, Row[]> {
		return Object.fromEntries([...this.#tables].map(([name, table]) => [name, [...table.rows.values()]]));
	}
}
