import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type ClientListener} from '../connection/client-listener.js';
import {type EventLog} from './event-log.js';
import {type RotationTracker} from './rotation-tracker.js';

/** Share of the grace time after which idle connections are closed although the load balancer may send new clients. */
const rotationShare = 0.4;

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
export async function stopGracefully(listener: ClientListener, options: {graceMilliseconds: number; rotation: RotationTracker; timer: TimerService; log: EventLog}): Promise<void> {
	const {timer, log, rotation, graceMilliseconds} = options;
	const startedAt = timer.now();
	const forcedAt = startedAt + (graceMilliseconds * forcedShare);
	// A client that is sent away too soon might return to this host.
	while (!rotation.isOut && timer.now() < startedAt + (graceMilliseconds * rotationShare)) {
		await timer.sleep(checkIntervalMilliseconds);
	}

	while (timer.now() < forcedAt) {
		listener.closeIdle();
		if (listener.busyConnections === 0) {
			break;
		}

		await timer.sleep(checkIntervalMilliseconds);
	}

	log.write('stopped', {abandonedConnections: listener.busyConnections, durationMilliseconds: Math.round(timer.now() - startedAt)});
}
