import {type SessionStatement} from './session-statement.js';

/** Class of one SQL statement. */
export enum StatementClass {
	/** Surely has no effect. */
	Read = 'read',
	/** May have an effect. */
	Write = 'write',
	Begin = 'begin',
	Commit = 'commit',
	Rollback = 'rollback',
	/** `ROLLBACK TO SAVEPOINT`, which also ends the failed state of a transaction. */
	RollbackToSavepoint = 'rollback-to-savepoint',
	/** Sets, shows or resets a setting that the entry host keeps. */
	SessionSetting = 'session-setting',
	/** Not supported on pooled connections. */
	Refused = 'refused',
}

/** Result of the analysis of one statement. */
export type StatementAnalysis = {
	readonly statementClass: StatementClass;
	/** Message for the caller when the statement is refused. */
	readonly refusal?: string;
	/** Set for `SessionSetting`. */
	readonly session?: SessionStatement;
};

/** Result of the analysis of a text with any number of statements. */
export type SqlAnalysis = {
	readonly text: string;
	readonly statements: readonly StatementAnalysis[];
	/** Contents of the block comments, which may carry request options. */
	readonly comments: readonly string[];
};
