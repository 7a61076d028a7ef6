import {readFile} from 'node:fs/promises';
import {createRequire} from 'node:module';
import path from 'node:path';
import {Rank} from '@tarragonstack/core';
import {type RankStatistics} from './rank-statistics.js';
import {formatReport} from './report-table.js';
import {type ExperimentReport} from './run-experiment.js';

const require = createRequire(import.meta.url);

const rankColors: Readonly<Record<Rank, string>> = {[Rank.Urgent]: '#c0392b', [Rank.Middle]: '#b7950b', [Rank.Least]: '#2471a3'};

const plots: ReadonlyArray<{readonly title: string; readonly getValue: (statistics: RankStatistics) => number}> = [
	{title: 'On-time share by arrival time (s)', getValue: ({onTimeShare}) => onTimeShare},
	{title: 'p50 latency in ms by arrival time (s)', getValue: ({p50Milliseconds}) => p50Milliseconds},
	{title: 'p99 latency in ms by arrival time (s)', getValue: ({p99Milliseconds}) => p99Milliseconds},
];

/**
 * Creates a self-contained HTML page with the report table and plots over time.
 *
 * @param report - Report of an experiment.
 */
export async function createHtmlReport(report: ExperimentReport): Promise<string> {
	const directory = path.dirname(require.resolve('uplot'));
	const [script, style] = await Promise.all(['uPlot.iife.min.js', 'uPlot.min.css'].map(async file => readFile(path.join(directory, file), 'utf8')));
	const times = report.series.map(({time}) => time / 1000);
	const data = plots.map(({title, getValue}) => ({
		title, values: [times, ...Object.values(Rank).map(rank => report.series.map(({ranks}) => getValue(ranks[rank])))],
	}));
	const series = [{}, ...Object.values(Rank).map(rank => ({label: rank, stroke: rankColors[rank], width: 2}))];
	return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>${report.experiment}, ${report.deployment}</title>
<style>${style} body {font-family: sans-serif}</style>
<h1>${report.experiment}, ${report.deployment}</h1>
<pre>${escapeHtml(formatReport(report))}</pre>
<script>${script}</script>
<script>
for (const {title, values} of ${JSON.stringify(data)}) {
	new uPlot({title, width: 900, height: 260, scales: {x: {time: false}}, series: ${JSON.stringify(series)}}, values, document.body);
}
</script>
</html>
`;
}

function escapeHtml(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}
