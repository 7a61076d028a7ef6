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
import {Progress, runStatement} from './run-statement.js';
import {createError, type HeldConnection, type StatementRunner, unacknowledgedReason} from './statement-runner.js';
import {rollBackAndRelease} from './roll-back-and-release.js';

/** Pause before a statement of a transaction is sent again after the instance had no capacity, in milliseconds. */
const busyPauseMilliseconds = 10;

/** Services that all sessions of a host share. */
export type SessionServices = {
	readonly timer: TimerService;
	readonly log: EventLog;
	readonly runner: StatementRunner;
	readonly metrics: HostMetrics;
	/** Chooses the statements that are logged although they were served in time. */
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
	held?: HeldConnection;
	hasWritten: boolean;
	lastUsedAt: number;
	failed: boolean;
};

/** Session of one client: its values, prepared statements, open transaction and consistency. */
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
		[StatementKind.Read]: statement => this.#runData(statement),
		[StatementKind.Write]: statement => this.#runData(statement),
		[StatementKind.Execute]: statement => this.#runData(statement),
	};

	#transaction: Transaction | undefined;
	#floor: SessionWritePosition | undefined;
	#floorGroup = '';
	#disposed = false;
	#running = false;
	#trace = createStatementTrace();

	/**
	 * @param database - Name under which the client looks for its route.
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
	 * Executes one statement. Statements of a session are executed one after the other.
	 *
	 * @param statement - Statement to execute.
	 */
	async execute(statement: Statement): Promise<StatementResult> {
		if (this.#transaction?.failed && statement.kind !== StatementKind.Commit && statement.kind !== StatementKind.Rollback) {
			return this.#createMalformed('the transaction has failed');
		}

		this.#running = true;
		const startedAt = this.#services.timer.now();
		this.#trace = createStatementTrace();
		try {
			const result = await this.#handlers[statement.kind](statement);
			this.#account(statement, result, startedAt);
			return result;
		} finally {
			this.#running = false;
			if (this.#disposed) {
				this.#endTransaction();
			}
		}
	}

	/** Rolls back a transaction that has been idle for too long. Called at a fixed interval. */
	sweep(now: number, idleTransactionMilliseconds: number): void {
		const transaction = this.#transaction;
		if (transaction?.held && !this.#running && now - transaction.lastUsedAt > idleTransactionMilliseconds) {
			this.#services.log.write('transaction-idle', {group: transaction.route.group, idleMilliseconds: Math.round(now - transaction.lastUsedAt)});
			this.#abandonHeld(transaction);
			transaction.failed = true;
		}
	}

	/** Rolls back an open transaction, because the client left. */
	[Symbol.dispose](): void {
		this.#disposed = true;
		if (!this.#running) {
			this.#endTransaction();
		}
	}

	/** Counts a statement that went to an instance, and logs it if it failed, was late or is a sample of the others. */
	#account(statement: Statement, result: StatementResult, startedAt: number): void {
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
			: createError(StatementErrorCode.UnknownPreparedStatement, name!, this.status);
	}

	#begin(mode: Transaction['mode']): StatementResult {
		if (this.#transaction) {
			return this.#createMalformed('a transaction is already open');
		}

		const route = this.#findRoute();
		if (!route) {
			return createError(StatementErrorCode.UnknownDatabase, this.#database);
		}

		// The instance learns of the transaction together with its first statement, which saves a round trip and keeps
		// the connection free until then.
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
			return this.#createMalformed('no transaction is open');
		}

		if (transaction.failed) {
			this.#endTransaction();
			return createError(StatementErrorCode.Aborted, 'the transaction was rolled back');
		}

		const result = transaction.held
			? await this.#runHeld(statement, transaction, transaction.held)
			: await this.#runFirst(statement, transaction);
		if (result.error) {
			this.#endTransaction();
			return {...result, status: TransactionStatus.Idle};
		}

		this.#releaseHeld(transaction);
		this.#transaction = undefined;
		return result;
	}

	async #runData(statement: Statement): Promise<StatementResult> {
		const definition = statement.kind === StatementKind.Execute ? this.#prepared.get(statement.name!) : undefined;
		if (statement.kind === StatementKind.Execute && !definition) {
			return createError(StatementErrorCode.UnknownPreparedStatement, statement.name!, this.status);
		}

		const transaction = this.#transaction;
		if (!transaction) {
			return this.#runSingle(statement, definition);
		}

		const result = transaction.held
			? await this.#runHeld(statement, transaction, transaction.held, definition)
			: await this.#runFirst(statement, transaction, definition);
		transaction.hasWritten ||= isWrite(statement, definition);
		transaction.lastUsedAt = this.#services.timer.now();
		if (result.error) {
			this.#abandonHeld(transaction);
			transaction.failed = true;
			return {...result, status: TransactionStatus.Failed};
		}

		return result;
	}

	async #runSingle(statement: Statement, definition?: PreparedDefinition): Promise<StatementResult> {
		const route = this.#findRoute();
		const group = route && this.#services.getGroup(route.group);
		if (!route || !group) {
			return createError(StatementErrorCode.UnknownDatabase, this.#database);
		}

		const {result, reign} = await this.#services.runner.run({
			statement, route, group, context: {values: this.#values}, arrivedAt: this.#services.timer.now(), trace: this.#trace,
			...(definition && {definition}), ...this.#getFloor(route),
		});
		if (!result.error && reign !== undefined && isWrite(statement, definition)) {
			this.#raiseFloor(route, result, reign);
		}

		return result;
	}

	async #runFirst(statement: Statement, transaction: Transaction, definition?: PreparedDefinition): Promise<StatementResult> {
		const {route, mode, beganAt} = transaction;
		const group = this.#services.getGroup(route.group);
		if (!group) {
			return createError(StatementErrorCode.UnknownDatabase, this.#database);
		}

		const {result, held} = await this.#services.runner.run({
			statement, begin: mode, route, group, context: {values: this.#values}, arrivedAt: beganAt, trace: this.#trace,
			...(definition && {definition}), ...this.#getFloor(route),
		});
		if (held) {
			transaction.held = held;
		}

		return result;
	}

	async #runHeld(statement: Statement, transaction: Transaction, held: HeldConnection, definition?: PreparedDefinition): Promise<StatementResult> {
		const {timer} = this.#services;
		const {connection, pool, reign} = held;
		const deadline = timer.now() + transaction.route.statementTimeoutMilliseconds;
		for (;;) {
			const isReplaced = reign !== undefined && !this.#services.getGroup(transaction.route.group)?.isReignCurrent(reign);
			if (connection.channel.closed || isReplaced) {
				return createError(StatementErrorCode.Aborted, 'the primary changed or its connection was lost');
			}

			const startedAt = timer.now();
			this.#trace.attempts++;
			this.#trace.instance = pool.instance.id;
			pool.noteSent(connection);
			const outcome = await runStatement(
				connection,
				connection.align({values: this.#values}, definition),
				{statement, ...(definition && {preparedName: getPreparedName(definition)})},
				{timer, deadline},
			);
			if (outcome.progress !== Progress.Answered) {
				return this.#handleHeldUnanswered(statement, transaction, held, {...outcome, afterMilliseconds: Math.round(timer.now() - startedAt)});
			}

			const {result, sentAt} = outcome;
			pool.noteAnswered(connection, timer.now() - sentAt);
			if (!result.error) {
				return this.#acknowledgeHeld(statement, transaction, result, sentAt);
			}

			const isIntact = result.error.code === StatementErrorCode.Overloaded && result.status === TransactionStatus.InTransaction;
			if (!isIntact || timer.now() + busyPauseMilliseconds >= deadline) {
				return result;
			}

			await timer.sleep(busyPauseMilliseconds);
		}
	}

	/** Ends a transaction whose connection failed. Only a commit that was sent and has something to keep leaves a doubt. */
	#handleHeldUnanswered(
		statement: Statement,
		transaction: Transaction,
		{connection, pool, reign}: HeldConnection,
		{progress, message, afterMilliseconds}: {progress: Progress; message: string; afterMilliseconds: number},
	): StatementResult {
		connection.channel[Symbol.dispose]();
		const isSent = progress === Progress.Unanswered;
		this.#services.log.write('statement-unanswered', {
			request: statement.identifier, group: transaction.route.group, instance: pool.instance.id, primary: reign !== undefined,
			afterMilliseconds, sent: isSent, reason: message,
		});
		const isDoubtful = isSent && statement.kind === StatementKind.Commit && transaction.hasWritten;
		return createError(isDoubtful ? StatementErrorCode.OutcomeUnknown : StatementErrorCode.Aborted, message);
	}

	/** Passes a success on, unless it is a commit of a primary that may have been replaced meanwhile. */
	#acknowledgeHeld(statement: Statement, transaction: Transaction, result: StatementResult, sentAt: number): StatementResult {
		const reign = transaction.held?.reign;
		const isWritten = statement.kind === StatementKind.Commit && transaction.hasWritten;
		if (isWritten && reign !== undefined && !this.#services.getGroup(transaction.route.group)?.mayAcknowledge(reign)) {
			return createError(StatementErrorCode.OutcomeUnknown, unacknowledgedReason);
		}

		this.#noteHeldSuccess(statement, transaction, result, sentAt);
		return result;
	}

	#noteHeldSuccess(statement: Statement, {route, held, hasWritten}: Transaction, result: StatementResult, sentAt: number): void {
		const reign = held?.reign;
		if (reign === undefined || !result.position) {
			return;
		}

		this.#services.getGroup(route.group)?.positionHistory.observe(reign, result.position, sentAt);
		if (statement.kind === StatementKind.Commit && hasWritten) {
			this.#raiseFloor(route, result, reign);
		}
	}

	#getFloor(route: Route): {floor?: SessionWritePosition} {
		return this.#floor && this.#floorGroup === route.group ? {floor: this.#floor} : {};
	}

	#raiseFloor(route: Route, {position}: StatementResult, reign: number): void {
		if (position) {
			this.#floor = {position, reign};
			this.#floorGroup = route.group;
		}
	}

	#findRoute(): Route | undefined {
		return this.#services.getConfiguration()?.routes.get(this.#database);
	}

	#endTransaction(): void {
		if (this.#transaction) {
			this.#abandonHeld(this.#transaction);
			this.#transaction = undefined;
		}
	}

	#releaseHeld(transaction: Transaction): void {
		if (transaction.held) {
			transaction.held.pool.release(transaction.held.connection);
			delete transaction.held;
		}
	}

	/** Rolls the transaction back at the instance and returns the connection; the client doesn't wait for it. */
	#abandonHeld(transaction: Transaction): void {
		const {held} = transaction;
		delete transaction.held;
		if (held) {
			void rollBackAndRelease(held.connection, held.pool, this.#services.timer);
		}
	}

	/** Transaction status as the client sees it. */
	get status(): TransactionStatus {
		if (!this.#transaction) {
			return TransactionStatus.Idle;
		}

		return this.#transaction.failed ? TransactionStatus.Failed : TransactionStatus.InTransaction;
	}

	#createMalformed(message: string): StatementResult {
		return createError(StatementErrorCode.Malformed, message, this.status);
	}

	#createLocalResult(): StatementResult {
		return {rows: [], completion: '-', status: this.status};
	}
}

function isWrite(statement: Statement, definition?: PreparedDefinition): boolean {
	return statement.kind === StatementKind.Write || definition?.writes === true;
}
