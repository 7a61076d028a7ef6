import {FirstInFirstOutStrategy} from './first-in-first-out-strategy.js';
import {RefundStrategy} from './refund-strategy.js';
import {type SchedulingStrategy} from './scheduling-strategy.js';
import {StrictPriorityStrategy} from './strict-priority-strategy.js';

/** Order in which an instance serves waiting work. */
export enum SchedulingPolicy {
	/** Expected refund saved per slot time, with deadlines, floors and customer weights. */
	RefundPerSlotTime = 'refund-per-slot-time',
	/** Baseline: order of arrival. */
	FirstInFirstOut = 'first-in-first-out',
	/** Baseline: higher ranks first, then order of arrival. */
	StrictPriority = 'strict-priority',
}

/** Creates the strategy of each policy. */
export const schedulingStrategies: Readonly<Record<SchedulingPolicy, () => SchedulingStrategy>> = {
	[SchedulingPolicy.RefundPerSlotTime]: () => new RefundStrategy(),
	[SchedulingPolicy.FirstInFirstOut]: () => new FirstInFirstOutStrategy(),
	[SchedulingPolicy.StrictPriority]: () => new StrictPriorityStrategy(),
};
