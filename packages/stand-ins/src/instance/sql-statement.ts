/** Column value in text format. */
export type Value = string | null;

/** Statement kind. */
export enum StatementKind {
	Insert = 'insert',
	Update = 'update',
	Delete = 'delete',
	Select = 'select',
	Count = 'count',
	Constant = 'constant',
	Sleep = 'sleep',
	Begin = 'begin',
	Commit = 'commit',
	Rollback = 'rollback',
	Control = 'control',
	/** Accepted without effect: SET, CREATE TABLE and the like. */
	Ignored = 'ignored',
	Empty = 'empty',
}

/** Operand of an expression: a literal or the zero-based index of a parameter. */
export type Operand = {readonly literal: Value} | {readonly parameter: number};

/** Assigned expression: an operand, a column, or a column with an operand added, subtracted or appended. */
export type Expression = {
	readonly column?: string;
	readonly operator?: '+' | '-' | '||';
	readonly operand?: Operand;
};

/** Condition that a column equals any of the operands. */
export type Condition = {
	readonly column: string;
	readonly operands: readonly Operand[];
};

type StatementBase = {
	/** Service time from a `service_ms` comment in the query, in milliseconds. */
	readonly serviceMilliseconds?: number;
};

type InsertStatement = {
	readonly kind: StatementKind.Insert;
	readonly table: string;
	readonly columns: readonly string[];
	readonly rows: ReadonlyArray<readonly Operand[]>;
	readonly ignoreConflicts: boolean;
	readonly returning?: readonly string[];
};

type UpdateStatement = {
	readonly kind: StatementKind.Update;
	readonly table: string;
	readonly assignments: ReadonlyArray<{readonly column: string; readonly expression: Expression}>;
	readonly conditions: readonly Condition[];
	readonly returning?: readonly string[];
};

type DeleteStatement = {
	readonly kind: StatementKind.Delete;
	readonly table: string;
	readonly conditions: readonly Condition[];
	readonly returning?: readonly string[];
};

type SelectStatement = {
	readonly kind: StatementKind.Select;
	readonly table: string;
	readonly columns: readonly string[];
	readonly conditions: readonly Condition[];
	/** Numbers are ordered by value, other texts by UTF-16 code units. */
	readonly orderBy?: {readonly column: string; readonly isDescending: boolean};
	readonly limit?: number;
	readonly forUpdate: boolean;
};

/** Parsed statement. */
export type Statement = StatementBase & (
	| InsertStatement
	| UpdateStatement
	| DeleteStatement
	| SelectStatement
	| {readonly kind: StatementKind.Count; readonly table: string; readonly conditions: readonly Condition[]}
	| {readonly kind: StatementKind.Constant; readonly operand: Operand; readonly name: string}
	| {readonly kind: StatementKind.Sleep; readonly seconds: Operand}
	| {readonly kind: StatementKind.Begin | StatementKind.Commit | StatementKind.Rollback | StatementKind.Empty}
	| {readonly kind: StatementKind.Control; readonly name: string; readonly operands: readonly Operand[]}
	| {readonly kind: StatementKind.Ignored; readonly tag: string}
);
