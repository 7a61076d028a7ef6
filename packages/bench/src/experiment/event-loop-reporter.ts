/** Preloaded into the processes of an experiment: appends the event-loop delay and the CPU time of each second to a file. */
import {appendFileSync} from 'node:fs';
import path from 'node:path';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import process from 'node:process';
import {directoryVariable, type ProcessSample} from './process-samples.js';

const intervalMilliseconds = 1000;

/** Resolution of the sampling timer, in milliseconds; it is part of every sample. */
const resolutionMilliseconds = 2;

const nanosecondsPerMillisecond = 1e6;

const directory = process.env[directoryVariable];
if (directory !== undefined) {
	const histogram = monitorEventLoopDelay({resolution: resolutionMilliseconds});
	histogram.enable();
	let usage = process.cpuUsage();
	setInterval(() => {
		const used = process.cpuUsage(usage);
		usage = process.cpuUsage();
		const sample: ProcessSample = {
			time: Date.now(),
			delayP99Milliseconds: Math.max(0, (histogram.percentile(99) / nanosecondsPerMillisecond) - resolutionMilliseconds),
			delayMaximumMilliseconds: Math.max(0, (histogram.max / nanosecondsPerMillisecond) - resolutionMilliseconds),
			cpuShare: (used.user + used.system) / 1000 / intervalMilliseconds,
		};
		histogram.reset();
		appendFileSync(path.join(directory, `${process.pid}.jsonl`), `${JSON.stringify(sample)}\n`);
	}, intervalMilliseconds).unref();
}
