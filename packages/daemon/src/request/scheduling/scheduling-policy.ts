import {FirstInFirstOutStrategy} from './first-in-first-out-strategy.js';
import {RefundStrategy} from './refund-strategy.js';
import {type SchedulingStrategy} from './scheduling-strategy.js';
import {StrictPriorityStrategy} from './strict-priority-strategy.js';

/** Order in which an instance serves queued work. */
export enum SchedulingPolicy {
	/** Highest refund avoided per unit of slot time, subject to deadlines, floors and customer weights. */
	RefundPerSlotTime = 'refund-per-slot-time',
	/** Baseline: order of arrival. */
	FirstInFirstOut = 'first-in-first-out',
	/** Baseline: strict priority by rank, then order of arrival. */
	StrictPriority = 'strict-priority',
}

/** Factories of the scheduling strategies, by policy. */
export const schedulingStrategyFactories: Readonly<Record<SchedulingPolicy, () => SchedulingStrategy>> = {
	[SchedulingPolicy.RefundPerSlotTime]: () => new RefundStrategy(),
	[SchedulingPolicy.FirstInFirstOut]: () => new FirstInFirstOutStrategy(),
	[SchedulingPolicy.StrictPriority]: () => new StrictPriorityStrategy(),
};
