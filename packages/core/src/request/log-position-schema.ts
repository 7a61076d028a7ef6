import {z} from 'zod';
import {type LogPosition} from './log-position.js';

/** Schema of a position in the replicated log of a group. */
export const logPositionSchema: z.ZodType<LogPosition> = z.object({
	term: z.number().int().nonnegative(),
	index: z.number().int().nonnegative(),
});
