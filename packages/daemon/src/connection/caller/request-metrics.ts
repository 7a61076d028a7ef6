import {
	MetricName, type Metrics, type UpstreamResult, Verdict,
} from '@tarragonstack/core';
import {type CallerRequest} from '../../request/index.js';

/**
 * Records the outcome of a request per customer and rank.
 *
 * @param metrics - Metrics to record to.
 * @param request - Completed request.
 * @param result - Outcome of the request.
 * @param durationMilliseconds - Time from the first byte of the request to the last byte of the response.
 */
export function recordRequest(metrics: Metrics, request: CallerRequest, result: UpstreamResult, durationMilliseconds: number): void {
	const tags = {customer: request.customer, rank: request.rank};
	metrics.increment(MetricName.RequestCount, 1, tags);
	metrics.histogram(MetricName.RequestDuration, durationMilliseconds, tags);
	if (durationMilliseconds > request.contractTerms.targetLatencyMilliseconds) {
		metrics.increment(MetricName.RequestLate, 1, tags);
	}

	if (result.verdict === Verdict.MayHaveRun) {
		metrics.increment(MetricName.RequestOutcomeUnknown, 1, tags);
	} else if (result.refusal) {
		metrics.increment(MetricName.RequestRefused, 1, {...tags, reason: result.refusal.reason});
	}
}
