import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type ClientListener} from '../connection/client-listener.js';
import {type RelayListener} from '../connection/relay-listener.js';
import {type EventLog} from './event-log.js';
import {type RotationTracker} from './rotation-tracker.js';

/** Fraction of the grace period after which idle connections are closed even if the host is still in rotation. */
const rotationWaitFraction = 0.4;

/** Fraction of the grace period after which the process stops even if requests are running. */
const forcedStopFraction = 0.9;

/** Interval at which rotation and running requests are checked, in milliseconds. */
const checkIntervalMilliseconds = 50;

/** Dependencies of `stopGracefully`. */
export type GracefulStopOptions = {
	/** Time until the process is killed, in milliseconds. */
	readonly graceMilliseconds: number;
	readonly rotation: RotationTracker;
	readonly timer: TimerService;
	readonly log: EventLog;
};

/**
 * Drains the connections of clients, and of hosts that use this one as a gateway, before the process stops.
 *
 * @param listener - Connections of clients.
 * @param relays - Connections of other hosts.
 * @param options - Grace period and dependencies.
 */
export async function stopGracefully(listener: ClientListener, relays: RelayListener, options: GracefulStopOptions): Promise<void> {
	const {timer, log, rotation, graceMilliseconds} = options;
	const startedAt = timer.now();
	const deadline = startedAt + (graceMilliseconds * forcedStopFraction);
	relays.announceLeaving();
	// A client that is disconnected while the host is in rotation might reconnect to it.
	while (!rotation.isOutOfRotation && timer.now() < startedAt + (graceMilliseconds * rotationWaitFraction)) {
		await timer.sleep(checkIntervalMilliseconds);
	}

	while (timer.now() < deadline) {
		listener.closeIdle();
		if (listener.busyConnections + relays.busyConnections === 0) {
			break;
		}

		await timer.sleep(checkIntervalMilliseconds);
	}

	log.write('stopped', {abandonedConnections: listener.busyConnections, abandonedRelays: relays.busyConnections, durationMilliseconds: Math.round(timer.now() - startedAt)});
}
