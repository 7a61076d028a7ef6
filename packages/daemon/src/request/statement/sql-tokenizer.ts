/** Kind of an SQL token. */
export enum TokenKind {
	/** Key word or unquoted identifier. */
	Word = 'word',
	QuotedIdentifier = 'quoted-identifier',
	/** String constant of any form. The text is its content. */
	String = 'string',
	Number = 'number',
	/** Parameter such as `$1`. */
	Parameter = 'parameter',
	/** Single character of an operator or punctuation. */
	Symbol = 'symbol',
}

/** SQL token. */
export type Token = {
	readonly kind: TokenKind;
	/** Text without quotes. */
	readonly text: string;
	/** Text of a word in lower case. Empty for all other kinds, so that a string never matches a key word. */
	readonly word: string;
};

/** Tokens and comments of an SQL text. */
export type TokenizedSql = {
	/** Tokens of each non-empty statement. */
	readonly statements: ReadonlyArray<readonly Token[]>;
	/** Contents of the block comments. */
	readonly comments: readonly string[];
	/** Whether all strings, quoted identifiers and comments are terminated. */
	readonly isComplete: boolean;
};

const wordPattern = /[a-z_\u{80}-\u{10FFFF}][\w$\u{80}-\u{10FFFF}]*/ivy;
const numberPattern = /\d[\w.]*/vy;
const spacePattern = /\s+/vy;
const lineCommentPattern = /--[^\n\r]*/vy;
const parameterPattern = /\$\d+/vy;
const dollarTagPattern = /\$(?:[a-z_\u{80}-\u{10FFFF}][\w\u{80}-\u{10FFFF}]*)?\$/ivy;
const commentDelimiterPattern = /\/\*|\*\//gv;
const escapeStringPrefixes: ReadonlySet<string> = new Set(['e']);
const stringPrefixes: ReadonlySet<string> = new Set(['e', 'b', 'x', 'n']);

/** Scans one SQL text with PostgreSQL's default settings: only `E''` strings have backslash escapes. */
class SqlScanner {
	readonly #text: string;
	#offset = 0;
	#isComplete = true;
	#current: Token[] = [];
	readonly #statements: Token[][] = [];
	readonly #comments: string[] = [];

	constructor(text: string) {
		this.#text = text;
	}

	scan(): TokenizedSql {
		while (this.#offset < this.#text.length) {
			this.#scanNext();
		}

		this.#endStatement();
		return {statements: this.#statements, comments: this.#comments, isComplete: this.#isComplete};
	}

	#scanNext(): void {
		if (this.#match(spacePattern) !== undefined || this.#match(lineCommentPattern) !== undefined) {
			return;
		}

		if (this.#text.startsWith('/*', this.#offset)) {
			this.#scanComment();
			return;
		}

		const word = this.#match(wordPattern);
		if (word !== undefined) {
			this.#scanAfterWord(word);
			return;
		}

		this.#scanOther();
	}

	#scanOther(): void {
		const character = this.#text[this.#offset];
		if (character === '\'') {
			this.#push(TokenKind.String, this.#scanQuoted('\'', false));
			return;
		}

		if (character === '"') {
			this.#push(TokenKind.QuotedIdentifier, this.#scanQuoted('"', false));
			return;
		}

		const number = this.#match(numberPattern);
		if (number !== undefined) {
			this.#push(TokenKind.Number, number);
			return;
		}

		if (character === '$' && this.#scanDollar()) {
			return;
		}

		this.#offset++;
		if (character === ';') {
			this.#endStatement();
		} else {
			this.#push(TokenKind.Symbol, character ?? '');
		}
	}

	#scanAfterWord(word: string): void {
		const lowerCase = word.toLowerCase();
		const isString = this.#text[this.#offset] === '\'' && stringPrefixes.has(lowerCase);
		if (isString) {
			this.#push(TokenKind.String, this.#scanQuoted('\'', escapeStringPrefixes.has(lowerCase)));
		} else {
			this.#push(TokenKind.Word, word, lowerCase);
		}
	}

	#scanDollar(): boolean {
		const parameter = this.#match(parameterPattern);
		if (parameter !== undefined) {
			this.#push(TokenKind.Parameter, parameter);
			return true;
		}

		const tag = this.#match(dollarTagPattern);
		if (tag === undefined) {
			return false;
		}

		const end = this.#text.indexOf(tag, this.#offset);
		this.#push(TokenKind.String, this.#text.slice(this.#offset, end === -1 ? undefined : end));
		this.#isComplete &&= end !== -1;
		this.#offset = end === -1 ? this.#text.length : end + tag.length;
		return true;
	}

	#scanQuoted(quote: string, hasEscapes: boolean): string {
		let content = '';
		let start = ++this.#offset;
		for (; this.#offset < this.#text.length; this.#offset++) {
			const character = this.#text[this.#offset];
			if (character === '\\' && hasEscapes) {
				this.#offset++;
			} else if (character === quote) {
				if (this.#text[this.#offset + 1] !== quote) {
					content += this.#text.slice(start, this.#offset++);
					return content;
				}

				content += this.#text.slice(start, ++this.#offset);
				start = this.#offset + 1;
			}
		}

		this.#isComplete = false;
		return content + this.#text.slice(start);
	}

	#scanComment(): void {
		const start = this.#offset + 2;
		let depth = 0;
		commentDelimiterPattern.lastIndex = this.#offset;
		for (let delimiter = commentDelimiterPattern.exec(this.#text); delimiter; delimiter = commentDelimiterPattern.exec(this.#text)) {
			depth += delimiter[0] === '/*' ? 1 : -1;
			if (depth === 0) {
				this.#comments.push(this.#text.slice(start, delimiter.index));
				this.#offset = delimiter.index + 2;
				return;
			}
		}

		this.#isComplete = false;
		this.#offset = this.#text.length;
	}

	#match(pattern: RegExp): string | undefined {
		pattern.lastIndex = this.#offset;
		const match = pattern.exec(this.#text)?.[0];
		this.#offset += match?.length ?? 0;
		return match;
	}

	#push(kind: TokenKind, text: string, word = ''): void {
		this.#current.push({kind, text, word});
	}

	#endStatement(): void {
		if (this.#current.length > 0) {
			this.#statements.push(this.#current);
			this.#current = [];
		}
	}
}

/**
 * Splits SQL text into statements and tokens. It recognizes strings, quoted identifiers, dollar quotes and comments, but
 * does not parse the grammar.
 *
 * @param text - SQL text.
 */
export function tokenizeSql(text: string): TokenizedSql {
	return new SqlScanner(text).scan();
}
