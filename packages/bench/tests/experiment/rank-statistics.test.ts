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
		{title: 'counts the target latency as on time', records: [createRecord(RequestOutcome.Answered, 100)], expected: {onTime: 1, late: 0, refund: 0}},
		{title: 'refunds a late response', records: [createRecord(RequestOutcome.Answered, 100.1)], expected: {onTime: 0, late: 1, refund: 10}},
		{title: 'refunds refusals as late by default', records: [createRecord(RequestOutcome.Refused)], expected: {refused: 1, onTimeShare: 0, refund: 10}},
		{title: 'refunds unknown outcomes as late', refusedRefund: 4, records: [createRecord(RequestOutcome.Unknown)], expected: {unknown: 1, refund: 10}},
		{title: 'refunds lost connections as late', refusedRefund: 4, records: [createRecord(RequestOutcome.Failed)], expected: {unknown: 1, refund: 10}},
		{title: 'refunds refusals at their own rate', refusedRefund: 4, records: [createRecord(RequestOutcome.Refused)], expected: {refund: 4}},
		{title: 'returns percentiles without responses', records: [createRecord(RequestOutcome.Refused)], expected: {p50Milliseconds: 0, p99Milliseconds: 0}},
		{title: 'returns a share of 1 without requests', records: [], expected: {offered: 0, onTimeShare: 1}},
		{
			title: 'counts each outcome separately',
			records: [createRecord(RequestOutcome.Answered), createRecord(RequestOutcome.Answered, 500), createRecord(RequestOutcome.Refused), createRecord(RequestOutcome.Unknown)],
			expected: {offered: 4, onTime: 1, late: 1, refused: 1, unknown: 1, onTimeShare: 0.25, refund: 30},
		},
	])('$title', ({records, refusedRefund, expected}) => {
		expect(getRankStatistics(records, {...terms, ...(refusedRefund !== undefined && {refusedRefund})})).toMatchObject(expected);
	});

	it('counts each request for its own rank only', () => {
		const statisticsByRank = getStatisticsByRank(
			[createRecord(RequestOutcome.Answered, 10, Rank.Urgent), createRecord(RequestOutcome.Answered, 10, Rank.Least)],
			{[Rank.Urgent]: terms, [Rank.Middle]: terms, [Rank.Least]: terms},
		);
		expect(Object.values(Rank).map(rank => statisticsByRank[rank].offered)).toEqual([1, 0, 1]);
	});
});
