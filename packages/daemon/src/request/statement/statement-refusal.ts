import {type Token, TokenKind} from './sql-tokenizer.js';

const poolingReason = 'statements of a session share pooled connections';

/** Error messages for statements that are refused because of their first word. */
const refusedFirstWords: ReadonlyMap<string, string> = new Map([
	['copy', 'COPY is not supported; use INSERT with several rows, or connect to the database for bulk transfers'],
	['prepare', `PREPARE is not supported because ${poolingReason}; use the extended query protocol of the driver`],
	['execute', 'EXECUTE is not supported; use the extended query protocol of the driver'],
	['deallocate', 'DEALLOCATE is not supported; close prepared statements through the driver'],
	['listen', `LISTEN is not supported because ${poolingReason}`],
	['unlisten', `UNLISTEN is not supported because ${poolingReason}`],
	['discard', `DISCARD is not supported because ${poolingReason}`],
	['load', `LOAD is not supported because ${poolingReason}`],
	['start_replication', 'replication commands are not supported'],
	['create_replication_slot', 'replication commands are not supported'],
	['drop_replication_slot', 'replication commands are not supported'],
	['identify_system', 'replication commands are not supported'],
	['base_backup', 'replication commands are not supported'],
]);

const sessionAdvisoryLockPattern = /^pg_(?:try_)?advisory_(?:lock|unlock)/v;
const temporaryWords: ReadonlySet<string> = new Set(['temp', 'temporary']);
const temporaryObjectFirstWords: ReadonlySet<string> = new Set(['create', 'select', 'with']);
const transactionSetWords: ReadonlySet<string> = new Set(['local', 'transaction', 'constraints']);

/**
 * Returns the reason why a statement is not supported on pooled connections.
 *
 * @param tokens - Tokens of one statement.
 * @returns The error message for the caller, or `undefined` if the statement is supported.
 */
export function getStatementRefusal(tokens: readonly Token[]): string | undefined {
	const first = tokens[0]?.word ?? '';
	return refusedFirstWords.get(first)
		?? getSettingRefusal(first, tokens)
		?? getTemporaryRefusal(first, tokens)
		?? getTwoPhaseRefusal(first, tokens)
		?? getCallRefusal(tokens);
}

function getSettingRefusal(first: string, tokens: readonly Token[]): string | undefined {
	if (first === 'reset' || (first === 'set' && !transactionSetWords.has(tokens[1]?.word ?? ''))) {
		return `${first.toUpperCase()} of this setting is not supported because ${poolingReason}; use SET LOCAL inside a transaction`;
	}

	if (first === 'declare' && tokens.some((token, index) => token.word === 'with' && tokens[index + 1]?.word === 'hold')) {
		return `DECLARE ... WITH HOLD is not supported because ${poolingReason}; use a cursor inside a transaction`;
	}

	return undefined;
}

function getTemporaryRefusal(first: string, tokens: readonly Token[]): string | undefined {
	const isTemporary = tokens.some((token, index) => {
		const previous = tokens[index - 1]?.word ?? '';
		return temporaryWords.has(token.word) && ['create', 'into', 'local', 'global', 'replace'].includes(previous);
	});
	return isTemporary && temporaryObjectFirstWords.has(first) ? `temporary objects are not supported because ${poolingReason}` : undefined;
}

function getTwoPhaseRefusal(first: string, tokens: readonly Token[]): string | undefined {
	return (first === 'commit' || first === 'rollback') && tokens[1]?.word === 'prepared' ? 'two-phase commit is not supported' : undefined;
}

function getCallRefusal(tokens: readonly Token[]): string | undefined {
	for (const [index, token] of tokens.entries()) {
		const name = token.kind === TokenKind.QuotedIdentifier ? token.text : token.word;
		if (tokens[index + 1]?.text !== '(') {
			continue;
		}

		if (sessionAdvisoryLockPattern.test(name)) {
			return `session-level advisory locks are not supported because ${poolingReason}; use pg_advisory_xact_lock inside a transaction`;
		}

		if (name === 'set_config' && !isLocalSetConfig(tokens, index + 1)) {
			return `set_config is supported only with the last argument true because ${poolingReason}`;
		}
	}

	return undefined;
}

function isLocalSetConfig(tokens: readonly Token[], openIndex: number): boolean {
	let depth = 0;
	for (let index = openIndex; index < tokens.length; index++) {
		const token = tokens[index];
		if (token?.kind !== TokenKind.Symbol) {
			continue;
		}

		depth += token.text === '(' ? 1 : 0;
		depth -= token.text === ')' ? 1 : 0;
		if (depth === 0) {
			return tokens[index - 1]?.word === 'true' && tokens[index - 2]?.text === ',';
		}
	}

	return false;
}
