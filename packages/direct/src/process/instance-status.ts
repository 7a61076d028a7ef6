import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type InstanceStatus, type UpstreamDialer} from '../connection/upstream-channel.js';
import {type InstanceEntry} from './instance-entry.js';

/** Timeout of a status request, in milliseconds. */
export const statusTimeoutMilliseconds = 300;

/**
 * Requests the status of an instance on a dedicated connection.
 *
 * @param instance - Instance to query.
 * @param dialer - Opens the connection.
 * @param timer - Monotonic clock.
 * @returns The status, or `undefined` if the instance does not respond in time.
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
