import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type ClientListener} from '../connection/client-listener.js';
import {type DirectHost} from './direct-host.js';
import {type EventLog} from './event-log.js';
import {rotationMilliseconds} from './graceful-stop.js';

/** Interval at which the permission is looked at, in milliseconds. */
const checkIntervalMilliseconds = 100;

/**
 * Sends the clients of an isolated host away, once the load balancer sends them elsewhere.
 *
 * A host without permission to use primaries can serve almost nothing. Its clients stay connected to it until their
 * connections are closed.
 *
 * @param host - Host to watch.
 * @param listener - Connections of its clients.
 * @param options - Services.
 */
export function evacuateWhileIsolated(host: DirectHost, listener: ClientListener, {timer, log}: {timer: TimerService; log: EventLog}): Disposable {
	let isEvacuated = false;
	return timer.subscribe(checkIntervalMilliseconds, () => {
		const unauthorizedMilliseconds = host.getUnauthorizedTime() ?? 0;
		const isIsolated = unauthorizedMilliseconds > rotationMilliseconds;
		if (isIsolated && !isEvacuated) {
			log.write('clients-evacuated', {connections: listener.connectionCount, unauthorizedMilliseconds: Math.round(unauthorizedMilliseconds)});
			listener.closeIdle();
		}

		isEvacuated = isIsolated;
	});
}
