import {
	AcknowledgementMode, RefusalReason, RequestKind, TransactionStatus, Verdict, waitAtMost, type LogPosition, type UpstreamResult,
} from '@tarragonstack/core';
import {type Result} from 'neverthrow';
import {BackendMessageReader, BackendMessageType} from '../connection/upstream/backend-message-reader.js';
import {
	getInsertStatement, getSelectStatement, getStoredKey, getUpdateStatement, maximumStoredResponseBytes,
	readOnlySqlState, readStoredResponse, serializeQueries, uniqueViolationSqlState,
} from '../request/scheduling/idempotency-statements.js';
import {
	HoldMode, type StatementConnection, type StatementOutcome,
} from '../request/scheduling/statement-connection.js';
import {type RunningStatements} from '../request/scheduling/running-statements.js';
import {type ConfirmationError} from '../request/term-confirmation.js';
import {type InstanceSchedulerOptions, type ScheduledRequest} from './instance-scheduler-options.js';
import {createNotRunResult, createOutcomeUnknownResult, createRanResult} from './instance-scheduler-results.js';

/**
 * Minimum time limit of a term confirmation, in milliseconds. It allows a round trip between zones for a write that
 * returned just before its time limit, because its outcome would otherwise be unknown.
 */
const minimumConfirmationMilliseconds = 20;

/** Minimum time that a receiver gets to accept the end of a response, in milliseconds. */
const minimumReceiveMilliseconds = 1000;

const discardingSink = {async write() {}};

/** Runs statement units on a connection, and confirms the term of the primary before it forwards their completion. */
export class UnitRunner {
	readonly #options: InstanceSchedulerOptions;
	readonly #runningStatements: RunningStatements;

	constructor(options: InstanceSchedulerOptions, runningStatements: RunningStatements) {
		this.#options = options;
		this.#runningStatements = runningStatements;
	}

	/** Returns the term of the primary if the instance is the known primary of its group. */
	getPrimaryTerm(): number | undefined {
		const primary = this.#options.groupView.getPrimary(this.#options.group);
		return primary?.instance === this.#options.instance ? primary.term : undefined;
	}

	/**
	 * Runs the unit of a request.
	 *
	 * @param job - Request.
	 * @param connection - Connection to use.
	 * @param holdMode - Part of the response to withhold.
	 */
	async run(job: ScheduledRequest, connection: StatementConnection, holdMode: HoldMode): Promise<StatementOutcome> {
		const {request, sink, signal, timeoutAt} = job;
		return this.#runningStatements.run(
			connection,
			request.messages,
			{sink, hiddenParseCompletes: request.hiddenParseCompletes, holdMode},
			{
				requestIdentifier: request.requestIdentifier,
				timeoutAt,
				needsPrimary: request.kind !== RequestKind.Read,
				// An abandoned write is not cancelled, because the cancellation could arrive before or after its commit.
				...(request.kind !== RequestKind.Write && {signal}),
			},
		);
	}

	/**
	 * Converts the outcome of a unit to the result of its request, and forwards the withheld messages.
	 *
	 * @param job - Request.
	 * @param outcome - Outcome of its unit.
	 * @param expectedTerm - Term of the primary at the time the unit was sent; `undefined` for a read.
	 */
	async finish(job: ScheduledRequest, outcome: StatementOutcome, expectedTerm: number | undefined): Promise<UpstreamResult> {
		const {request} = job;
		if (outcome.verdict !== Verdict.Ran) {
			return this.#createLostConnectionResult(job, outcome);
		}

		const isAutocommitWrite = request.kind === RequestKind.Write;
		if (outcome.sqlState === readOnlySqlState && isAutocommitWrite && outcome.writtenBytes === 0 && !outcome.committed) {
			return createNotRunResult({reason: RefusalReason.NotPrimary, message: 'the instance is read-only'});
		}

		const hasEffect = outcome.committed || (isAutocommitWrite && outcome.sqlState === undefined);
		if (!hasEffect) {
			await this.#forward(job, outcome.held);
			return createRanResult(outcome);
		}

		const position = await this.#confirm(job, expectedTerm);
		if (position.isErr()) {
			return createOutcomeUnknownResult(`the term was not confirmed: ${position.error}`, outcome.transactionStatus);
		}

		await this.#forward(job, outcome.held);
		return createRanResult(outcome, position.value);
	}

	/**
	 * Runs the unit of a request and stores its idempotency key in the same transaction.
	 *
	 * @param job - Request with an idempotency key.
	 * @param connection - Connection without an open transaction.
	 * @param expectedTerm - Term of the primary.
	 * @param onRan - Called when the instance has finished its work for the request.
	 */
	async runWithKey(job: ScheduledRequest, connection: StatementConnection, expectedTerm: number, onRan: () => void): Promise<UpstreamResult> {
		const key = getStoredKey(job.request);
		const reserved = await this.#runQueries(job, connection, 'BEGIN', getInsertStatement(key));
		if (reserved.verdict !== Verdict.Ran || reserved.sqlState !== undefined) {
			const result = await this.#handleReservationFailure(job, connection, reserved);
			onRan();
			return result;
		}

		const unit = await this.run(job, connection, HoldMode.Completion);
		if (unit.verdict === Verdict.Ran && unit.sqlState !== undefined) {
			await this.#runQueries(job, connection, 'ROLLBACK');
			onRan();
			return this.finish(job, {...unit, transactionStatus: TransactionStatus.Idle}, expectedTerm);
		}

		if (unit.verdict !== Verdict.Ran || unit.committed) {
			onRan();
			return this.finish(job, unit, expectedTerm);
		}

		const isStorable = unit.writtenBytes === 0 && unit.held.length <= maximumStoredResponseBytes;
		const completion = isStorable ? [getUpdateStatement(key, unit.held), 'COMMIT'] : ['COMMIT'];
		const committed = await this.#runQueries(job, connection, ...completion);
		onRan();
		if (committed.verdict === Verdict.Ran && committed.committed) {
			return this.finish(job, {...committed, held: unit.held, writtenBytes: unit.writtenBytes}, expectedTerm);
		}

		// Forward only the error, not the completions of statements that the caller did not send.
		return this.finish(job, {...committed, held: getErrorResponse(committed.held)}, expectedTerm);
	}

	/**
	 * Reserves the idempotency key of an explicit transaction directly after its BEGIN.
	 *
	 * @param job - Request that begins the transaction.
	 * @param connection - Connection of the transaction.
	 * @returns The outcome of the statement that inserts the key.
	 */
	async reserveKey(job: ScheduledRequest, connection: StatementConnection): Promise<StatementOutcome> {
		return this.#runQueries(job, connection, getInsertStatement(getStoredKey(job.request)));
	}

	async #handleReservationFailure(job: ScheduledRequest, connection: StatementConnection, reserved: StatementOutcome): Promise<UpstreamResult> {
		if (reserved.verdict !== Verdict.Ran) {
			// No COMMIT was sent, so the instance rolls the transaction back.
			return createNotRunResult({reason: RefusalReason.NoUpstream, message: reserved.failure ?? 'the connection was lost'});
		}

		if (reserved.sqlState !== uniqueViolationSqlState) {
			await this.#runQueries(job, connection, 'ROLLBACK');
			return reserved.sqlState === readOnlySqlState
				? createNotRunResult({reason: RefusalReason.NotPrimary, message: 'the instance is read-only'})
				: createNotRunResult({
					reason: RefusalReason.NoUpstream, message: `the idempotency key was not stored: SQLSTATE ${reserved.sqlState ?? ''}`,
				});
		}

		return this.#replay(job, connection);
	}

	/** Answers a repeated request with the stored response of the first one. */
	async #replay(job: ScheduledRequest, connection: StatementConnection): Promise<UpstreamResult> {
		const answer = await this.#runQueries(job, connection, 'ROLLBACK', getSelectStatement(getStoredKey(job.request)));
		if (answer.verdict !== Verdict.Ran || answer.sqlState !== undefined) {
			return createOutcomeUnknownResult('the stored response could not be read');
		}

		const stored = await readStoredResponse(answer.held);
		if (stored === undefined || stored.length === 0) {
			return createNotRunResult({
				reason: RefusalReason.DuplicateKey, message: 'the idempotency key was already used and its response is not stored',
			});
		}

		// Like the response to a write, the stored response is valid only if this instance is still the primary.
		const position = await this.#confirm(job, this.getPrimaryTerm());
		if (position.isErr()) {
			return createOutcomeUnknownResult(`the term was not confirmed: ${position.error}`);
		}

		await this.#forward(job, stored);
		return createRanResult(answer, position.value);
	}

	async #runQueries(job: ScheduledRequest, connection: StatementConnection, ...statements: readonly string[]): Promise<StatementOutcome> {
		return this.#runningStatements.run(
			connection,
			serializeQueries(...statements),
			{
				sink: discardingSink, hiddenParseCompletes: [], holdMode: HoldMode.Completion, readyCount: statements.length,
			},
			{requestIdentifier: job.request.requestIdentifier, timeoutAt: job.timeoutAt, needsPrimary: true},
		);
	}

	async #confirm(job: ScheduledRequest, expectedTerm: number | undefined): Promise<Result<LogPosition, ConfirmationError>> {
		const {group, instance, termConfirmation, timerService} = this.#options;
		return termConfirmation.confirm(group, instance, {
			...(expectedTerm !== undefined && {expectedTerm}),
			replicated: job.request.acknowledgement === AcknowledgementMode.Replicated,
			timeoutMilliseconds: Math.max(minimumConfirmationMilliseconds, job.timeoutAt - timerService.now()),
		});
	}

	/** Forwards withheld messages. The wait is bounded, so that a stalled receiver cannot block the request. */
	async #forward({sink, timeoutAt}: ScheduledRequest, messages: Buffer): Promise<void> {
		if (messages.length === 0) {
			return;
		}

		const {timerService} = this.#options;
		const limit = Math.max(minimumReceiveMilliseconds, timeoutAt - timerService.now());
		try {
			await waitAtMost(sink.write(messages), limit, timerService);
		} catch {
			// The receiver has closed its connection. The result still reports the outcome.
		}
	}

	#createLostConnectionResult(job: ScheduledRequest, outcome: StatementOutcome): UpstreamResult {
		const message = outcome.failure ?? 'the connection was lost';
		const isHarmless = outcome.verdict === Verdict.NotRun
			|| (job.request.kind === RequestKind.Read && outcome.writtenBytes === 0);
		if (!isHarmless) {
			return createOutcomeUnknownResult(message);
		}

		const isTooLate = this.#options.timerService.now() >= job.timeoutAt;
		return createNotRunResult({reason: isTooLate ? RefusalReason.DeadlineExceeded : RefusalReason.NoUpstream, message});
	}
}

function getErrorResponse(messages: Buffer): Buffer {
	const split = new BackendMessageReader().push(messages).unwrapOr([]);
	return split.find(message => message[0] === BackendMessageType.ErrorResponse) ?? Buffer.alloc(0);
}
