import {ranks} from '@tarragonstack/core';
import {RequestOutcome, type LoadResult} from '../load/index.js';

const columnWidths = [8, 8, 9, 8, 8, 9, 8, 10, 9, 9];
const header = ['rank', 'offered', 'answered', 'late', 'refused', 'unknown', 'failed', 'refund', 'p50 ms', 'p99 ms'];

function formatLine(cells: readonly string[]): string {
	return cells.map((cell, index) => index === 0 ? cell.padEnd(columnWidths[index]!) : cell.padStart(columnWidths[index]!)).join('');
}

/**
 * Formats the results of a load as a table with one row per rank.
 *
 * @param result - Results of the load.
 */
export function formatRanks(result: LoadResult): string {
	const lines = [formatLine(header)];
	for (const rank of ranks) {
		const rankResult = result.ranks.get(rank);
		if (rankResult) {
			const {offered, late, refund, outcomes} = rankResult;
			lines.push(formatLine([
				rank,
				...[offered, outcomes[RequestOutcome.Answered], late].map(String),
				...[RequestOutcome.Refused, RequestOutcome.Unknown, RequestOutcome.Failed].map(outcome => String(outcomes[outcome])),
				refund.toFixed(2),
				rankResult.getLatency(50).toFixed(1),
				rankResult.getLatency(99).toFixed(1),
			]));
		}
	}

	return lines.join('\n');
}

/**
 * Formats the error counts by code.
 *
 * @param result - Results of the load.
 */
export function formatErrors(result: LoadResult): string {
	const counts = new Map<string, number>();
	for (const {errorCodes} of result.ranks.values()) {
		for (const [code, count] of errorCodes) {
			counts.set(code, (counts.get(code) ?? 0) + count);
		}
	}

	return counts.size === 0 ? 'none' : [...counts].map(([code, count]) => `${code}: ${count}`).join(', ');
}
