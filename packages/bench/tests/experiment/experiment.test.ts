import {execFile} from 'node:child_process';
import process from 'node:process';
import {promisify} from 'node:util';
import {expect, it} from 'vitest';
import {getCompiledPath} from '../../src/fleet/compiled-path.js';

// eslint-disable-next-line @typescript-eslint/strict-void-return -- execFile returns the child process besides its callback
const execute = promisify(execFile);

const anyRankStatistics = {
	offered: expect.any(Number),
	onTimeShare: expect.any(Number),
	late: expect.any(Number),
	refused: expect.any(Number),
	refund: expect.any(Number),
	p50Milliseconds: expect.any(Number),
	p99Milliseconds: expect.any(Number),
};

it('guards against a JSON report that lacks a figure, and against a run that loses requests', async () => {
	const script = getCompiledPath('@tarragonstack/bench', 'experiment/main.js');
	const {stdout} = await execute(process.execPath, [script, 'steady', '--deployment', 'edredon', '--seed', '5', '--scale', '0.2', '--json']);
	const report = JSON.parse(stdout.trim().split('\n').at(-1)!);
	expect(report).toMatchObject({
		experiment: 'steady',
		deployment: 'edredon',
		policy: 'refund-per-slot-time',
		seed: 5,
		ranks: {urgent: anyRankStatistics, middle: anyRankStatistics, least: anyRankStatistics},
		replicaReadShare: expect.any(Number),
		writeGapMilliseconds: expect.any(Number),
		refundTotal: expect.any(Number),
		refundLowerBound: expect.any(Number),
		loadAverage: expect.any(Number),
	});
	for (const statistics of Object.values<Record<string, number>>(report.ranks)) {
		expect(statistics.offered).toBeGreaterThan(0);
		expect(statistics.onTime! + statistics.late! + statistics.refused! + statistics.unknown!).toBe(statistics.offered);
	}
});
