import {readFile} from 'node:fs/promises';
import path from 'node:path';

/** Environment variable that contains the path of the sample directory. */
export const sampleDirectoryVariable = 'TARRAGON_BENCH_SAMPLES';

/** Event-loop delay and CPU usage of one process in an interval of one second. */
export type ProcessSample = {
	/** End of the interval, in milliseconds of the system clock. */
	readonly time: number;
	readonly delayP99Milliseconds: number;
	readonly delayMaximumMilliseconds: number;
	/** CPU time as a share of one core. */
	readonly cpuShare: number;
	/** Share of the time for which the process was runnable but waited for a CPU. */
	readonly cpuWaitShare: number;
};

/** Summary of the samples of several processes. */
export type ProcessSummary = {
	/** Median over the samples of all processes. */
	readonly delayP99Milliseconds: number;
	/** Maximum over the samples of all processes. */
	readonly delayMaximumMilliseconds: number;
	/** Mean over the samples of all processes. */
	readonly cpuShare: number;
	/**
	 * Mean over the samples of all processes. A high value means that CPU contention on the machine, rather than the tested
	 * software, delays the responses.
	 */
	readonly cpuWaitShare: number;
	/** Maximum CPU share of any sample. */
	readonly cpuShareMaximum: number;
};

/**
 * Summarizes the samples of the given processes.
 *
 * @param directory - Sample directory.
 * @param pids - Process identifiers.
 * @param from - Start of the interval, in milliseconds of the system clock.
 * @param to - End of the interval, in milliseconds of the system clock.
 */
export async function summarizeProcesses(directory: string, pids: readonly number[], from: number, to: number): Promise<ProcessSummary> {
	const samples: ProcessSample[] = [];
	for (const pid of pids) {
		const text = await readFile(path.join(directory, `${pid}.jsonl`), 'utf8').catch(() => '');
		for (const line of text.split('\n').filter(Boolean)) {
			const sample = JSON.parse(line) as ProcessSample;
			if (sample.time - 1000 >= from && sample.time <= to) {
				samples.push(sample);
			}
		}
	}

	const sortedDelays = samples.map(sample => sample.delayP99Milliseconds).toSorted((left, right) => left - right);
	let cpuShare = 0;
	let cpuWaitShare = 0;
	for (const sample of samples) {
		cpuShare += sample.cpuShare / samples.length;
		cpuWaitShare += sample.cpuWaitShare / samples.length;
	}

	return {
		delayP99Milliseconds: sortedDelays[Math.floor(sortedDelays.length / 2)] ?? 0,
		delayMaximumMilliseconds: Math.max(0, ...samples.map(sample => sample.delayMaximumMilliseconds)),
		cpuShare,
		cpuWaitShare,
		cpuShareMaximum: Math.max(0, ...samples.map(sample => sample.cpuShare)),
	};
}
