import {isReadOnlyStatement} from './read-only-statement.js';
import {isEntryHostSetting} from './session-settings.js';
import {parseSessionStatement} from './session-statement.js';
import {type Token, tokenizeSql} from './sql-tokenizer.js';
import {type SqlAnalysis, type StatementAnalysis, StatementClass} from './statement-class.js';
import {getStatementRefusal} from './statement-refusal.js';

const transactionWords: ReadonlyMap<string, StatementClass> = new Map([
	['begin', StatementClass.Begin],
	['commit', StatementClass.Commit],
	['end', StatementClass.Commit],
	['rollback', StatementClass.Rollback],
	['abort', StatementClass.Rollback],
]);

/**
 * Classifies the statements of an SQL text. Statements that are not known to be read-only are classified as writes.
 *
 * @param text - SQL text.
 */
export function analyzeSql(text: string): SqlAnalysis {
	const {statements, comments, isComplete} = tokenizeSql(text);
	return {
		text,
		comments,
		statements: statements.map(tokens => analyzeStatement(tokens, isComplete)),
	};
}

function analyzeStatement(tokens: readonly Token[], isComplete: boolean): StatementAnalysis {
	const session = parseSessionStatement(tokens);
	if (session && isEntryHostSetting(session)) {
		return {statementClass: StatementClass.SessionSetting, session};
	}

	const refusal = getStatementRefusal(tokens);
	if (refusal !== undefined) {
		return {statementClass: StatementClass.Refused, refusal};
	}

	const transactionClass = getTransactionClass(tokens);
	if (transactionClass) {
		return {statementClass: transactionClass};
	}

	return {statementClass: isComplete && isReadOnlyStatement(tokens) ? StatementClass.Read : StatementClass.Write};
}

function getTransactionClass(tokens: readonly Token[]): StatementClass | undefined {
	const first = tokens[0]?.word ?? '';
	if (first === 'start' && tokens[1]?.word === 'transaction') {
		return StatementClass.Begin;
	}

	if (first === 'rollback' && tokens.slice(1, 3).some(token => token.word === 'to')) {
		return StatementClass.RollbackToSavepoint;
	}

	return transactionWords.get(first);
}
