import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type InstanceStatus, type UpstreamDialer} from '../connection/upstream-channel.js';
import {type InstanceEntry} from './instance-entry.js';

/** Time that an instance may take to answer a status request, in milliseconds. */
export const statusTimeoutMilliseconds = 300;

/**
 * Asks an instance for its status on a connection of its own.
 *
 * @param instance - Instance to ask.
 * @param dialer - Opens the connection.
 * @param timer - Monotonic clock.
 * @returns The status, or `undefined` if the instance does not answer in time.
 */
export async function readInstanceStatus(instance: InstanceEntry, dialer: UpstreamDialer, timer: TimerService): Promise<InstanceStatus | undefined> {
	const dialled = await dialer.dial(instance, statusTimeoutMilliseconds);
	if (dialled.isErr()) {
		return undefined;
	}

	using channel = dialled.value;
	const status = await channel.readStatus(timer.now() + statusTimeoutMilliseconds);
	return status.unwrapOr(undefined);
}
