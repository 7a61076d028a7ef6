import {setImmediate as waitForCheckPhase} from 'node:timers/promises';
import {type TimerService} from '@tarragonstack/core/time/timer-service';

/**
 * Longest duration of an event loop iteration after which unread input counts as recent, in milliseconds. A request may be left
 * unanswered only if it reached the socket less than 200 ms before the close. The value leaves time to end many connections.
 */
const maximumIterationMilliseconds = 100;

/**
 * Resolves when the event loop has read what had reached the sockets 100 ms ago or earlier. After a time without processor time, timers
 * run before the sockets are read, so a timer alone cannot tell whether a connection is idle.
 *
 * @param timer - Monotonic clock.
 */
export async function readPendingInput(timer: TimerService): Promise<void> {
	// The sockets of the present iteration may have been read some time ago, or not at all.
	await waitForCheckPhase();
	for (;;) {
		const startedAt = timer.now();
		await waitForCheckPhase();
		if (timer.now() - startedAt <= maximumIterationMilliseconds) {
			return;
		}
	}
}
