import {TransactionStatus} from '@tarragonstack/core/request/transaction-status';
import {type Result} from 'neverthrow';
import {type CallerAccess, type CallerCredentials, findAccess} from '../request/caller-access.js';
import {type SessionWritePosition} from '../request/primary-position-history.js';
import {createStatementTrace} from '../request/statement-trace.js';
import {StatementErrorCode} from '../request/statement-error-code.js';
import {StatementKind} from '../request/statement-kind.js';
import {type StatementError, type StatementResult} from '../request/statement-result.js';
import {type PreparedDefinition, type Statement} from '../request/statement.js';
import {type Route, type Workspace} from '../version/deployment-configuration.js';
import {type SessionContext} from './pooled-connection.js';
import {type SessionServices} from './session-services.js';
import {type SessionTransaction} from './session-transaction.js';
import {createErrorResult, type PinnedConnection} from './statement-runner.js';
import {rollBackAndRelease} from './roll-back-and-release.js';

const stoppingReason = 'the host is stopping';

/** Times after which the host rolls back an open transaction, in milliseconds. */
export type TransactionLimits = {
	readonly idleTransactionMilliseconds: number;
	/** Time since the host noticed that the API key of the client was withdrawn. */
	readonly withdrawnKeyMilliseconds: number;
};

/** Session of one client: its values, prepared statements, open transaction and position for reading its own writes. */
export class ClientSession implements Disposable {
	readonly #credentials: CallerCredentials;
	readonly #services: SessionServices;
	readonly #values = new Map<string, string>();
	readonly #prepared = new Map<string, PreparedDefinition>();
	readonly #handlers: Readonly<Record<StatementKind, (statement: Statement) => StatementResult | Promise<StatementResult>>> = {
		[StatementKind.SetValue]: statement => this.#setValue(statement),
		[StatementKind.Prepare]: statement => this.#prepare(statement),
		[StatementKind.Deallocate]: statement => this.#deallocate(statement),
		[StatementKind.Begin]: () => this.#begin('read-write'),
		[StatementKind.BeginReadOnly]: () => this.#begin('read-only'),
		[StatementKind.Rollback]: () => this.#rollback(),
		[StatementKind.Commit]: statement => this.#commit(statement),
		[StatementKind.Read]: statement => this.#runDataStatement(statement),
		[StatementKind.Write]: statement => this.#runDataStatement(statement),
		[StatementKind.Execute]: statement => this.#runDataStatement(statement),
	};

	#transaction: SessionTransaction | undefined;
	#lastWrite: SessionWritePosition | undefined;
	#lastWriteGroup = '';
	#disposed = false;
	#running = false;
	#refusesTransactions = false;
	#isAccessDenied = false;
	#trace = createStatementTrace();

	/**
	 * @param credentials - Database that the client requested, which selects the route, and its API key.
	 * @param services - Services of the host.
	 */
	constructor(credentials: CallerCredentials, services: SessionServices) {
		this.#credentials = credentials;
		this.#services = services;
	}

	/** Whether an operation was refused because the API key was withdrawn. The connection is closed then. */
	get isAccessDenied(): boolean {
		return this.#isAccessDenied;
	}

	/** Whether the client is inside a transaction. */
	get isInTransaction(): boolean {
		return this.#transaction !== undefined;
	}

	/**
	 * Executes one statement. The statements of a session are executed sequentially.
	 *
	 * @param statement - Statement to execute.
	 */
	async execute(statement: Statement): Promise<StatementResult> {
		if (this.#transaction?.failed && statement.kind !== StatementKind.Commit && statement.kind !== StatementKind.Rollback) {
			return this.#refuseInFailedTransaction(this.#transaction);
		}

		this.#running = true;
		const startedAt = this.#services.timer.now();
		this.#trace = createStatementTrace();
		try {
			const result = await this.#handlers[statement.kind](statement);
			this.#recordStatement(statement, result, startedAt);
			return result;
		} finally {
			this.#running = false;
			if (this.#disposed) {
				this.#endTransaction();
			} else if (this.#refusesTransactions) {
				this.#abortTransaction(stoppingReason);
			}
		}
	}

	/**
	 * Rolls back the open transaction as soon as no statement is running, and refuses further transactions, because the host
	 * stops. The client is told by the answer to its next statement.
	 */
	refuseTransactions(): void {
		this.#refusesTransactions = true;
		if (!this.#running) {
			this.#abortTransaction(stoppingReason);
		}
	}

	/**
	 * Rolls back the open transaction if it has been idle for too long, or if the API key was withdrawn some time ago. Called
	 * periodically.
	 */
	rollBackIfDue(now: number, limits: TransactionLimits): void {
		const transaction = this.#transaction;
		if (transaction?.workspace) {
			this.#rollBackWithoutAccess(transaction, now, limits.withdrawnKeyMilliseconds);
		}

		const {idleTransactionMilliseconds} = limits;
		if (transaction?.pinned && !this.#running && now - transaction.lastUsedAt > idleTransactionMilliseconds) {
			this.#services.log.write('transaction-idle', {group: transaction.route.group, idleMilliseconds: Math.round(now - transaction.lastUsedAt)});
			this.#abortTransaction('the transaction was idle for too long');
		}
	}

	/** Rolls back an open transaction after the client has disconnected. */
	[Symbol.dispose](): void {
		this.#disposed = true;
		if (!this.#running) {
			this.#endTransaction();
		}
	}

	#rollBackWithoutAccess(transaction: SessionTransaction, now: number, graceMilliseconds: number): void {
		if (this.#findAccess().isOk()) {
			delete transaction.accessLostAt;
			return;
		}

		transaction.accessLostAt ??= now;
		if (!transaction.failed && !this.#running && now - transaction.accessLostAt > graceMilliseconds) {
			this.#services.log.write('transaction-access-withdrawn', {group: transaction.route.group, workspace: transaction.workspace?.name});
			this.#abortTransaction('the API key was withdrawn');
		}
	}

	#recordStatement(statement: Statement, result: StatementResult, startedAt: number): void {
		const access = this.#transaction ?? this.#findAccess().unwrapOr(undefined);
		const isLocal = result.completion === '-' && !result.error;
		if (access && !isLocal) {
			this.#services.recorder.record({
				statement, result, startedAt, database: this.#credentials.database, route: access.route, workspace: access.workspace,
				isInTransaction: this.#transaction !== undefined, trace: this.#trace,
			});
		}
	}

	#setValue({name, value}: Statement): StatementResult {
		this.#values.set(name!, value!);
		return this.#createLocalResult();
	}

	#prepare({name, definition}: Statement): StatementResult {
		this.#prepared.set(name!, definition!);
		return this.#createLocalResult();
	}

	#deallocate({name}: Statement): StatementResult {
		return this.#prepared.delete(name!)
			? this.#createLocalResult()
			: createErrorResult(StatementErrorCode.UnknownPreparedStatement, name!, this.status);
	}

	#begin(mode: SessionTransaction['mode']): StatementResult {
		if (this.#transaction) {
			return this.#createMalformedError('a transaction is already open');
		}

		if (this.#refusesTransactions) {
			return createErrorResult(StatementErrorCode.Overloaded, stoppingReason);
		}

		const access = this.#findAccess();
		if (access.isErr()) {
			return this.#refuseAccess(access.error);
		}

		// `BEGIN` is deferred until the first statement of the transaction, which saves a round trip and needs no
		// connection until then.
		const now = this.#services.timer.now();
		this.#transaction = {mode, ...access.value, beganAt: now, hasWritten: false, lastUsedAt: now, failed: false};
		return this.#createLocalResult();
	}

	#rollback(): StatementResult {
		this.#endTransaction();
		return this.#createLocalResult();
	}

	async #commit(statement: Statement): Promise<StatementResult> {
		const transaction = this.#transaction;
		if (!transaction) {
			return this.#createMalformedError('no transaction is open');
		}

		if (transaction.failed) {
			this.#endTransaction();
			return createErrorResult(StatementErrorCode.Aborted, transaction.unreportedReason ?? 'the transaction was rolled back');
		}

		const result = transaction.pinned
			? await this.#runPinned(statement, transaction, transaction.pinned)
			: await this.#runFirstInTransaction(statement, transaction);
		if (result.error) {
			this.#endTransaction();
			return {...result, status: TransactionStatus.Idle};
		}

		this.#releasePinned(transaction);
		this.#transaction = undefined;
		return result;
	}

	async #runDataStatement(statement: Statement): Promise<StatementResult> {
		const definition = statement.kind === StatementKind.Execute ? this.#prepared.get(statement.name!) : undefined;
		if (statement.kind === StatementKind.Execute && !definition) {
			return createErrorResult(StatementErrorCode.UnknownPreparedStatement, statement.name!, this.status);
		}

		const transaction = this.#transaction;
		if (!transaction) {
			return this.#runAutocommit(statement, definition);
		}

		const result = transaction.pinned
			? await this.#runPinned(statement, transaction, transaction.pinned, definition)
			: await this.#runFirstInTransaction(statement, transaction, definition);
		transaction.hasWritten ||= isWrite(statement, definition);
		transaction.lastUsedAt = this.#services.timer.now();
		if (result.error) {
			this.#rollBackPinned(transaction);
			transaction.failed = true;
			return {...result, status: TransactionStatus.Failed};
		}

		return result;
	}

	async #runAutocommit(statement: Statement, definition?: PreparedDefinition): Promise<StatementResult> {
		const access = this.#findAccess();
		if (access.isErr()) {
			return this.#refuseAccess(access.error);
		}

		const {route, workspace} = access.value;
		const group = this.#services.getGroup(route.group);
		if (!group) {
			return createErrorResult(StatementErrorCode.UnknownDatabase, this.#credentials.database);
		}

		const {result, reign} = await this.#services.runner.run({
			statement, route, group, context: this.#createContext(workspace), arrivedAt: this.#services.timer.now(), trace: this.#trace,
			...(definition && {definition}), ...this.#getLastWrite(route),
		});
		if (!result.error && reign !== undefined && isWrite(statement, definition)) {
			this.#recordLastWrite(route, result, reign);
		}

		return result;
	}

	async #runFirstInTransaction(statement: Statement, transaction: SessionTransaction, definition?: PreparedDefinition): Promise<StatementResult> {
		const {route, workspace, mode, beganAt} = transaction;
		const group = this.#services.getGroup(route.group);
		if (!group) {
			return createErrorResult(StatementErrorCode.UnknownDatabase, this.#credentials.database);
		}

		const {result, pinned} = await this.#services.runner.run({
			statement, begin: mode, route, group, context: this.#createContext(workspace), arrivedAt: beganAt, trace: this.#trace,
			...(definition && {definition}), ...this.#getLastWrite(route),
		});
		if (pinned) {
			transaction.pinned = pinned;
		}

		return result;
	}

	async #runPinned(statement: Statement, transaction: SessionTransaction, pinned: PinnedConnection, definition?: PreparedDefinition): Promise<StatementResult> {
		const result = await this.#services.pinnedRunner.run(transaction, pinned, {
			statement, definition, context: this.#createContext(transaction.workspace), trace: this.#trace,
		});
		if (!result.error && statement.kind === StatementKind.Commit && transaction.hasWritten && pinned.reign !== undefined) {
			this.#recordLastWrite(transaction.route, result, pinned.reign);
		}

		return result;
	}

	#createContext(workspace: Workspace | undefined): SessionContext {
		return {values: this.#values, ...(workspace && {workspace: workspace.name, workspacePriority: workspace.priority})};
	}

	#getLastWrite(route: Route): {lastWrite?: SessionWritePosition} {
		return this.#lastWrite && this.#lastWriteGroup === route.group ? {lastWrite: this.#lastWrite} : {};
	}

	#recordLastWrite(route: Route, {position}: StatementResult, reign: number): void {
		if (position) {
			this.#lastWrite = {position, reign, at: this.#services.timer.now()};
			this.#lastWriteGroup = route.group;
		}
	}

	#findAccess(): Result<CallerAccess, StatementError> {
		return findAccess(this.#services.getConfiguration(), this.#credentials);
	}

	/** Creates the result of an operation that the client may not run. */
	#refuseAccess({code, message}: StatementError): StatementResult {
		this.#isAccessDenied = code === StatementErrorCode.AccessDenied;
		return createErrorResult(code, message);
	}

	#endTransaction(): void {
		if (this.#transaction) {
			this.#rollBackPinned(this.#transaction);
			this.#transaction = undefined;
		}
	}

	/** Rolls back the open transaction without an answer to the client, which is told by the answer to its next statement. */
	#abortTransaction(reason: string): void {
		const transaction = this.#transaction;
		if (transaction && !transaction.failed) {
			this.#rollBackPinned(transaction);
			transaction.failed = true;
			transaction.unreportedReason = reason;
		}
	}

	#refuseInFailedTransaction(transaction: SessionTransaction): StatementResult {
		const reason = transaction.unreportedReason;
		delete transaction.unreportedReason;
		return reason === undefined
			? this.#createMalformedError('the transaction has failed')
			: createErrorResult(StatementErrorCode.Aborted, reason, this.status);
	}

	#releasePinned(transaction: SessionTransaction): void {
		if (transaction.pinned) {
			transaction.pinned.pool.release(transaction.pinned.connection);
			delete transaction.pinned;
		}
	}

	/** Rolls back the transaction on the instance and releases the connection, without waiting for either. */
	#rollBackPinned(transaction: SessionTransaction): void {
		const {pinned} = transaction;
		delete transaction.pinned;
		if (pinned) {
			void rollBackAndRelease(pinned.connection, pinned.pool, this.#services.timer);
		}
	}

	/** Transaction status that the client is told. */
	get status(): TransactionStatus {
		if (!this.#transaction) {
			return TransactionStatus.Idle;
		}

		return this.#transaction.failed ? TransactionStatus.Failed : TransactionStatus.InTransaction;
	}

	#createMalformedError(message: string): StatementResult {
		return createErrorResult(StatementErrorCode.Malformed, message, this.status);
	}

	#createLocalResult(): StatementResult {
		return {rows: [], completion: '-', status: this.status};
	}
}

function isWrite(statement: Statement, definition?: PreparedDefinition): boolean {
	return statement.kind === StatementKind.Write || definition?.writes === true;
}
