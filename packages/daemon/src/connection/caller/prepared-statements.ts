import {type SqlAnalysis} from '../../request/index.js';

/** Prepared statement that the entry host stores for a caller. */
export type PreparedStatement = {
	readonly analysis: SqlAnalysis;
	/** Count and object identifiers of the parameter types, as encoded in the Parse message. */
	readonly parameterTypes: Buffer;
};

/** Maximum estimated memory of the prepared statements of one connection, in bytes. */
export const maximumStatementBytes = 16 * 1024 * 1024;
/** Estimated memory of a statement in addition to its text and parameter types, in bytes. */
const overheadBytes = 512;

/** Prepared statements of one connection by name. The unnamed statement has the empty name. */
export class PreparedStatements {
	readonly #statements = new Map<string, PreparedStatement>();
	#bytes = 0;

	/** Estimated memory in use, in bytes. */
	get bytes(): number {
		return this.#bytes;
	}

	/**
	 * Returns a statement.
	 *
	 * @param name - Name of the statement.
	 */
	get(name: string): PreparedStatement | undefined {
		return this.#statements.get(name);
	}

	/**
	 * Stores or removes a statement.
	 *
	 * @param name - Name of the statement.
	 * @param statement - The statement; `undefined` removes it.
	 */
	set(name: string, statement: PreparedStatement | undefined): void {
		this.#bytes -= getBytes(this.#statements.get(name));
		this.#statements.delete(name);
		if (statement) {
			this.#statements.set(name, statement);
			this.#bytes += getBytes(statement);
		}
	}
}

function getBytes(statement: PreparedStatement | undefined): number {
	return statement ? statement.analysis.text.length + statement.parameterTypes.length + overheadBytes : 0;
}
