import {Rank, type RankTerms} from '@tarragonstack/core';
import {build} from 'hdr-histogram-js';
import {RequestOutcome} from '../load/index.js';
import {type RequestRecord} from './request-record.js';

const microsecondsPerMillisecond = 1000;

/** Statistics of the requests of one rank. */
export type RankStatistics = {
	readonly offered: number;
	readonly onTime: number;
	readonly onTimeShare: number;
	readonly late: number;
	readonly refused: number;
	/** Requests with an unknown outcome, including those that failed, for instance because the connection was lost. */
	readonly unknown: number;
	readonly refund: number;
	readonly p50Milliseconds: number;
	readonly p99Milliseconds: number;
};

/**
 * Computes the statistics of one rank.
 *
 * @param records - Requests of the rank.
 * @param terms - Contract terms of the rank.
 */
export function getRankStatistics(records: readonly RequestRecord[], terms: RankTerms): RankStatistics {
	const histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3});
	const outcomeCounts = {onTime: 0, late: 0, refused: 0, unknown: 0};
	for (const {outcome, latency} of records) {
		if (outcome === RequestOutcome.Answered) {
			histogram.recordValue(Math.max(1, Math.round(latency * microsecondsPerMillisecond)));
			outcomeCounts[latency > terms.targetLatencyMilliseconds ? 'late' : 'onTime']++;
		} else {
			outcomeCounts[outcome === RequestOutcome.Refused ? 'refused' : 'unknown']++;
		}
	}

	const {lateRefund, refusedRefund = lateRefund} = terms;
	const getLatency = (percentile: number) =>
		outcomeCounts.onTime + outcomeCounts.late === 0 ? 0 : histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
	return {
		offered: records.length,
		...outcomeCounts,
		onTimeShare: records.length === 0 ? 1 : outcomeCounts.onTime / records.length,
		refund: ((outcomeCounts.late + outcomeCounts.unknown) * lateRefund) + (outcomeCounts.refused * refusedRefund),
		p50Milliseconds: getLatency(50),
		p99Milliseconds: getLatency(99),
	};
}

/**
 * Computes the statistics of each rank.
 *
 * @param records - Requests of all ranks.
 * @param terms - Contract terms of the ranks.
 */
export function getStatisticsByRank(records: readonly RequestRecord[], terms: Readonly<Record<Rank, RankTerms>>): Record<Rank, RankStatistics> {
	return Object.fromEntries(Object.values(Rank).map(rank =>
		[rank, getRankStatistics(records.filter(record => record.rank === rank), terms[rank])])) as Record<Rank, RankStatistics>;
}
