import {SqlError} from './sql-error.js';
import {
	StatementKind, type Condition, type Expression, type Operand, type Statement,
} from './sql-statement.js';

enum TokenKind {
	Word,
	Text,
	Number,
	Parameter,
	Symbol,
	End,
}

type Token = {readonly kind: TokenKind; readonly text: string};

const tokenPattern = new RegExp([
	/(?<space>\s+|--[^\n]*|\/\*[\s\S]*?\*\/)/v,
	/(?<text>[eE]?'(?:[^']|'')*')/v,
	/(?<quoted>"(?:[^"]|"")*")/v,
	/(?<word>[A-Za-z_][\w.]*)/v,
	/(?<number>\d+(?:\.\d+)?)/v,
	/\$(?<parameter>\d+)/v,
	/(?<symbol>::|\|\||[\(\),;=+\-*<>])/v,
].map(({source}) => source).join('|'), 'vy');
const serviceTimePattern = /\/\*[^*]*service_ms\s*=\s*'?(?<milliseconds>\d+(?:\.\d+)?)'?[^*]*\*\//v;

function createSyntaxError(text: string): SqlError {
	return new SqlError('42601', `syntax error at or near "${text}"`);
}

function tokenize(sql: string): Token[][] {
	const statements: Token[][] = [[]];
	const pattern = new RegExp(tokenPattern.source, tokenPattern.flags);
	while (pattern.lastIndex < sql.length) {
		const offset = pattern.lastIndex;
		const groups = pattern.exec(sql)?.groups;
		if (!groups) {
			throw createSyntaxError(sql.slice(offset, offset + 10));
		}

		const token = getToken(groups);
		if (token?.text === ';' && token.kind === TokenKind.Symbol) {
			statements.push([]);
		} else if (token) {
			statements.at(-1)!.push(token);
		}
	}

	return statements;
}

function getToken(groups: Record<string, string | undefined>): Token | undefined {
	if (groups.text !== undefined) {
		return {kind: TokenKind.Text, text: groups.text.replace(/^[eE]?'/v, '').slice(0, -1).replaceAll('\'\'', '\'')};
	}

	if (groups.quoted !== undefined) {
		return {kind: TokenKind.Word, text: groups.quoted.slice(1, -1)};
	}

	if (groups.word !== undefined) {
		return {kind: TokenKind.Word, text: groups.word};
	}

	if (groups.number !== undefined) {
		return {kind: TokenKind.Number, text: groups.number};
	}

	if (groups.parameter !== undefined) {
		return {kind: TokenKind.Parameter, text: groups.parameter};
	}

	return groups.symbol === undefined ? undefined : {kind: TokenKind.Symbol, text: groups.symbol};
}

const endToken: Token = {kind: TokenKind.End, text: 'end of input'};

/** Recursive descent parser of a single statement in the supported SQL subset. */
class StatementParser {
	readonly #tokens: readonly Token[];
	#offset = 0;

	readonly #parsers: Readonly<Record<string, () => Statement>> = {
		insert: () => this.#parseInsert(),
		update: () => this.#parseUpdate(),
		delete: () => this.#parseDelete(),
		select: () => this.#parseSelect(),
		begin: () => this.#parseTransactionControl(StatementKind.Begin),
		start: () => this.#parseTransactionControl(StatementKind.Begin),
		commit: () => this.#parseTransactionControl(StatementKind.Commit),
		end: () => this.#parseTransactionControl(StatementKind.Commit),
		rollback: () => this.#parseTransactionControl(StatementKind.Rollback),
		abort: () => this.#parseTransactionControl(StatementKind.Rollback),
	};

	constructor(tokens: readonly Token[]) {
		this.#tokens = tokens;
	}

	parse(): Statement {
		if (this.#tokens.length === 0) {
			return {kind: StatementKind.Empty};
		}

		const keyword = this.#next().text.toLowerCase();
		const parseStatement = this.#parsers[keyword];
		const statement = parseStatement ? parseStatement() : this.#parseIgnored(keyword);
		if (this.#peek() !== endToken) {
			throw createSyntaxError(this.#peek().text);
		}

		return statement;
	}

	#peek(): Token {
		return this.#tokens[this.#offset] ?? endToken;
	}

	#next(): Token {
		const token = this.#peek();
		this.#offset++;
		return token;
	}

	/** Consumes the given words if they are the next tokens. */
	#accept(...words: readonly string[]): boolean {
		for (const [index, word] of words.entries()) {
			const token = this.#tokens[this.#offset + index] ?? endToken;
			if (token.kind === TokenKind.Text || token.text.toLowerCase() !== word) {
				return false;
			}
		}

		this.#offset += words.length;
		return true;
	}

	#expect(...words: readonly string[]): void {
		if (!this.#accept(...words)) {
			throw createSyntaxError(this.#peek().text);
		}
	}

	#parseName(): string {
		const token = this.#next();
		if (token.kind !== TokenKind.Word) {
			throw createSyntaxError(token.text);
		}

		return token.text.toLowerCase();
	}

	#parseList<Item>(read: () => Item): Item[] {
		const items = [read()];
		while (this.#accept(',')) {
			items.push(read());
		}

		return items;
	}

	#parseParenthesizedList<Item>(read: () => Item): Item[] {
		this.#expect('(');
		if (this.#accept(')')) {
			return [];
		}

		const items = this.#parseList(read);
		this.#expect(')');
		return items;
	}

	#parseOperand(): Operand {
		const operand = this.#parseUncastOperand();
		while (this.#accept('::')) {
			this.#parseName();
		}

		return operand;
	}

	#parseUncastOperand(): Operand {
		if (this.#accept('-')) {
			return {literal: `-${this.#next().text}`};
		}

		const token = this.#next();
		if (token.kind === TokenKind.Parameter) {
			return {parameter: Number(token.text) - 1};
		}

		if (token.kind === TokenKind.Text || token.kind === TokenKind.Number) {
			return {literal: token.text};
		}

		const constants: Readonly<Record<string, string | null>> = {null: null, true: 't', false: 'f'};
		const word = token.text.toLowerCase();
		if (word === 'now' && this.#accept('(', ')')) {
			return {literal: new Date().toISOString()};
		}

		const literal = constants[word];
		if (token.kind !== TokenKind.Word || literal === undefined) {
			throw createSyntaxError(token.text);
		}

		return {literal};
	}

	#parseExpression(): Expression {
		const token = this.#peek();
		if (token.kind !== TokenKind.Word || ['null', 'true', 'false', 'now'].includes(token.text.toLowerCase())) {
			return {operand: this.#parseOperand()};
		}

		const column = this.#parseName();
		for (const operator of ['+', '-', '||'] as const) {
			if (this.#accept(operator)) {
				return {column, operator, operand: this.#parseOperand()};
			}
		}

		return {column};
	}

	#parseConditions(): Condition[] {
		const conditions: Condition[] = [];
		if (this.#accept('where')) {
			do {
				const column = this.#parseName();
				if (this.#accept('in')) {
					conditions.push({column, operands: this.#parseParenthesizedList(() => this.#parseOperand())});
				} else {
					this.#expect('=');
					conditions.push({column, operands: [this.#parseOperand()]});
				}
			} while (this.#accept('and'));
		}

		return conditions;
	}

	#parseColumns(): string[] {
		return this.#parseList(() => {
			if (this.#accept('*')) {
				return '*';
			}

			return this.#parseName();
		});
	}

	#parseReturning(): {returning?: string[]} {
		return this.#accept('returning') ? {returning: this.#parseColumns()} : {};
	}

	#parseInsert(): Statement {
		this.#expect('into');
		const table = this.#parseName();
		const columns = this.#parseParenthesizedList(() => this.#parseName());
		this.#expect('values');
		const rows = this.#parseList(() => this.#parseParenthesizedList(() => this.#parseOperand()));
		let ignoreConflicts = false;
		if (this.#accept('on', 'conflict')) {
			if (this.#peek().text === '(') {
				this.#parseParenthesizedList(() => this.#parseName());
			}

			this.#expect('do', 'nothing');
			ignoreConflicts = true;
		}

		if (rows.some(row => row.length !== columns.length)) {
			throw new SqlError('42601', 'INSERT must have as many expressions as target columns');
		}

		return {
			kind: StatementKind.Insert, table, columns, rows, ignoreConflicts, ...this.#parseReturning(),
		};
	}

	#parseUpdate(): Statement {
		const table = this.#parseName();
		this.#expect('set');
		const assignments = this.#parseList(() => {
			const column = this.#parseName();
			this.#expect('=');
			return {column, expression: this.#parseExpression()};
		});
		const conditions = this.#parseConditions();
		return {
			kind: StatementKind.Update, table, assignments, conditions, ...this.#parseReturning(),
		};
	}

	#parseDelete(): Statement {
		this.#expect('from');
		const table = this.#parseName();
		return {
			kind: StatementKind.Delete, table, conditions: this.#parseConditions(), ...this.#parseReturning(),
		};
	}

	#parseSelect(): Statement {
		if (this.#accept('count', '(', '*', ')')) {
			if (this.#accept('as')) {
				this.#parseName();
			}

			this.#expect('from');
			return {kind: StatementKind.Count, table: this.#parseName(), conditions: this.#parseConditions()};
		}

		if (this.#accept('pg_sleep', '(')) {
			const seconds = this.#parseOperand();
			this.#expect(')');
			return {kind: StatementKind.Sleep, seconds};
		}

		const token = this.#peek();
		const isConstant = token.kind !== TokenKind.Word || ['null', 'true', 'false', 'now'].includes(token.text.toLowerCase());
		if (isConstant && token.text !== '*') {
			return this.#parseConstant();
		}

		return this.#parseQuery();
	}

	#parseConstant(): Statement {
		const operand = this.#parseOperand();
		const name = this.#accept('as') ? this.#parseName() : '?column?';
		return {kind: StatementKind.Constant, operand, name};
	}

	#parseQuery(): Statement {
		const columns = this.#parseColumns();
		this.#expect('from');
		const table = this.#parseName();
		if (table.startsWith('tarragon_') && this.#peek().text === '(') {
			return {kind: StatementKind.Control, name: table, operands: this.#parseParenthesizedList(() => this.#parseOperand())};
		}

		const conditions = this.#parseConditions();
		let orderBy: {column: string; isDescending: boolean} | undefined;
		if (this.#accept('order', 'by')) {
			orderBy = {column: this.#parseName(), isDescending: this.#accept('desc')};
			this.#accept('asc');
		}

		const limit = this.#accept('limit') ? Number(this.#next().text) : undefined;
		return {
			kind: StatementKind.Select, table, columns, conditions, ...(orderBy && {orderBy}), ...(limit !== undefined && {limit}), forUpdate: this.#accept('for', 'update'),
		};
	}

	#parseTransactionControl(kind: StatementKind.Begin | StatementKind.Commit | StatementKind.Rollback): Statement {
		// Isolation levels and access modes are accepted but have no effect.
		this.#offset = this.#tokens.length;
		return {kind};
	}

	#parseIgnored(keyword: string): Statement {
		const object = this.#peek().text.toUpperCase();
		const tags: Readonly<Record<string, string>> = {
			set: 'SET', reset: 'RESET', discard: 'DISCARD ALL', deallocate: 'DEALLOCATE', create: `CREATE ${object}`, drop: `DROP ${object}`,
		};
		const tag = tags[keyword];
		if (tag === undefined) {
			throw createSyntaxError(keyword);
		}

		this.#offset = this.#tokens.length;
		return {kind: StatementKind.Ignored, tag};
	}
}

/**
 * Parses a query string.
 *
 * @param sql - Statements separated by semicolons.
 * @returns The statements; a single empty statement if the query contains none.
 */
export function parseStatements(sql: string): Statement[] {
	const serviceMilliseconds = serviceTimePattern.exec(sql)?.groups?.milliseconds;
	const statements = tokenize(sql).filter(tokens => tokens.length > 0).map(tokens => new StatementParser(tokens).parse());
	if (statements.length === 0) {
		return [{kind: StatementKind.Empty}];
	}

	// The service time applies to the query as a whole, so only the first statement other than BEGIN gets it.
	const timedIndex = Math.max(0, statements.findIndex(statement => statement.kind !== StatementKind.Begin));
	return serviceMilliseconds === undefined ? statements : statements.map((statement, index) => ({...statement, serviceMilliseconds: index === timedIndex ? Number(serviceMilliseconds) : 0}));
}
