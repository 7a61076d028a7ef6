import {
	RefusalReason, TransactionStatus, Verdict, type LogPosition, type Refusal, type UpstreamResult,
} from '@tarragonstack/core';
import {ConnectionError, type StatementOutcome} from '../request/scheduling/statement-connection.js';

/**
 * Creates the result of a request that was not run.
 *
 * @param refusal - Reason and message.
 */
export function createNotRunResult(refusal: Refusal): UpstreamResult {
	return {verdict: Verdict.NotRun, transactionStatus: TransactionStatus.Idle, refusal};
}

/**
 * Creates the result of a request whose outcome is unknown.
 *
 * @param message - Description of the cause.
 * @param transactionStatus - Transaction status of the connection.
 */
export function createOutcomeUnknownResult(message: string, transactionStatus = TransactionStatus.Idle): UpstreamResult {
	return {
		verdict: Verdict.MayHaveRun,
		transactionStatus,
		refusal: {reason: RefusalReason.OutcomeUnknown, message},
	};
}

/**
 * Creates the result of a request that an upstream answered.
 *
 * @param outcome - Outcome of the statement unit.
 * @param position - Log position that includes the effects of the unit.
 */
export function createRanResult(outcome: StatementOutcome, position?: LogPosition): UpstreamResult {
	return {
		verdict: Verdict.Ran,
		transactionStatus: outcome.transactionStatus,
		...(position && {position}),
	};
}

/** Refusal for each error of the connection pool. */
export const connectionRefusals: Readonly<Record<ConnectionError, Refusal>> = {
	[ConnectionError.Unavailable]: {
		reason: RefusalReason.NoUpstream, message: 'the instance does not accept connections',
	},
	[ConnectionError.TimedOut]: {
		reason: RefusalReason.Overloaded, message: 'no connection became free in time', retryAfterMilliseconds: 100,
	},
	[ConnectionError.Closed]: {
		reason: RefusalReason.Stopping, message: 'the host no longer serves the instance',
	},
};
