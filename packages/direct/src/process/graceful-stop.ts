import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type ClientListener} from '../connection/client-listener.js';
import {type EventLog} from './event-log.js';

/**
 * Time after which a load balancer sends no new clients, in milliseconds: two health checks, one second apart, with some
 * margin. A client that is sent away sooner might return to this host.
 */
export const rotationMilliseconds = 2200;

/** Share of the grace time after which the process ends even if requests are running. */
const forcedShare = 0.9;

/** Interval at which running requests are looked at, in milliseconds. */
const checkIntervalMilliseconds = 50;

/**
 * Serves the clients of a host that is asked to stop until they are elsewhere.
 *
 * @param listener - Connections of clients.
 * @param options - Time until the process is killed, in milliseconds, and services.
 */
export async function stopGracefully(listener: ClientListener, options: {graceMilliseconds: number; timer: TimerService; log: EventLog}): Promise<void> {
	const {timer, log, graceMilliseconds} = options;
	const startedAt = timer.now();
	const forcedAt = startedAt + (graceMilliseconds * forcedShare);
	await timer.sleep(Math.min(rotationMilliseconds, graceMilliseconds / 2));
	while (timer.now() < forcedAt) {
		listener.closeIdle();
		if (listener.busyConnections === 0) {
			break;
		}

		await timer.sleep(checkIntervalMilliseconds);
	}

	log.write('stopped', {abandonedConnections: listener.busyConnections, durationMilliseconds: Math.round(timer.now() - startedAt)});
}
