import {TransactionStatus} from '@tarragonstack/core/request/transaction-status';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type EventLog} from '../process/event-log.js';
import {type HostMetrics} from '../process/host-metrics.js';
import {type InstanceGroupState} from '../process/instance-group-state.js';
import {type SessionWritePosition} from '../request/primary-position-history.js';
import {type SuccessLogSampler} from '../request/success-log-sampler.js';
import {createStatementTrace} from '../request/statement-trace.js';
import {StatementErrorCode} from '../request/statement-error-code.js';
import {StatementKind} from '../request/statement-kind.js';
import {type StatementResult} from '../request/statement-result.js';
import {type PreparedDefinition, type Statement} from '../request/statement.js';
import {type DeploymentConfiguration, type Route} from '../version/deployment-configuration.js';
import {getPreparedName} from './pooled-connection.js';
import {StatementProgress, runStatement} from './run-statement.js';
import {createErrorResult, type PinnedConnection, type StatementRunner, unacknowledgedReason} from './statement-runner.js';
import {rollBackAndRelease} from './roll-back-and-release.js';

/** Delay before a statement of a transaction is retried after the instance was overloaded, in milliseconds. */
const overloadRetryDelayMilliseconds = 10;

const stoppingReason = 'the host is stopping';

/** Services shared by all sessions of a host. */
export type SessionServices = {
	readonly timer: TimerService;
	readonly log: EventLog;
	readonly runner: StatementRunner;
	readonly metrics: HostMetrics;
	/** Samples statements for the log that were served in time. */
	readonly routineSample: SuccessLogSampler;
	/** Returns the configuration in force, or `undefined` before one is known. */
	getConfiguration(): DeploymentConfiguration | undefined;
	/** Returns a group, or `undefined` if no configuration names it. */
	getGroup(name: string): InstanceGroupState | undefined;
};

type Transaction = {
	readonly mode: 'read-write' | 'read-only';
	readonly route: Route;
	readonly beganAt: number;
	pinned?: PinnedConnection;
	hasWritten: boolean;
	lastUsedAt: number;
	failed: boolean;
	/** Why this host rolled the transaction back, until the client has been told. */
	unreportedReason?: string;
};

/** Session of one client: its values, prepared statements, open transaction and position for reading its own writes. */
export class ClientSession implements Disposable {
	readonly #database: string;
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

	#transaction: Transaction | undefined;
	#lastWrite: SessionWritePosition | undefined;
	#lastWriteGroup = '';
	#disposed = false;
	#running = false;
	#refusesTransactions = false;
	#trace = createStatementTrace();

	/**
	 * @param database - Database that the client requested; it selects the route.
	 * @param services - Services of the host.
	 */
	constructor(database: string, services: SessionServices) {
		this.#database = database;
		this.#services = services;
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

	/** Rolls back the open transaction if it has been idle for too long. Called periodically. */
	rollBackIfIdle(now: number, idleTransactionMilliseconds: number): void {
		const transaction = this.#transaction;
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

	/** Counts a statement that was sent to an instance, and logs it if it failed, exceeded its target time or is sampled. */
	#recordStatement(statement: Statement, result: StatementResult, startedAt: number): void {
		const route = this.#transaction?.route ?? this.#findRoute();
		const isLocal = result.completion === '-' && !result.error;
		if (!route || isLocal) {
			return;
		}

		const {timer, metrics, routineSample} = this.#services;
		const durationMilliseconds = timer.now() - startedAt;
		metrics.countStatement(route.priority, result.error?.code ?? 'completed', durationMilliseconds);
		const isLate = durationMilliseconds > route.targetMilliseconds;
		if (result.error ?? isLate) {
			this.#logStatement(result.error ? 'statement-failed' : 'statement-late', statement, {route, result, durationMilliseconds});
			return;
		}

		const skipped = routineSample.sample(timer.now());
		if (skipped !== undefined) {
			this.#logStatement('statement-served', statement, {route, result, durationMilliseconds, skipped});
		}
	}

	#logStatement(event: string, statement: Statement, {route, result, durationMilliseconds, skipped}: {
		route: Route; result: StatementResult; durationMilliseconds: number; skipped?: number;
	}): void {
		const {log, getConfiguration} = this.#services;
		const {waitedMilliseconds, ...trace} = this.#trace;
		log.write(event, {
			request: statement.identifier, kind: statement.kind, database: this.#database, group: route.group, rank: route.priority,
			inTransaction: this.#transaction !== undefined, outcome: result.error?.code ?? 'completed', message: result.error?.message,
			durationMilliseconds: Math.round(durationMilliseconds), waitedMilliseconds: Math.round(waitedMilliseconds),
			configurationVersion: getConfiguration()?.version, skipped, ...trace,
		});
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

	#begin(mode: Transaction['mode']): StatementResult {
		if (this.#transaction) {
			return this.#createMalformedError('a transaction is already open');
		}

		if (this.#refusesTransactions) {
			return createErrorResult(StatementErrorCode.Overloaded, stoppingReason);
		}

		const route = this.#findRoute();
		if (!route) {
			return createErrorResult(StatementErrorCode.UnknownDatabase, this.#database);
		}

		// `BEGIN` is deferred until the first statement of the transaction, which saves a round trip and needs no
		// connection until then.
		const now = this.#services.timer.now();
		this.#transaction = {mode, route, beganAt: now, hasWritten: false, lastUsedAt: now, failed: false};
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
		const route = this.#findRoute();
		const group = route && this.#services.getGroup(route.group);
		if (!route || !group) {
			return createErrorResult(StatementErrorCode.UnknownDatabase, this.#database);
		}

		const {result, reign} = await this.#services.runner.run({
			statement, route, group, context: {values: this.#values}, arrivedAt: this.#services.timer.now(), trace: this.#trace,
			...(definition && {definition}), ...this.#getLastWrite(route),
		});
		if (!result.error && reign !== undefined && isWrite(statement, definition)) {
			this.#recordLastWrite(route, result, reign);
		}

		return result;
	}

	async #runFirstInTransaction(statement: Statement, transaction: Transaction, definition?: PreparedDefinition): Promise<StatementResult> {
		const {route, mode, beganAt} = transaction;
		const group = this.#services.getGroup(route.group);
		if (!group) {
			return createErrorResult(StatementErrorCode.UnknownDatabase, this.#database);
		}

		const {result, pinned} = await this.#services.runner.run({
			statement, begin: mode, route, group, context: {values: this.#values}, arrivedAt: beganAt, trace: this.#trace,
			...(definition && {definition}), ...this.#getLastWrite(route),
		});
		if (pinned) {
			transaction.pinned = pinned;
		}

		return result;
	}

	async #runPinned(statement: Statement, transaction: Transaction, pinned: PinnedConnection, definition?: PreparedDefinition): Promise<StatementResult> {
		const {timer} = this.#services;
		const {connection, pool, reign} = pinned;
		const deadline = timer.now() + transaction.route.statementTimeoutMilliseconds;
		for (;;) {
			const isPrimaryReplaced = reign !== undefined && !this.#services.getGroup(transaction.route.group)?.isReignCurrent(reign);
			if (connection.channel.closed || isPrimaryReplaced) {
				return createErrorResult(StatementErrorCode.Aborted, 'the primary changed or its connection was lost');
			}

			const startedAt = timer.now();
			this.#trace.attempts++;
			this.#trace.instance = pool.instance.id;
			pool.recordSend(connection);
			const outcome = await runStatement(
				connection,
				connection.synchronizeSession({values: this.#values}, definition),
				{statement, ...(definition && {preparedName: getPreparedName(definition)})},
				{timer, deadline},
			);
			if (outcome.progress !== StatementProgress.Answered) {
				return this.#handlePinnedUnanswered(statement, transaction, pinned, {...outcome, afterMilliseconds: Math.round(timer.now() - startedAt)});
			}

			const {result, sentAt} = outcome;
			pool.recordResponse(connection, timer.now() - sentAt);
			if (!result.error) {
				return this.#acknowledgePinned(statement, transaction, result, sentAt);
			}

			const isRetryable = result.error.code === StatementErrorCode.Overloaded && result.status === TransactionStatus.InTransaction;
			if (!isRetryable || timer.now() + overloadRetryDelayMilliseconds >= deadline) {
				return result;
			}

			await timer.sleep(overloadRetryDelayMilliseconds);
		}
	}

	/** Ends a transaction whose connection failed. The outcome is unknown only if a commit of writes was sent. */
	#handlePinnedUnanswered(
		statement: Statement,
		transaction: Transaction,
		{connection, pool, reign}: PinnedConnection,
		{progress, message, afterMilliseconds}: {progress: StatementProgress; message: string; afterMilliseconds: number},
	): StatementResult {
		connection.channel[Symbol.dispose]();
		const isSent = progress === StatementProgress.Unanswered;
		this.#services.log.write('statement-unanswered', {
			request: statement.identifier, group: transaction.route.group, instance: pool.instance.id, primary: reign !== undefined,
			afterMilliseconds, sent: isSent, reason: message,
		});
		const isOutcomeUnknown = isSent && statement.kind === StatementKind.Commit && transaction.hasWritten;
		return createErrorResult(isOutcomeUnknown ? StatementErrorCode.OutcomeUnknown : StatementErrorCode.Aborted, message);
	}

	/** Returns a successful result, unless it is a commit of writes on a primary that may have been replaced since. */
	#acknowledgePinned(statement: Statement, transaction: Transaction, result: StatementResult, sentAt: number): StatementResult {
		const reign = transaction.pinned?.reign;
		const commitsWrites = statement.kind === StatementKind.Commit && transaction.hasWritten;
		if (commitsWrites && reign !== undefined && !this.#services.getGroup(transaction.route.group)?.mayAcknowledge(reign)) {
			return createErrorResult(StatementErrorCode.OutcomeUnknown, unacknowledgedReason);
		}

		this.#recordPinnedSuccess(statement, transaction, result, sentAt);
		return result;
	}

	#recordPinnedSuccess(statement: Statement, {route, pinned, hasWritten}: Transaction, result: StatementResult, sentAt: number): void {
		const reign = pinned?.reign;
		if (reign === undefined || !result.position) {
			return;
		}

		this.#services.getGroup(route.group)?.positionHistory.observe(reign, result.position, sentAt);
		if (statement.kind === StatementKind.Commit && hasWritten) {
			this.#recordLastWrite(route, result, reign);
		}
	}

	#getLastWrite(route: Route): {lastWrite?: SessionWritePosition} {
		return this.#lastWrite && this.#lastWriteGroup === route.group ? {lastWrite: this.#lastWrite} : {};
	}

	#recordLastWrite(route: Route, {position}: StatementResult, reign: number): void {
		if (position) {
			this.#lastWrite = {position, reign};
			this.#lastWriteGroup = route.group;
		}
	}

	#findRoute(): Route | undefined {
		return this.#services.getConfiguration()?.routes.get(this.#database);
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

	#refuseInFailedTransaction(transaction: Transaction): StatementResult {
		const reason = transaction.unreportedReason;
		delete transaction.unreportedReason;
		return reason === undefined
			? this.#createMalformedError('the transaction has failed')
			: createErrorResult(StatementErrorCode.Aborted, reason, this.status);
	}

	#releasePinned(transaction: Transaction): void {
		if (transaction.pinned) {
			transaction.pinned.pool.release(transaction.pinned.connection);
			delete transaction.pinned;
		}
	}

	/** Rolls back the transaction on the instance and releases the connection, without waiting for either. */
	#rollBackPinned(transaction: Transaction): void {
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
