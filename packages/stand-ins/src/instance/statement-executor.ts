import {type TimerService} from '@tarragonstack/core';
import {type InstanceFaults} from './instance-options.js';
import {InstanceRole, type InstanceState} from './instance-state.js';
import {type LockManager} from './lock-manager.js';
import {type ServiceTimeSampler} from './service-time-sampler.js';
import {type SlotPool} from './slot-pool.js';
import {SqlError} from './sql-error.js';
import {
	StatementKind, type Condition, type Expression, type Operand, type Statement, type Value,
} from './sql-statement.js';
import {type Row, type RowChange} from './table-store.js';
import {Transaction} from './transaction.js';

/** OIDs of the PostgreSQL types in use. */
export enum TypeOid {
	Bool = 16,
	Int8 = 20,
	Int4 = 23,
	Text = 25,
}

/** Result column. */
export type ResultColumn = {
	readonly name: string;
	readonly type: TypeOid;
};

/** Statement result. */
export type StatementResult = {
	readonly columns?: readonly ResultColumn[];
	readonly rows: ReadonlyArray<readonly Value[]>;
	/** Command tag of the CommandComplete message. */
	readonly tag: string;
};

/** Execution context of a statement. */
export type ExecutionContext = {
	readonly transaction: Transaction;
	readonly parameters: readonly Value[];
	readonly signal: AbortSignal;
};

/** Components of the instance that an executor uses. */
export type ExecutorOptions = {
	readonly state: InstanceState;
	readonly locks: LockManager;
	readonly slots: SlotPool;
	readonly serviceTimes: ServiceTimeSampler;
	readonly faults: InstanceFaults;
	readonly timerService: TimerService;
	/** Runs a control function. It occupies no slot, so that a busy instance still reports its status. */
	readonly runControlFunction: (name: string, argumentValues: readonly Value[]) => Promise<StatementResult>;
	/** Returns the result columns of a control function. */
	readonly describeControlFunction: (name: string) => readonly ResultColumn[];
};

type StatementOfKind<Kind extends StatementKind> = Extract<Statement, {kind: Kind}>;
type Handler = (statement: never, context: ExecutionContext) => Promise<StatementResult>;

const writeKinds = new Set([StatementKind.Insert, StatementKind.Update, StatementKind.Delete]);
const slotOccupyingKinds = new Set([...writeKinds, StatementKind.Select, StatementKind.Count, StatementKind.Constant, StatementKind.Sleep]);

function evaluateOperand(operand: Operand, parameters: readonly Value[]): Value {
	if ('literal' in operand) {
		return operand.literal;
	}

	const value = parameters[operand.parameter];
	if (value === undefined) {
		throw new SqlError('08P01', `no value for parameter $${operand.parameter + 1}`);
	}

	return value;
}

function evaluateExpression(expression: Expression, row: Row, parameters: readonly Value[]): Value {
	const operand = expression.operand && evaluateOperand(expression.operand, parameters);
	if (expression.column === undefined) {
		return operand ?? null;
	}

	const value = row[expression.column] ?? null;
	if (expression.operator === undefined || value === null || operand === null || operand === undefined) {
		return expression.operator === undefined ? value : null;
	}

	if (expression.operator === '||') {
		return value + operand;
	}

	const result = expression.operator === '+' ? Number(value) + Number(operand) : Number(value) - Number(operand);
	if (Number.isNaN(result)) {
		throw new SqlError('22P02', `invalid input syntax for a number: "${value}" ${expression.operator} "${operand}"`);
	}

	return String(result);
}

/** Orders null after all other values, as PostgreSQL does. */
function compareValues(left: Value, right: Value): number {
	if (left === null || right === null) {
		return Number(left === null) - Number(right === null);
	}

	const difference = Number(left) - Number(right);
	if (!Number.isNaN(difference)) {
		return difference;
	}

	return left < right ? -1 : Number(left > right);
}

/** Executes parsed statements. */
export class StatementExecutor {
	/** Numbers of executed statements. Reads are counted by the role of the instance at the time. */
	readonly counts = {primaryReads: 0, replicaReads: 0, writes: 0};
	readonly #options: ExecutorOptions;

	readonly #handlers: Readonly<Partial<Record<StatementKind, Handler>>> = {
		[StatementKind.Insert]: (statement: StatementOfKind<StatementKind.Insert>, context) => this.#insert(statement, context),
		[StatementKind.Update]: (statement: StatementOfKind<StatementKind.Update>, context) => this.#update(statement, context),
		[StatementKind.Delete]: (statement: StatementOfKind<StatementKind.Delete>, context) => this.#delete(statement, context),
		[StatementKind.Select]: (statement: StatementOfKind<StatementKind.Select>, context) => this.#select(statement, context),
		[StatementKind.Count]: (statement: StatementOfKind<StatementKind.Count>, context) => this.#count(statement, context),
		[StatementKind.Constant]: async (statement: StatementOfKind<StatementKind.Constant>, context) => ({
			columns: this.describe(statement)!, rows: [[evaluateOperand(statement.operand, context.parameters)]], tag: 'SELECT 1',
		}),
		[StatementKind.Sleep]: async (statement: StatementOfKind<StatementKind.Sleep>) => ({columns: this.describe(statement)!, rows: [['']], tag: 'SELECT 1'}),
		[StatementKind.Control]: (statement: StatementOfKind<StatementKind.Control>, context) =>
			this.#options.runControlFunction(statement.name, statement.operands.map(operand => evaluateOperand(operand, context.parameters))),
		[StatementKind.Ignored]: async (statement: StatementOfKind<StatementKind.Ignored>) => ({rows: [], tag: statement.tag}),
	};

	readonly #descriptions: Readonly<Partial<Record<StatementKind, (statement: never) => readonly ResultColumn[] | undefined>>> = {
		[StatementKind.Select]: (statement: StatementOfKind<StatementKind.Select>) => this.#getColumns(statement.table, statement.columns),
		[StatementKind.Insert]: (statement: StatementOfKind<StatementKind.Insert>) => statement.returning && this.#getColumns(statement.table, statement.returning),
		[StatementKind.Update]: (statement: StatementOfKind<StatementKind.Update>) => statement.returning && this.#getColumns(statement.table, statement.returning),
		[StatementKind.Delete]: (statement: StatementOfKind<StatementKind.Delete>) => statement.returning && this.#getColumns(statement.table, statement.returning),
		[StatementKind.Count]: () => [{name: 'count', type: TypeOid.Int8}],
		[StatementKind.Constant](statement: StatementOfKind<StatementKind.Constant>) {
			const isInteger = 'literal' in statement.operand && /^-?\d+$/v.test(statement.operand.literal ?? '');
			return [{name: statement.name, type: isInteger ? TypeOid.Int4 : TypeOid.Text}];
		},
		[StatementKind.Sleep]: () => [{name: 'pg_sleep', type: TypeOid.Text}],
		[StatementKind.Control]: (statement: StatementOfKind<StatementKind.Control>) => this.#options.describeControlFunction(statement.name),
	};

	/** @param options - Components of the instance. */
	constructor(options: ExecutorOptions) {
		this.#options = options;
	}

	/** Begins a transaction. */
	begin(): Transaction {
		return new Transaction(this.#options.state.epoch);
	}

	/**
	 * Commits a transaction and releases its locks, even if the commit fails.
	 *
	 * @param transaction - Transaction to commit.
	 * @returns Whether the transaction contained changes.
	 */
	commit(transaction: Transaction): boolean {
		try {
			const {changes} = transaction;
			if (changes.length > 0) {
				this.#options.state.commit(changes, transaction.epoch);
			}

			return changes.length > 0;
		} finally {
			this.#options.locks.releaseAll(transaction);
		}
	}

	/**
	 * Rolls back a transaction and releases its locks.
	 *
	 * @param transaction - Transaction to roll back.
	 */
	rollback(transaction: Transaction): void {
		this.#options.locks.releaseAll(transaction);
	}

	/**
	 * Executes a statement that is not a transaction control statement.
	 *
	 * @param statement - Statement to execute.
	 * @param context - Transaction, parameter values and cancel signal.
	 */
	async execute(statement: Statement, context: ExecutionContext): Promise<StatementResult> {
		if (writeKinds.has(statement.kind) || (statement.kind === StatementKind.Select && statement.forUpdate)) {
			this.#checkWritable(context.transaction);
		}

		const handler = this.#handlers[statement.kind];
		if (!handler) {
			throw new SqlError('0A000', `statement kind "${statement.kind}" is not supported`);
		}

		await this.#acquireRowLocks(statement, context);
		await this.#simulateServiceTime(statement, context);
		const result = await handler(statement as never, context);
		this.#countStatement(statement.kind);
		return result;
	}

	/**
	 * Returns the result columns of a statement, or `undefined` if it returns no rows.
	 *
	 * @param statement - Statement to describe.
	 */
	describe(statement: Statement): readonly ResultColumn[] | undefined {
		return this.#descriptions[statement.kind]?.(statement as never);
	}

	#countStatement(kind: StatementKind): void {
		if (writeKinds.has(kind)) {
			this.counts.writes++;
		} else if (kind === StatementKind.Select || kind === StatementKind.Count) {
			if (this.#options.state.role === InstanceRole.Primary) {
				this.counts.primaryReads++;
			} else {
				this.counts.replicaReads++;
			}
		}
	}

	#checkWritable(transaction: Transaction): void {
		const {state} = this.#options;
		if (state.role !== InstanceRole.Primary || transaction.epoch !== state.epoch) {
			throw new SqlError('25006', 'cannot execute the statement in a read-only transaction');
		}
	}

	/** Acquires the row locks before a slot, so that a blocked writer does not occupy a slot that the lock holder needs. */
	async #acquireRowLocks(statement: Statement, context: ExecutionContext): Promise<void> {
		for (const key of this.#getLockedKeys(statement, context)) {
			await this.#options.locks.acquire(context.transaction, `${(statement as {table: string}).table}/${key}`, context.signal);
		}
	}

	#getLockedKeys(statement: Statement, context: ExecutionContext): string[] {
		if (statement.kind === StatementKind.Insert) {
			return this.#getInsertedRows(statement, context).map(({key}) => key);
		}

		const locksRows = statement.kind === StatementKind.Update || statement.kind === StatementKind.Delete
			|| (statement.kind === StatementKind.Select && statement.forUpdate);
		return locksRows ? this.#findRows(statement.table, statement.conditions, context).map(([key]) => key) : [];
	}

	async #simulateServiceTime(statement: Statement, context: ExecutionContext): Promise<void> {
		if (!slotOccupyingKinds.has(statement.kind)) {
			return;
		}

		const {slots, serviceTimes, faults, timerService} = this.#options;
		using _slot = await slots.acquire(context.signal);
		const milliseconds = statement.kind === StatementKind.Sleep
			? Number(evaluateOperand(statement.seconds, context.parameters)) * 1000
			: (statement.serviceMilliseconds ?? serviceTimes.sample()) * faults.serviceTimeFactor;
		if (milliseconds > 0) {
			await timerService.sleep(milliseconds, context.signal);
		}

		if (context.signal.aborted) {
			throw new SqlError('57014', 'canceling statement due to user request');
		}
	}

	#getPrimaryKey(table: string): string | undefined {
		return this.#options.state.log.tables.getPrimaryKey(table);
	}

	#getColumns(table: string, names: readonly string[]): ResultColumn[] {
		return names
			.flatMap(name => name === '*' ? this.#options.state.log.tables.getColumns(table) : [name])
			.map(name => ({name, type: TypeOid.Text}));
	}

	#project(columns: readonly ResultColumn[], rows: readonly Row[]): Value[][] {
		return rows.map(row => columns.map(column => row[column.name] ?? null));
	}

	#getRow(table: string, key: string, transaction: Transaction): Row | undefined {
		const change = transaction.getChanges(table).get(key);
		return change ? change.row : this.#options.state.log.tables.getRow(table, key);
	}

	#findRows(table: string, conditions: readonly Condition[], context: ExecutionContext): Array<[string, Row]> {
		const {transaction, parameters} = context;
		const filters = conditions.map(({column, operands}) => ({column, values: new Set(operands.map(operand => evaluateOperand(operand, parameters)))}));
		const primaryKey = this.#getPrimaryKey(table) ?? 'id';
		const keyFilter = filters.find(({column}) => column === primaryKey);
		const keys = keyFilter
			? [...keyFilter.values]
			: new Set([...this.#options.state.log.tables.getRows(table).keys(), ...transaction.getChanges(table).keys()]);
		const found: Array<[string, Row]> = [];
		for (const key of keys) {
			const row = key === null ? undefined : this.#getRow(table, key, transaction);
			if (row && filters.every(({column, values}) => (row[column] ?? null) !== null && values.has(row[column]!))) {
				found.push([key!, row]);
			}
		}

		return found;
	}

	#getInsertedRows(statement: StatementOfKind<StatementKind.Insert>, context: ExecutionContext): Array<{primaryKey: string; key: string; row: Row}> {
		const primaryKey = this.#getPrimaryKey(statement.table) ?? (statement.columns.includes('id') ? 'id' : statement.columns[0]!);
		return statement.rows.map(operands => {
			const row = Object.fromEntries(statement.columns.map((column, index) => [column, evaluateOperand(operands[index]!, context.parameters)]));
			const key = row[primaryKey] ?? null;
			if (key === null) {
				throw new SqlError('23502', `null value in column "${primaryKey}" of relation "${statement.table}" violates not-null constraint`);
			}

			return {primaryKey, key, row};
		});
	}

	async #insert(statement: StatementOfKind<StatementKind.Insert>, context: ExecutionContext): Promise<StatementResult> {
		const inserted: RowChange[] = [];
		for (const {primaryKey, key, row} of this.#getInsertedRows(statement, context)) {
			if (!this.#getRow(statement.table, key, context.transaction)) {
				const change = {
					table: statement.table, primaryKey, key, row,
				};
				inserted.push(change);
				context.transaction.add(change);
			} else if (!statement.ignoreConflicts) {
				throw new SqlError('23505', `duplicate key value violates unique constraint "${statement.table}_pkey": (${primaryKey})=(${key})`);
			}
		}

		return this.#finishWrite('INSERT 0', statement, inserted.map(({row}) => row!));
	}

	async #update(statement: StatementOfKind<StatementKind.Update>, context: ExecutionContext): Promise<StatementResult> {
		const updated: Row[] = [];
		for (const [key, row] of this.#findRows(statement.table, statement.conditions, context)) {
			const assigned = statement.assignments.map(({column, expression}) => [column, evaluateExpression(expression, row, context.parameters)]);
			const newRow = {...row, ...Object.fromEntries(assigned) as Row};
			updated.push(newRow);
			context.transaction.add({
				table: statement.table, primaryKey: this.#getPrimaryKey(statement.table) ?? 'id', key, row: newRow,
			});
		}

		return this.#finishWrite('UPDATE', statement, updated);
	}

	async #delete(statement: StatementOfKind<StatementKind.Delete>, context: ExecutionContext): Promise<StatementResult> {
		const deleted = this.#findRows(statement.table, statement.conditions, context);
		for (const [key] of deleted) {
			context.transaction.add({table: statement.table, primaryKey: this.#getPrimaryKey(statement.table) ?? 'id', key});
		}

		return this.#finishWrite('DELETE', statement, deleted.map(([, row]) => row));
	}

	#finishWrite(command: string, statement: Statement & {returning?: readonly string[]; table: string}, rows: readonly Row[]): StatementResult {
		const columns = this.describe(statement);
		return {...(columns && {columns}), rows: columns ? this.#project(columns, rows) : [], tag: `${command} ${rows.length}`};
	}

	async #select(statement: StatementOfKind<StatementKind.Select>, context: ExecutionContext): Promise<StatementResult> {
		const columns = this.describe(statement)!;
		let rows = this.#findRows(statement.table, statement.conditions, context).map(([, row]) => row);
		if (statement.orderBy) {
			const {column, isDescending} = statement.orderBy;
			const sign = isDescending ? -1 : 1;
			rows = rows.toSorted((left, right) => sign * compareValues(left[column] ?? null, right[column] ?? null));
		}

		rows = rows.slice(0, statement.limit);
		return {columns, rows: this.#project(columns, rows), tag: `SELECT ${rows.length}`};
	}

	async #count(statement: StatementOfKind<StatementKind.Count>, context: ExecutionContext): Promise<StatementResult> {
		const count = this.#findRows(statement.table, statement.conditions, context).length;
		return {columns: this.describe(statement)!, rows: [[String(count)]], tag: 'SELECT 1'};
	}
}
