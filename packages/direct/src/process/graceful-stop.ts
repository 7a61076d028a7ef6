import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type ClientListener} from '../connection/client-listener.js';
import {type RelayListener} from '../connection/relay-listener.js';
import {type EventLog} from './event-log.js';
import {type RotationTracker} from './rotation-tracker.js';

/** Share of the grace time after which idle connections are closed although the load balancer may send new clients. */
const rotationWaitFraction = 0.4;

/** Share of the grace time after which the process ends even if requests are running. */
const forcedStopFraction = 0.9;

/** Interval at which running requests are looked at, in milliseconds. */
const checkIntervalMilliseconds = 50;

/** Services of `stopGracefully`. */
export type GracefulStopOptions = {
	/** Time until the process is killed, in milliseconds. */
	readonly graceMilliseconds: number;
	readonly rotation: RotationTracker;
	readonly timer: TimerService;
	readonly log: EventLog;
};

/**
 * Serves the clients of a host that is asked to stop, and the hosts that use it as a gateway, until they are elsewhere.
 *
 * @param listener - Connections of clients.
 * @param relays - Connections of other hosts.
 * @param options - Grace time and services.
 */
export async function stopGracefully(listener: ClientListener, relays: RelayListener, options: GracefulStopOptions): Promise<void> {
	const {timer, log, rotation, graceMilliseconds} = options;
	const startedAt = timer.now();
	const forcedAt = startedAt + (graceMilliseconds * forcedStopFraction);
	relays.announceLeaving();
	// A client that is sent away too soon might return to this host.
	while (!rotation.isOutOfRotation && timer.now() < startedAt + (graceMilliseconds * rotationWaitFraction)) {
		await timer.sleep(checkIntervalMilliseconds);
	}

	while (timer.now() < forcedAt) {
		listener.closeIdle();
		if (listener.busyConnections + relays.busyConnections === 0) {
			break;
		}

		await timer.sleep(checkIntervalMilliseconds);
	}

	log.write('stopped', {abandonedConnections: listener.busyConnections, abandonedRelays: relays.busyConnections, durationMilliseconds: Math.round(timer.now() - startedAt)});
}
