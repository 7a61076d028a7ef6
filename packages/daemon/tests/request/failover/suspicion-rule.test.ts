import process from 'node:process';
import fc from 'fast-check';
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import {describe, expect, it} from 'vitest';
import {ControlErrorKind, type ControlError} from '../../../src/index.js';
import {InstanceReachability} from '../../../src/request/failover/instance-reachability.js';
import {suspicionTimeoutMilliseconds} from '../../../src/request/failover/group-condition.js';

const pollMilliseconds = 50;
const pollsPerRun = 100_000;
const timedOut: ControlError = {kind: ControlErrorKind.TimedOut, message: 'no response', connectionAttempt: 0};

/** Failure detector that decides after each poll whether the instance is suspected. */
type SuspicionRule = {
	recordPoll(answered: boolean, now: number): boolean;
};

function createTimeoutRule(limitMilliseconds: number): SuspicionRule {
	const reachability = new InstanceReachability();
	return {
		recordPoll(answered, now) {
			reachability.recordRequest(now);
			if (answered) {
				reachability.recordResponse();
			} else {
				reachability.recordFailure(timedOut);
			}

			return reachability.getUnansweredMilliseconds(now) >= limitMilliseconds;
		},
	};
}

/** Leaky-bucket counter: incremented by each lost response and decremented once per interval, whatever the polls return. */
function createLeakyBucketRule(threshold: number, decayMilliseconds: number): SuspicionRule {
	let level = 0;
	let lastDecayAt = 0;
	return {
		recordPoll(answered, now) {
			level += answered ? 0 : 1;
			while (now - lastDecayAt >= decayMilliseconds) {
				lastDecayAt += decayMilliseconds;
				level = Math.max(0, level - 1);
			}

			return level >= threshold;
		},
	};
}

/** Returns the maximum time from the first lost response of a dead instance to its suspicion, over all phases of the decay. */
function measureDetection(createRule: () => SuspicionRule): number {
	let longest = 0;
	for (let answeredPolls = 1; answeredPolls <= 60; answeredPolls++) {
		const rule = createRule();
		for (let poll = 0; poll < answeredPolls; poll++) {
			rule.recordPoll(true, poll * pollMilliseconds);
		}

		const diedAt = answeredPolls * pollMilliseconds;
		let now = diedAt;
		while (!rule.recordPoll(false, now) && now - diedAt < 60_000) {
			now += pollMilliseconds;
		}

		longest = Math.max(longest, now - diedAt);
	}

	return longest;
}

/** Returns the smallest threshold with which a counter takes at least the given time to detect a dead instance. */
function findThreshold(decayMilliseconds: number, detectionMilliseconds: number): number {
	let threshold = 0;
	let detection = 0;
	while (detection < detectionMilliseconds) {
		threshold++;
		const candidate = threshold;
		detection = measureDetection(() => createLeakyBucketRule(candidate, decayMilliseconds));
	}

	return threshold;
}

/**
 * Returns the number of polls at which a live instance is suspected while responses are lost at random. This measures the
 * time under suspicion instead of the number of suspicions, which would favor a rule that never withdraws a false one.
 */
function countFalselySuspectedPolls(createRule: () => SuspicionRule, seed: number, loss: number): number {
	const rule = createRule();
	const generator = xoroshiro128plus(seed);
	const scale = 1_000_000;
	let count = 0;
	for (let poll = 0; poll < pollsPerRun; poll++) {
		const answered = unsafeUniformIntDistribution(0, scale - 1, generator) >= loss * scale;
		count += rule.recordPoll(answered, poll * pollMilliseconds) ? 1 : 0;
	}

	return count;
}

describe('suspicion of an instance under lossy polls', () => {
	it.each([
		{loss: 0.2},
		{loss: 0.4},
		{loss: 0.6},
	])('the timeout rule suspects a live instance for no longer than a leaky-bucket counter with the same detection time at a loss of $loss', ({loss}) => {
		const {seed: globalSeed} = fc.readConfigureGlobal();
		const seed = (globalSeed ?? 0) + Math.round(loss * 10);
		for (const decay of [60, 100, 200, 500]) {
			const threshold = findThreshold(decay, suspicionTimeoutMilliseconds);
			const createCounter = () => createLeakyBucketRule(threshold, decay);
			const detection = measureDetection(createCounter);
			const createTimeout = () => createTimeoutRule(detection);
			expect(measureDetection(createTimeout)).toBe(detection);
			const suspectedByTimeout = countFalselySuspectedPolls(createTimeout, seed, loss);
			const suspectedByCounter = countFalselySuspectedPolls(createCounter, seed, loss);
			process.stdout.write(`suspicion: loss ${loss}, seed ${seed}, detection ${detection} ms, ${pollsPerRun} polls: `
				+ `timeout rule ${suspectedByTimeout}, counter of ${threshold} with decay ${decay} ms ${suspectedByCounter}\n`);
			expect(suspectedByTimeout).toBeLessThanOrEqual(suspectedByCounter);
		}
	});
});
