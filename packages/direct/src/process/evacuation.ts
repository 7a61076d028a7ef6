import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type ClientListener} from '../connection/client-listener.js';
import {type DirectHost} from './direct-host.js';
import {type EventLog} from './event-log.js';
import {type RotationTracker} from './rotation-tracker.js';

/** Interval at which the state of the host is checked, in milliseconds. */
const checkIntervalMilliseconds = 50;

/** Dependencies of `evacuateWhileIsolated`. */
export type EvacuationOptions = {
	readonly rotation: RotationTracker;
	readonly timer: TimerService;
	readonly log: EventLog;
};

/**
 * Closes idle client connections of an isolated host once the load balancer has taken the host out of rotation, so that
 * the clients reconnect to other hosts.
 *
 * A host without authority to use primaries can serve almost nothing, and clients stay connected to it until their
 * connections are closed.
 *
 * @param host - Host to check.
 * @param listener - Connections of its clients.
 * @param options - Dependencies.
 */
export function evacuateWhileIsolated(host: DirectHost, listener: ClientListener, {rotation, timer, log}: EvacuationOptions): Disposable {
	let isEvacuated = false;
	return timer.subscribe(checkIntervalMilliseconds, () => {
		const shouldEvacuate = host.isConfigured && host.isIsolated && rotation.isOutOfRotation;
		if (shouldEvacuate && !isEvacuated) {
			log.write('clients-evacuated', {connections: listener.connectionCount});
			listener.closeIdle();
		}

		isEvacuated = shouldEvacuate;
	});
}
