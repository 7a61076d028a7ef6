import {type Token, TokenKind} from './sql-tokenizer.js';

const readOnlyFirstWords: ReadonlySet<string> = new Set(['select', 'values', 'with', 'show', 'table']);

/** Words that may introduce a side effect or a lock. `for` stands for `FOR UPDATE` and `FOR SHARE`. */
const sideEffectWords: ReadonlySet<string> = new Set([
	'insert', 'update', 'delete', 'merge', 'into', 'for', 'call', 'lock', 'truncate', 'create', 'drop', 'alter', 'copy', 'do',
]);

/** Functions that have no side effects and whose results do not depend on the instance. */
const pureFunctions: ReadonlySet<string> = new Set([
	'count',
	'sum',
	'min',
	'max',
	'avg',
	'coalesce',
	'nullif',
	'greatest',
	'least',
	'lower',
	'upper',
	'length',
	'char_length',
	'trim',
	'btrim',
	'ltrim',
	'rtrim',
	'substr',
	'concat',
	'replace',
	'left',
	'right',
	'abs',
	'ceil',
	'floor',
	'round',
	'now',
	'date_trunc',
	'date_part',
	'to_char',
	'row_number',
	'rank',
	'dense_rank',
	'bool_and',
	'bool_or',
	'array_agg',
	'string_agg',
	'json_agg',
	'jsonb_agg',
	'json_build_object',
	'jsonb_build_object',
]);

/** Key words and type names that may precede a parenthesis without being a function call. */
const wordsBeforeParenthesis: ReadonlySet<string> = new Set([
	'select',
	'from',
	'where',
	'and',
	'or',
	'not',
	'in',
	'exists',
	'any',
	'all',
	'some',
	'as',
	'on',
	'using',
	'by',
	'having',
	'when',
	'then',
	'else',
	'case',
	'limit',
	'offset',
	'join',
	'lateral',
	'union',
	'intersect',
	'except',
	'distinct',
	'over',
	'filter',
	'between',
	'cast',
	'extract',
	'like',
	'ilike',
	'is',
	'values',
	'materialized',
	'array',
	'row',
	'within',
	'group',
	'with',
	'numeric',
	'decimal',
	'varchar',
	'char',
	'character',
	'varying',
	'timestamp',
	'timestamptz',
	'time',
	'interval',
	'bit',
]);

/**
 * Returns whether a statement is known to have no side effects. Functions that are not listed count as having side effects.
 *
 * @param tokens - Tokens of one statement.
 */
export function isReadOnlyStatement(tokens: readonly Token[]): boolean {
	const first = tokens.find(token => token.text !== '(');
	if (!first || !readOnlyFirstWords.has(first.word)) {
		return false;
	}

	return tokens.every((token, index) => !sideEffectWords.has(token.word) && !mayHaveSideEffects(tokens, index));
}

function mayHaveSideEffects(tokens: readonly Token[], index: number): boolean {
	const token = tokens[index];
	const next = tokens[index + 1];
	if (!token || next?.kind !== TokenKind.Symbol || next.text !== '(') {
		return false;
	}

	if (token.kind === TokenKind.QuotedIdentifier) {
		return true;
	}

	if (token.kind !== TokenKind.Word) {
		return false;
	}

	// A schema-qualified name may refer to a different function than the listed one.
	return tokens[index - 1]?.text === '.' || (!pureFunctions.has(token.word) && !wordsBeforeParenthesis.has(token.word));
}
