import {AcknowledgementMode, Rank, type RankTerms} from '@tarragonstack/core';
import {describe, expect, it} from 'vitest';
import {getStatisticsByRank, getRankStatistics} from '../../src/experiment/rank-statistics.js';
import {type RequestRecord} from '../../src/experiment/request-record.js';
import {RequestOutcome} from '../../src/load/index.js';

const terms: RankTerms = {
	targetLatencyMilliseconds: 100,
	timeoutMilliseconds: 1000,
	maximumStalenessMilliseconds: 0,
	lateRefund: 10,
	floorShare: 0,
	acknowledgement: AcknowledgementMode.Fenced,
	repeatable: false,
};

function createRecord(outcome: RequestOutcome, latency = 10, rank = Rank.Urgent): RequestRecord {
	return {
		rank, group: 'g', isRead: true, arrival: 0, latency, outcome,
	};
}

describe('getRankStatistics', () => {
	it.each([
		{guardsAgainst: 'a response at the target latency that counts as late', records: [createRecord(RequestOutcome.Answered, 100)], expected: {onTime: 1, late: 0, refund: 0}},
		{guardsAgainst: 'a late response without a refund', records: [createRecord(RequestOutcome.Answered, 100.1)], expected: {onTime: 0, late: 1, refund: 10}},
		{guardsAgainst: 'a refusal without a refund', records: [createRecord(RequestOutcome.Refused)], expected: {refused: 1, onTimeShare: 0, refund: 10}},
		{guardsAgainst: 'an unknown outcome that is refunded like a refusal', refusedRefund: 4, records: [createRecord(RequestOutcome.Unknown)], expected: {unknown: 1, refund: 10}},
		{guardsAgainst: 'a lost connection without a refund', refusedRefund: 4, records: [createRecord(RequestOutcome.Failed)], expected: {unknown: 1, refund: 10}},
		{guardsAgainst: 'a refusal that is refunded like a late response', refusedRefund: 4, records: [createRecord(RequestOutcome.Refused)], expected: {refund: 4}},
		{guardsAgainst: 'missing percentiles without responses', records: [createRecord(RequestOutcome.Refused)], expected: {p50Milliseconds: 0, p99Milliseconds: 0}},
		{guardsAgainst: 'an on-time share that is NaN without requests', records: [], expected: {offered: 0, onTimeShare: 1}},
		{
			guardsAgainst: 'refusals that count as on time',
			records: [createRecord(RequestOutcome.Answered), createRecord(RequestOutcome.Answered, 500), createRecord(RequestOutcome.Refused), createRecord(RequestOutcome.Unknown)],
			expected: {offered: 4, onTime: 1, late: 1, refused: 1, unknown: 1, onTimeShare: 0.25, refund: 30},
		},
	])('guards against $guardsAgainst', ({records, refusedRefund, expected}) => {
		expect(getRankStatistics(records, {...terms, ...(refusedRefund !== undefined && {refusedRefund})})).toMatchObject(expected);
	});

	it('guards against requests that are counted for another rank', () => {
		const statisticsByRank = getStatisticsByRank(
			[createRecord(RequestOutcome.Answered, 10, Rank.Urgent), createRecord(RequestOutcome.Answered, 10, Rank.Least)],
			{[Rank.Urgent]: terms, [Rank.Middle]: terms, [Rank.Least]: terms},
		);
		expect(Object.values(Rank).map(rank => statisticsByRank[rank].offered)).toEqual([1, 0, 1]);
	});
});
