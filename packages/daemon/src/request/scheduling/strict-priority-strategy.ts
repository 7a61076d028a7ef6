import {ranks, type Rank} from '@tarragonstack/core';
import {type QueueState, type ScheduledWork} from './scheduled-work.js';
import {type SchedulingDecision, type SchedulingStrategy} from './scheduling-strategy.js';

/** Baseline that serves higher ranks first and refuses only work that would time out before it starts. */
export class StrictPriorityStrategy implements SchedulingStrategy {
	/** @inheritdoc */
	admits(work: ScheduledWork, state: QueueState): boolean {
		return state.now + this.getExpectedWait(work.rank, state) < work.timeoutAt;
	}

	/** @inheritdoc */
	choose(state: QueueState): SchedulingDecision {
		let next: ScheduledWork | undefined;
		for (const work of state.waiting) {
			if (!next || ranks.indexOf(work.rank) < ranks.indexOf(next.rank)) {
				next = work;
			}
		}

		return {refused: [], ...(next && {next})};
	}

	/** @inheritdoc */
	onServed(): void {}

	/** @inheritdoc */
	getExpectedWait(rank: Rank, state: QueueState): number {
		let milliseconds = state.residualMilliseconds;
		for (const waiting of state.waiting) {
			if (ranks.indexOf(waiting.rank) <= ranks.indexOf(rank)) {
				milliseconds += waiting.serviceMilliseconds;
			}
		}

		return milliseconds / state.slots;
	}
}
