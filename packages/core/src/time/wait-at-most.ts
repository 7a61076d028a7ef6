import {type TimerService} from './timer-service.js';

/**
 * Waits for a promise, but no longer than a given time.
 *
 * Uses a scheduled callback because an aborted sleep is much slower: the abort creates an exception with a stack trace.
 *
 * @param promise - Promise to wait for. A rejection within the time is passed on, a later one is ignored.
 * @param milliseconds - Maximum time to wait.
 * @param timerService - Source of time.
 * @returns Whether the promise was fulfilled in time.
 */
export async function waitAtMost(promise: Promise<unknown>, milliseconds: number, timerService: TimerService): Promise<boolean> {
	return new Promise<boolean>((resolve, reject) => {
		const timer = timerService.schedule(milliseconds, () => {
			resolve(false);
		});
		promise.then(() => {
			timer[Symbol.dispose]();
			resolve(true);
		}, (error: unknown) => {
			timer[Symbol.dispose]();
			reject(error instanceof Error ? error : new Error(String(error)));
		});
	});
}
