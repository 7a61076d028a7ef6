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
const servicePattern = /\/\*[^*]*service_ms\s*=\s*'?(?<milliseconds>\d+(?:\.\d+)?)'?[^*]*\*\//v;

function syntaxError(text: string): SqlError {
	return new SqlError('42601', `syntax error at or near "${text}"`);
}

function tokenize(sql: string): Token[][] {
	const statements: Token[][] = [[]];
	const pattern = new RegExp(tokenPattern.source, tokenPattern.flags);
	while (pattern.lastIndex < sql.length) {
		const offset = pattern.lastIndex;
		const groups = pattern.exec(sql)?.groups;
		if (!groups) {
			throw syntaxError(sql.slice(offset, offset + 10));
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

const end: Token = {kind: TokenKind.End, text: 'end of input'};

/** Parser of one statement of the small SQL subset. */
class StatementParser {
	readonly #tokens: readonly Token[];
	#offset = 0;

	readonly #handlers: Readonly<Record<string, () => Statement>> = {
		insert: () => this.#insert(),
		update: () => this.#update(),
		delete: () => this.#delete(),
		select: () => this.#select(),
		begin: () => this.#transaction(StatementKind.Begin),
		start: () => this.#transaction(StatementKind.Begin),
		commit: () => this.#transaction(StatementKind.Commit),
		end: () => this.#transaction(StatementKind.Commit),
		rollback: () => this.#transaction(StatementKind.Rollback),
		abort: () => this.#transaction(StatementKind.Rollback),
	};

	constructor(tokens: readonly Token[]) {
		this.#tokens = tokens;
	}

	parse(): Statement {
		if (this.#tokens.length === 0) {
			return {kind: StatementKind.Empty};
		}

		const keyword = this.#next().text.toLowerCase();
		const handler = this.#handlers[keyword];
		const statement = handler ? handler() : this.#ignore(keyword);
		if (this.#peek() !== end) {
			throw syntaxError(this.#peek().text);
		}

		return statement;
	}

	#peek(): Token {
		return this.#tokens[this.#offset] ?? end;
	}

	#next(): Token {
		const token = this.#peek();
		this.#offset++;
		return token;
	}

	/** Consumes the words if all of them follow. */
	#take(...words: readonly string[]): boolean {
		for (const [index, word] of words.entries()) {
			const token = this.#tokens[this.#offset + index] ?? end;
			if (token.kind === TokenKind.Text || token.text.toLowerCase() !== word) {
				return false;
			}
		}

		this.#offset += words.length;
		return true;
	}

	#expect(...words: readonly string[]): void {
		if (!this.#take(...words)) {
			throw syntaxError(this.#peek().text);
		}
	}

	#name(): string {
		const token = this.#next();
		if (token.kind !== TokenKind.Word) {
			throw syntaxError(token.text);
		}

		return token.text.toLowerCase();
	}

	#list<Item>(read: () => Item): Item[] {
		const items = [read()];
		while (this.#take(',')) {
			items.push(read());
		}

		return items;
	}

	#parenthesized<Item>(read: () => Item): Item[] {
		this.#expect('(');
		if (this.#take(')')) {
			return [];
		}

		const items = this.#list(read);
		this.#expect(')');
		return items;
	}

	#operand(): Operand {
		const operand = this.#bareOperand();
		while (this.#take('::')) {
			this.#name();
		}

		return operand;
	}

	#bareOperand(): Operand {
		if (this.#take('-')) {
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
		if (word === 'now' && this.#take('(', ')')) {
			return {literal: new Date().toISOString()};
		}

		const literal = constants[word];
		if (token.kind !== TokenKind.Word || literal === undefined) {
			throw syntaxError(token.text);
		}

		return {literal};
	}

	#expression(): Expression {
		const token = this.#peek();
		if (token.kind !== TokenKind.Word || ['null', 'true', 'false', 'now'].includes(token.text.toLowerCase())) {
			return {operand: this.#operand()};
		}

		const column = this.#name();
		for (const operator of ['+', '-', '||'] as const) {
			if (this.#take(operator)) {
				return {column, operator, operand: this.#operand()};
			}
		}

		return {column};
	}

	#conditions(): Condition[] {
		const conditions: Condition[] = [];
		if (this.#take('where')) {
			do {
				const column = this.#name();
				if (this.#take('in')) {
					conditions.push({column, operands: this.#parenthesized(() => this.#operand())});
				} else {
					this.#expect('=');
					conditions.push({column, operands: [this.#operand()]});
				}
			} while (this.#take('and'));
		}

		return conditions;
	}

	#columns(): string[] {
		return this.#list(() => {
			if (this.#take('*')) {
				return '*';
			}

			return this.#name();
		});
	}

	#returning(): {returning?: string[]} {
		return this.#take('returning') ? {returning: this.#columns()} : {};
	}

	#insert(): Statement {
		this.#expect('into');
		const table = this.#name();
		const columns = this.#parenthesized(() => this.#name());
		this.#expect('values');
		const rows = this.#list(() => this.#parenthesized(() => this.#operand()));
		let ignoreConflicts = false;
		if (this.#take('on', 'conflict')) {
			if (this.#peek().text === '(') {
				this.#parenthesized(() => this.#name());
			}

			this.#expect('do', 'nothing');
			ignoreConflicts = true;
		}

		if (rows.some(row => row.length !== columns.length)) {
			throw new SqlError('42601', 'INSERT has another number of expressions than target columns');
		}

		return {
			kind: StatementKind.Insert, table, columns, rows, ignoreConflicts, ...this.#returning(),
		};
	}

	#update(): Statement {
		const table = this.#name();
		this.#expect('set');
		const assignments = this.#list(() => {
			const column = this.#name();
			this.#expect('=');
			return {column, expression: this.#expression()};
		});
		const conditions = this.#conditions();
		return {
			kind: StatementKind.Update, table, assignments, conditions, ...this.#returning(),
		};
	}

	#delete(): Statement {
		this.#expect('from');
		const table = this.#name();
		return {
			kind: StatementKind.Delete, table, conditions: this.#conditions(), ...this.#returning(),
		};
	}

	#select(): Statement {
		if (this.#take('count', '(', '*', ')')) {
			if (this.#take('as')) {
				this.#name();
			}

			this.#expect('from');
			return {kind: StatementKind.Count, table: this.#name(), conditions: this.#conditions()};
		}

		if (this.#take('pg_sleep', '(')) {
			const seconds = this.#operand();
			this.#expect(')');
			return {kind: StatementKind.Sleep, seconds};
		}

		const token = this.#peek();
		const isConstant = token.kind !== TokenKind.Word || ['null', 'true', 'false', 'now'].includes(token.text.toLowerCase());
		if (isConstant && token.text !== '*') {
			return this.#constant();
		}

		return this.#query();
	}

	#constant(): Statement {
		const operand = this.#operand();
		const name = this.#take('as') ? this.#name() : '?column?';
		return {kind: StatementKind.Constant, operand, name};
	}

	#query(): Statement {
		const columns = this.#columns();
		this.#expect('from');
		const table = this.#name();
		if (table.startsWith('tarragon_') && this.#peek().text === '(') {
			return {kind: StatementKind.Control, name: table, operands: this.#parenthesized(() => this.#operand())};
		}

		const conditions = this.#conditions();
		let orderBy: {column: string; isDescending: boolean} | undefined;
		if (this.#take('order', 'by')) {
			orderBy = {column: this.#name(), isDescending: this.#take('desc')};
			this.#take('asc');
		}

		const limit = this.#take('limit') ? Number(this.#next().text) : undefined;
		return {
			kind: StatementKind.Select, table, columns, conditions, ...(orderBy && {orderBy}), ...(limit !== undefined && {limit}), forUpdate: this.#take('for', 'update'),
		};
	}

	#transaction(kind: StatementKind.Begin | StatementKind.Commit | StatementKind.Rollback): Statement {
		// Isolation levels and access modes make no difference here.
		this.#offset = this.#tokens.length;
		return {kind};
	}

	#ignore(keyword: string): Statement {
		const object = this.#peek().text.toUpperCase();
		const tags: Readonly<Record<string, string>> = {
			set: 'SET', reset: 'RESET', discard: 'DISCARD ALL', deallocate: 'DEALLOCATE', create: `CREATE ${object}`, drop: `DROP ${object}`,
		};
		const tag = tags[keyword];
		if (tag === undefined) {
			throw syntaxError(keyword);
		}

		this.#offset = this.#tokens.length;
		return {kind: StatementKind.Ignored, tag};
	}
}

/**
 * Parses the statements of a query string.
 *
 * @param sql - Statements, separated by semicolons.
 * @returns At least one statement; a single empty one when there is none.
 */
export function parseStatements(sql: string): Statement[] {
	const service = servicePattern.exec(sql)?.groups?.milliseconds;
	const statements = tokenize(sql).filter(tokens => tokens.length > 0).map(tokens => new StatementParser(tokens).parse());
	if (statements.length === 0) {
		return [{kind: StatementKind.Empty}];
	}

	// The service time belongs to the query as a whole, so the first statement that does work carries it.
	const carrier = Math.max(0, statements.findIndex(statement => statement.kind !== StatementKind.Begin));
	return service === undefined ? statements : statements.map((statement, index) => ({...statement, serviceMilliseconds: index === carrier ? Number(service) : 0}));
}
