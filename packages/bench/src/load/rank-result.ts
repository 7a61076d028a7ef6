import {type RankTerms} from '@tarragonstack/core';
import {build, type Histogram} from 'hdr-histogram-js';
import {RequestOutcome} from './request-outcome.js';

/** Histograms count in microseconds. */
const microsecondsPerMillisecond = 1000;

/** Results of one rank. */
export class RankResult {
	/** Requests that should have started. */
	offered = 0;
	/** Responses later than the contract's target. */
	late = 0;
	/** Reads that missed a write of their own session. */
	missedOwnWrites = 0;
	readonly outcomes: Record<RequestOutcome, number> = {
		[RequestOutcome.Answered]: 0, [RequestOutcome.Refused]: 0, [RequestOutcome.Unknown]: 0, [RequestOutcome.Failed]: 0,
	};

	/** Numbers of errors by SQLSTATE or error code. */
	readonly errorCodes = new Map<string, number>();
	readonly #terms: RankTerms;
	readonly #histogram: Histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3});

	/** @param terms - Terms of the contract for the rank. */
	constructor(terms: RankTerms) {
		this.#terms = terms;
	}

	/** Requests that were answered on time. */
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
	 * Notes an answered request.
	 *
	 * @param latencyMilliseconds - Time from the intended start to the complete response.
	 */
	recordResponse(latencyMilliseconds: number): void {
		this.outcomes[RequestOutcome.Answered]++;
		this.late += latencyMilliseconds > this.#terms.targetLatencyMilliseconds ? 1 : 0;
		this.#histogram.recordValue(Math.max(1, Math.round(latencyMilliseconds * microsecondsPerMillisecond)));
	}

	/**
	 * Notes a request without an answer.
	 *
	 * @param outcome - Outcome.
	 * @param code - SQLSTATE or error code.
	 */
	recordError(outcome: RequestOutcome, code: string): void {
		this.outcomes[outcome]++;
		this.errorCodes.set(code, (this.errorCodes.get(code) ?? 0) + 1);
	}

	/**
	 * Returns a percentile of the latency of answered requests, in milliseconds.
	 *
	 * @param percentile - For instance 99.
	 */
	getLatency(percentile: number): number {
		return this.outcomes[RequestOutcome.Answered] === 0 ? 0 : this.#histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
	}
}
