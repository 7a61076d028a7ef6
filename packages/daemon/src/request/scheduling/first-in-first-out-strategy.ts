import {type Rank} from '@tarragonstack/core';
import {type QueueState, type ScheduledWork} from './scheduled-work.js';
import {type SchedulingDecision, type SchedulingStrategy} from './scheduling-strategy.js';

/** Baseline that serves work in the order of arrival and refuses only work that would time out before it starts. */
export class FirstInFirstOutStrategy implements SchedulingStrategy {
	/** @inheritdoc */
	admits(work: ScheduledWork, state: QueueState): boolean {
		return state.now + this.getExpectedWait(work.rank, state) < work.timeoutAt;
	}

	/** @inheritdoc */
	choose(state: QueueState): SchedulingDecision {
		const [next] = state.waiting;
		return {refused: [], ...(next && {next})};
	}

	/** @inheritdoc */
	onServed(): void {}

	/** @inheritdoc */
	getExpectedWait(_rank: Rank, state: QueueState): number {
		let milliseconds = state.residualMilliseconds;
		for (const waiting of state.waiting) {
			milliseconds += waiting.serviceMilliseconds;
		}

		return milliseconds / state.slots;
	}
}
