import {type Token, TokenKind} from './sql-tokenizer.js';

/** Action of a statement on a session setting. */
export enum SessionAction {
	Set = 'set',
	Show = 'show',
	Reset = 'reset',
}

/** Statement that sets, shows or resets one session setting. */
export type SessionStatement = {
	readonly action: SessionAction;
	/** Name of the setting in lower case, for example `tarragon.rank`. */
	readonly name: string;
	/** New value for `Set`, otherwise `undefined`. `SET name = DEFAULT` is parsed as `Reset`. */
	readonly value?: string;
};

const actions: ReadonlyMap<string, SessionAction> = new Map([
	['set', SessionAction.Set],
	['show', SessionAction.Show],
	['reset', SessionAction.Reset],
]);

/**
 * Parses a statement of the form `SET name = value`, `SHOW name` or `RESET name`.
 *
 * @param tokens - Tokens of one statement.
 * @returns The parsed statement, or `undefined` for all others, including `SET LOCAL` and `SET TRANSACTION`.
 */
export function parseSessionStatement(tokens: readonly Token[]): SessionStatement | undefined {
	const action = actions.get(tokens[0]?.word ?? '');
	if (!action) {
		return undefined;
	}

	const isSessionSet = action === SessionAction.Set && tokens[1]?.word === 'session' && tokens[2]?.text !== '=';
	const rest = tokens.slice(isSessionSet ? 2 : 1);
	return parseTimeZone(action, rest) ?? parseSetNames(action, rest) ?? parseNamedSetting(action, rest);
}

function parseTimeZone(action: SessionAction, rest: readonly Token[]): SessionStatement | undefined {
	if (rest[0]?.word !== 'time' || rest[1]?.word !== 'zone') {
		return undefined;
	}

	return {action, name: 'timezone', ...(action === SessionAction.Set && {value: joinValue(rest.slice(2))})};
}

function parseSetNames(action: SessionAction, rest: readonly Token[]): SessionStatement | undefined {
	if (action !== SessionAction.Set || rest[0]?.word !== 'names') {
		return undefined;
	}

	return {action, name: 'client_encoding', value: joinValue(rest.slice(1))};
}

function parseNamedSetting(action: SessionAction, rest: readonly Token[]): SessionStatement | undefined {
	let length = 1;
	while (rest[length]?.text === '.' && isName(rest[length + 1])) {
		length += 2;
	}

	if (!isName(rest[0])) {
		return undefined;
	}

	const name = rest.slice(0, length).map(token => token.text).join('').toLowerCase();
	if (action !== SessionAction.Set) {
		return rest.length === length ? {action, name} : undefined;
	}

	const separator = rest[length];
	const value = rest.slice(length + 1);
	if ((separator?.text !== '=' && separator?.word !== 'to') || value.length === 0) {
		return undefined;
	}

	return value.length === 1 && value[0]?.word === 'default' ? {action: SessionAction.Reset, name} : {action, name, value: joinValue(value)};
}

function isName(token: Token | undefined): boolean {
	return token?.kind === TokenKind.Word || token?.kind === TokenKind.QuotedIdentifier;
}

function joinValue(tokens: readonly Token[]): string {
	return tokens.map(token => token.text === ',' && token.kind === TokenKind.Symbol ? ', ' : token.text).join('');
}
