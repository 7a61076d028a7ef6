import {
	RefusalReason, TransactionStatus, Verdict, type UpstreamResult,
} from '@tarragonstack/core';

/**
 * Creates the result of a request that was not executed.
 *
 * @param reason - Reason for the refusal.
 * @param message - Explanation for the caller.
 * @param transactionStatus - Transaction status of the caller connection after the refusal.
 */
export function createNotRunResult(reason: RefusalReason, message: string, transactionStatus = TransactionStatus.Idle): UpstreamResult {
	return {verdict: Verdict.NotRun, transactionStatus, refusal: {reason, message}};
}

/**
 * Creates the result of a request whose outcome is unknown.
 *
 * @param message - Explanation for the caller.
 */
export function createUnknownOutcomeResult(message: string): UpstreamResult {
	return {
		verdict: Verdict.MayHaveRun,
		transactionStatus: TransactionStatus.Idle,
		refusal: {reason: RefusalReason.OutcomeUnknown, message},
	};
}
