import {readFile} from 'node:fs/promises';
import path from 'node:path';

/** Environment variable that names the directory of the samples. */
export const sampleDirectoryVariable = 'TARRAGON_BENCH_SAMPLES';

/** Event loop and CPU of one process in one second. */
export type ProcessSample = {
	/** End of the second, in milliseconds of the system clock. */
	readonly time: number;
	readonly delayP99Milliseconds: number;
	readonly delayMaximumMilliseconds: number;
	/** CPU time as a share of one core. */
	readonly cpuShare: number;
	/** Share of the time for which the process was ready to run but other processes used the CPUs. */
	readonly cpuWaitShare: number;
};

/** Summary of several processes. */
export type ProcessSummary = {
	/** Median of the seconds of all processes. */
	readonly delayP99Milliseconds: number;
	/** Greatest of all seconds. */
	readonly delayMaximumMilliseconds: number;
	/** Mean of all processes. */
	readonly cpuShare: number;
	/** Mean of all processes. A high share means that the machine, not the product, delays the answers. */
	readonly cpuWaitShare: number;
	/** Greatest second of any process. */
	readonly cpuShareMaximum: number;
};

/**
 * Summarizes the samples of some processes.
 *
 * @param directory - Directory of the samples.
 * @param pids - Process identifiers.
 * @param from - Begin of the interval, in milliseconds of the system clock.
 * @param to - End of the interval.
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
