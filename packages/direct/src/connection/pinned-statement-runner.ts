import {TransactionStatus} from '@tarragonstack/core/request/transaction-status';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type EventLog} from '../process/event-log.js';
import {type InstanceGroupState} from '../process/instance-group-state.js';
import {getStatementClass} from '../request/statement-class.js';
import {StatementErrorCode} from '../request/statement-error-code.js';
import {StatementKind} from '../request/statement-kind.js';
import {type StatementResult} from '../request/statement-result.js';
import {type StatementTrace} from '../request/statement-trace.js';
import {type PreparedDefinition, type Statement} from '../request/statement.js';
import {getPreparedName, type SessionContext} from './pooled-connection.js';
import {StatementProgress, runStatement} from './run-statement.js';
import {type SessionTransaction} from './session-transaction.js';
import {createErrorResult, type PinnedConnection, unacknowledgedReason} from './statement-runner.js';

/** Delay before a statement of a transaction is retried after the instance was overloaded, in milliseconds. */
const overloadRetryDelayMilliseconds = 10;

/** Services of a `PinnedStatementRunner`. */
export type PinnedStatementRunnerOptions = {
	readonly timer: TimerService;
	readonly log: EventLog;
	/** Returns a group, or `undefined` if no configuration names it. */
	getGroup(name: string): InstanceGroupState | undefined;
};

/** Statement of a transaction whose connection is pinned. */
export type PinnedStatement = {
	readonly statement: Statement;
	readonly definition?: PreparedDefinition | undefined;
	readonly context: SessionContext;
	readonly trace: StatementTrace;
};

/** Runs the statements of a transaction on its pinned connection. */
export class PinnedStatementRunner {
	readonly #options: PinnedStatementRunnerOptions;

	/**
	 * @param options - Services.
	 */
	constructor(options: PinnedStatementRunnerOptions) {
		this.#options = options;
	}

	/**
	 * Runs a statement, and retries it while the instance is overloaded.
	 *
	 * @param transaction - Transaction of the statement.
	 * @param pinned - Its connection.
	 * @param request - Statement and session state.
	 */
	async run(transaction: SessionTransaction, pinned: PinnedConnection, {statement, definition, context, trace}: PinnedStatement): Promise<StatementResult> {
		const {timer, getGroup} = this.#options;
		const {connection, pool, reign} = pinned;
		const deadline = timer.now() + transaction.route.statementTimeoutMilliseconds;
		for (;;) {
			const isPrimaryReplaced = reign !== undefined && !getGroup(transaction.route.group)?.isReignCurrent(reign);
			if (connection.channel.closed || isPrimaryReplaced) {
				return createErrorResult(StatementErrorCode.Aborted, 'the primary changed or its connection was lost');
			}

			const startedAt = timer.now();
			trace.attempts++;
			trace.instance = pool.instance.id;
			pool.recordSend(connection);
			const outcome = await runStatement(
				connection,
				connection.synchronizeSession(context, definition),
				{statement, ...(definition && {preparedName: getPreparedName(definition)})},
				{timer, deadline},
			);
			if (outcome.progress !== StatementProgress.Answered) {
				return this.#handleUnanswered(statement, transaction, pinned, {...outcome, afterMilliseconds: Math.round(timer.now() - startedAt)});
			}

			const {result, sentAt} = outcome;
			pool.recordResponse(connection, {
				milliseconds: timer.now() - sentAt,
				statementClass: result.error ? undefined : getStatementClass(statement.kind, definition?.writes, transaction.route.priority),
				report: connection.channel.gatewayReport,
			});
			if (!result.error) {
				return this.#acknowledge(statement, transaction, result, sentAt);
			}

			const isRetryable = result.error.code === StatementErrorCode.Overloaded && result.status === TransactionStatus.InTransaction;
			if (!isRetryable || timer.now() + overloadRetryDelayMilliseconds >= deadline) {
				return result;
			}

			await timer.sleep(overloadRetryDelayMilliseconds);
		}
	}

	/** Ends a transaction whose connection failed. The outcome is unknown only if a commit of writes was sent. */
	#handleUnanswered(
		statement: Statement,
		transaction: SessionTransaction,
		{connection, pool, reign}: PinnedConnection,
		{progress, message, afterMilliseconds}: {progress: StatementProgress; message: string; afterMilliseconds: number},
	): StatementResult {
		connection.channel[Symbol.dispose]();
		const isSent = progress === StatementProgress.Unanswered;
		this.#options.log.write('statement-unanswered', {
			request: statement.identifier, group: transaction.route.group, instance: pool.instance.id, primary: reign !== undefined,
			afterMilliseconds, sent: isSent, reason: message,
		});
		const isOutcomeUnknown = isSent && statement.kind === StatementKind.Commit && transaction.hasWritten;
		return createErrorResult(isOutcomeUnknown ? StatementErrorCode.OutcomeUnknown : StatementErrorCode.Aborted, message);
	}

	/** Returns a successful result, unless it is a commit of writes on a primary that may have been replaced since. */
	#acknowledge(statement: Statement, transaction: SessionTransaction, result: StatementResult, sentAt: number): StatementResult {
		const reign = transaction.pinned?.reign;
		const group = this.#options.getGroup(transaction.route.group);
		const commitsWrites = statement.kind === StatementKind.Commit && transaction.hasWritten;
		if (commitsWrites && reign !== undefined && !group?.mayAcknowledge(reign)) {
			return createErrorResult(StatementErrorCode.OutcomeUnknown, unacknowledgedReason);
		}

		if (reign !== undefined && result.position) {
			group?.positionHistory.observe(reign, result.position, sentAt);
		}

		return result;
	}
}
