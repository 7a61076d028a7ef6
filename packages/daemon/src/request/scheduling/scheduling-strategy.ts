import {type Rank} from '@tarragonstack/core';
import {type QueueState, type ScheduledWork} from './scheduled-work.js';

/** Next work to start, and waiting work that is refused instead. */
export type SchedulingChoice = {
	readonly next?: ScheduledWork;
	readonly refused: readonly ScheduledWork[];
};

/** Decisions of one policy for one instance. */
export type SchedulingStrategy = {
	/**
	 * Decides whether new work is worth queueing.
	 *
	 * @param work - New work, not yet waiting.
	 * @param state - Present state.
	 */
	admits(work: ScheduledWork, state: QueueState): boolean;

	/**
	 * Chooses the next work to start.
	 *
	 * @param state - Present state.
	 */
	choose(state: QueueState): SchedulingChoice;

	/**
	 * Takes note of slot time that was used.
	 *
	 * @param work - Work that ended.
	 * @param slotMilliseconds - Slot time that it used.
	 * @param state - State after the work ended.
	 */
	onServed(work: ScheduledWork, slotMilliseconds: number, state: QueueState): void;

	/**
	 * Returns the expected wait of new work, in milliseconds.
	 *
	 * @param rank - Rank of the work.
	 * @param state - Present state.
	 */
	getExpectedWait(rank: Rank, state: QueueState): number;
};
