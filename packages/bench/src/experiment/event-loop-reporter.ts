/**
 * Module that is preloaded into the processes of an experiment. Appends a sample of the event-loop delay, the CPU time and the
 * run-queue wait to a file once per second.
 */
import {appendFileSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import process from 'node:process';
import {sampleDirectoryVariable, type ProcessSample} from './process-samples.js';

const intervalMilliseconds = 1000;

/** Resolution of the delay monitor, in milliseconds. Each measured delay includes it, so it is subtracted. */
const resolutionMilliseconds = 2;

const nanosecondsPerMillisecond = 1e6;

/** Returns the total time for which the main thread was runnable but waited for a CPU, in nanoseconds. */
function getRunQueueWait(): number {
	try {
		return Number(readFileSync('/proc/self/schedstat', 'utf8').split(' ')[1]);
	} catch {
		// The file exists on Linux only.
		return 0;
	}
}

const directory = process.env[sampleDirectoryVariable];
if (directory !== undefined) {
	const histogram = monitorEventLoopDelay({resolution: resolutionMilliseconds});
	histogram.enable();
	let cpuUsage = process.cpuUsage();
	let runQueueWait = getRunQueueWait();
	setInterval(() => {
		const usedCpuTime = process.cpuUsage(cpuUsage);
		cpuUsage = process.cpuUsage();
		const previousRunQueueWait = runQueueWait;
		runQueueWait = getRunQueueWait();
		const sample: ProcessSample = {
			time: Date.now(),
			delayP99Milliseconds: Math.max(0, (histogram.percentile(99) / nanosecondsPerMillisecond) - resolutionMilliseconds),
			delayMaximumMilliseconds: Math.max(0, (histogram.max / nanosecondsPerMillisecond) - resolutionMilliseconds),
			cpuWaitShare: (runQueueWait - previousRunQueueWait) / nanosecondsPerMillisecond / intervalMilliseconds,
			cpuShare: (usedCpuTime.user + usedCpuTime.system) / 1000 / intervalMilliseconds,
		};
		histogram.reset();
		appendFileSync(path.join(directory, `${process.pid}.jsonl`), `${JSON.stringify(sample)}\n`);
	}, intervalMilliseconds).unref();
}
