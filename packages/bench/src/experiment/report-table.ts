import {Rank} from '@tarragonstack/core';
import {type RankStatistics} from './rank-statistics.js';
import {type ExperimentReport} from './run-experiment.js';

const columnWidths = [18, 9, 10, 8, 9, 9, 11, 9, 9];
const header = ['rank', 'offered', 'on time', 'late', 'refused', 'unknown', 'refund', 'p50 ms', 'p99 ms'];

function formatLine(cells: readonly string[]): string {
	return cells.map((cell, index) => index === 0 ? cell.padEnd(columnWidths[index]!) : cell.padStart(columnWidths[index]!)).join('');
}

function formatRank(name: string, statistics: RankStatistics): string {
	return formatLine([
		name,
		String(statistics.offered),
		`${(100 * statistics.onTimeShare).toFixed(2)} %`,
		...[statistics.late, statistics.refused, statistics.unknown].map(String),
		statistics.refund.toFixed(2),
		statistics.p50Milliseconds.toFixed(1),
		statistics.p99Milliseconds.toFixed(1),
	]);
}

/**
 * Formats a report as plain text with a table of the ranks.
 *
 * @param report - Report of an experiment.
 */
export function formatReport(report: ExperimentReport): string {
	const lines = [
		`${report.experiment}, ${report.deployment} (${report.groups} groups), ${report.policy}, seed ${report.seed}, load average ${report.loadAverage.toFixed(1)}`,
		formatLine(header),
		...Object.values(Rank).map(rank => formatRank(rank, report.ranks[rank])),
	];
	for (const [phase, statisticsByRank] of Object.entries(report.phases)) {
		lines.push(...Object.values(Rank).map(rank => formatRank(`${phase}, ${rank}`, statisticsByRank[rank])));
	}

	lines.push(
		`reads at replicas: ${(100 * report.replicaReadShare).toFixed(1)} %; gaps in writes: ${report.writeGapsMilliseconds.map(gap => gap.toFixed(0)).join(', ')} ms`,
		`refunds: ${report.refundTotal.toFixed(2)}; lower bound: ${report.refundLowerBound.toFixed(2)}; reads that missed an own write: ${report.missedOwnWrites}`,
		`errors: ${Object.entries(report.errorCodes).map(([code, count]) => `${code}: ${count}`).join(', ') || 'none'}`,
	);
	for (const [name, summary] of Object.entries(report.processes)) {
		lines.push(`${name}: event-loop delay p99 ${summary.delayP99Milliseconds.toFixed(1)} ms (median over 1 s samples), maximum ${summary.delayMaximumMilliseconds.toFixed(1)} ms; `
			+ `CPU ${(100 * summary.cpuShare).toFixed(0)} % of a core, maximum ${(100 * summary.cpuShareMaximum).toFixed(0)} %; `
			+ `waiting for a CPU ${(100 * summary.cpuWaitShare).toFixed(1)} % of the time`);
	}

	for (const {name, value, target, isMet} of report.checks) {
		lines.push(`${isMet ? 'met   ' : 'missed'} ${name}: ${value.toFixed(4)} (target ${target})`);
	}

	return lines.join('\n');
}
