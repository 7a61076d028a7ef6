import {type Rank} from '@tarragonstack/core';
import {type QueueState, type ScheduledWork} from './scheduled-work.js';

/** Scheduling decision: the work to start next, and the waiting work to refuse. */
export type SchedulingDecision = {
	readonly next?: ScheduledWork;
	readonly refused: readonly ScheduledWork[];
};

/** Admission and ordering decisions of a scheduling policy for one instance. */
export type SchedulingStrategy = {
	/**
	 * Returns whether new work is admitted to the queue.
	 *
	 * @param work - New work, not yet queued.
	 * @param state - Current state of the queue.
	 */
	admits(work: ScheduledWork, state: QueueState): boolean;

	/**
	 * Chooses the next work to start and the work to refuse.
	 *
	 * @param state - Current state of the queue.
	 */
	choose(state: QueueState): SchedulingDecision;

	/**
	 * Accounts for slot time that was used.
	 *
	 * @param work - Work that finished.
	 * @param slotMilliseconds - Slot time that it used.
	 * @param state - State of the queue after the work finished.
	 */
	onServed(work: ScheduledWork, slotMilliseconds: number, state: QueueState): void;

	/**
	 * Returns the expected wait of new work, in milliseconds.
	 *
	 * @param rank - Rank of the work.
	 * @param state - Current state of the queue.
	 */
	getExpectedWait(rank: Rank, state: QueueState): number;
};
