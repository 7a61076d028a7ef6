import {type RankTerms} from '@tarragonstack/core';
import {build, type Histogram} from 'hdr-histogram-js';
import {RequestOutcome} from './request-outcome.js';

/** Histograms record values in microseconds. */
const microsecondsPerMillisecond = 1000;

/** Counters and latencies of the requests of one rank. */
export class RankResult {
	/** Requests whose arrival time has passed. */
	offered = 0;
	/** Responses whose latency exceeded the target of the contract. */
	late = 0;
	/** Reads that violated read-your-writes consistency: they missed an acknowledged write of their own session. */
	missedOwnWrites = 0;
	readonly outcomes: Record<RequestOutcome, number> = {
		[RequestOutcome.Answered]: 0, [RequestOutcome.Refused]: 0, [RequestOutcome.Unknown]: 0, [RequestOutcome.Failed]: 0,
	};

	/** Number of errors by SQLSTATE or error code. */
	readonly errorCodes = new Map<string, number>();
	readonly #terms: RankTerms;
	readonly #histogram: Histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3});

	/** @param terms - Contract terms of the rank. */
	constructor(terms: RankTerms) {
		this.#terms = terms;
	}

	/** Responses whose latency met the target of the contract. */
	get onTime(): number {
		return this.outcomes[RequestOutcome.Answered] - this.late;
	}

	/** Refund for late responses, refusals, unknown outcomes and failures, in the currency unit of the contract. */
	get refund(): number {
		const {lateRefund, refusedRefund = lateRefund} = this.#terms;
		const {answered: _, refused, ...unknown} = this.outcomes;
		const unknownCount = Object.values(unknown).reduce((sum, count) => sum + count, 0);
		return ((this.late + unknownCount) * lateRefund) + (refused * refusedRefund);
	}

	/**
	 * Records a successful response.
	 *
	 * @param latencyMilliseconds - Time from the arrival time of the request to the complete response.
	 */
	recordResponse(latencyMilliseconds: number): void {
		this.outcomes[RequestOutcome.Answered]++;
		this.late += latencyMilliseconds > this.#terms.targetLatencyMilliseconds ? 1 : 0;
		this.#histogram.recordValue(Math.max(1, Math.round(latencyMilliseconds * microsecondsPerMillisecond)));
	}

	/**
	 * Records a request that ended with an error.
	 *
	 * @param outcome - Outcome of the request.
	 * @param code - SQLSTATE or error code.
	 */
	recordError(outcome: RequestOutcome, code: string): void {
		this.outcomes[outcome]++;
		this.errorCodes.set(code, (this.errorCodes.get(code) ?? 0) + 1);
	}

	/**
	 * Returns a percentile of the latency of successful responses, in milliseconds; 0 if there are none.
	 *
	 * @param percentile - Percentile, from 0 to 100.
	 */
	getLatency(percentile: number): number {
		return this.outcomes[RequestOutcome.Answered] === 0 ? 0 : this.#histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
	}
}
