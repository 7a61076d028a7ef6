import {Rank, type RankTerms} from '@tarragonstack/core';
import {build} from 'hdr-histogram-js';
import {RequestOutcome} from '../load/index.js';
import {type RequestRecord} from './request-record.js';

const microsecondsPerMillisecond = 1000;

/** Figures of one rank. */
export type RankFigures = {
	readonly offered: number;
	readonly onTime: number;
	readonly onTimeShare: number;
	readonly late: number;
	readonly refused: number;
	/** Requests whose outcome is unknown, among them lost connections. */
	readonly unknown: number;
	readonly refund: number;
	readonly p50Milliseconds: number;
	readonly p99Milliseconds: number;
};

/**
 * Computes the figures of one rank.
 *
 * @param records - Requests of the rank.
 * @param terms - Terms of the contract for the rank.
 */
export function getRankFigures(records: readonly RequestRecord[], terms: RankTerms): RankFigures {
	const histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3});
	const counts = {onTime: 0, late: 0, refused: 0, unknown: 0};
	for (const {outcome, latency} of records) {
		if (outcome === RequestOutcome.Answered) {
			histogram.recordValue(Math.max(1, Math.round(latency * microsecondsPerMillisecond)));
			counts[latency > terms.targetLatencyMilliseconds ? 'late' : 'onTime']++;
		} else {
			counts[outcome === RequestOutcome.Refused ? 'refused' : 'unknown']++;
		}
	}

	const {lateRefund, refusedRefund = lateRefund} = terms;
	const getLatency = (percentile: number) =>
		counts.onTime + counts.late === 0 ? 0 : histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
	return {
		offered: records.length,
		...counts,
		onTimeShare: records.length === 0 ? 1 : counts.onTime / records.length,
		refund: ((counts.late + counts.unknown) * lateRefund) + (counts.refused * refusedRefund),
		p50Milliseconds: getLatency(50),
		p99Milliseconds: getLatency(99),
	};
}

/**
 * Computes the figures of all ranks.
 *
 * @param records - Requests of all ranks.
 * @param terms - Terms of the contract.
 */
export function getAllRankFigures(records: readonly RequestRecord[], terms: Readonly<Record<Rank, RankTerms>>): Record<Rank, RankFigures> {
	return Object.fromEntries(Object.values(Rank).map(rank =>
		[rank, getRankFigures(records.filter(record => record.rank === rank), terms[rank])])) as Record<Rank, RankFigures>;
}
