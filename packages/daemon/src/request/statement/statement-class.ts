import {type SessionStatement} from './session-statement.js';

/** Class of one SQL statement. */
export enum StatementClass {
	/** Known to have no side effects. */
	Read = 'read',
	/** May have side effects. */
	Write = 'write',
	Begin = 'begin',
	Commit = 'commit',
	Rollback = 'rollback',
	/** `ROLLBACK TO SAVEPOINT`, which also clears the failed state of a transaction. */
	RollbackToSavepoint = 'rollback-to-savepoint',
	/** Sets, shows or resets a setting that the entry host stores. */
	SessionSetting = 'session-setting',
	/** Not supported on pooled connections. */
	Refused = 'refused',
}

/** Result of the analysis of one statement. */
export type StatementAnalysis = {
	readonly statementClass: StatementClass;
	/** Error message for the caller if the statement is refused. */
	readonly refusal?: string;
	/** Parsed statement if the class is `SessionSetting`. */
	readonly session?: SessionStatement;
};

/** Result of the analysis of an SQL text with any number of statements. */
export type SqlAnalysis = {
	readonly text: string;
	readonly statements: readonly StatementAnalysis[];
	/** Contents of the block comments, which may carry request options. */
	readonly comments: readonly string[];
};
