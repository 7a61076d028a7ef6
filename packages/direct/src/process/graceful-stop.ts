import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type ClientListener} from '../connection/client-listener.js';
import {readPendingInput} from '../connection/pending-input.js';
import {type RelayListener} from '../connection/relay-listener.js';
import {type EventLog} from './event-log.js';
import {type RotationTracker} from './rotation-tracker.js';

/** Fraction of the grace period after which idle connections are closed even if the host is still in rotation. */
const rotationWaitFraction = 0.4;

/** Fraction of the grace period that an open transaction has to end. */
const transactionFraction = 0.5;

/** Fraction of the grace period after which statements that still wait or run are answered without their result. */
const statementFraction = 0.85;

/** Fraction of the grace period after which the process stops even if responses have not been delivered. */
const forcedStopFraction = 0.95;

/**
 * Time without client connections after which the process stops, in milliseconds. A client that the load balancer sent here before it
 * took the host out of rotation may still be connecting, and its first message may have to be sent again, which takes 200 ms or more.
 */
const quietMilliseconds = 300;

/** Interval at which rotation and running requests are checked, in milliseconds. */
const checkIntervalMilliseconds = 50;

/** Dependencies of `stopGracefully`. */
export type GracefulStopOptions = {
	/** Time until the process is killed, in milliseconds. */
	readonly graceMilliseconds: number;
	readonly rotation: RotationTracker;
	readonly timer: TimerService;
	readonly log: EventLog;
	/** Answers all statements at once that wait or run. */
	abandonStatements(): void;
};

/**
 * Drains the connections of clients, and of hosts that use this one as a gateway, before the process stops. Every statement
 * that was received is answered: transactions that stay open are aborted between two statements after half of the grace
 * period, and statements that take until its end get what is known of their outcome.
 *
 * @param listener - Connections of clients.
 * @param relays - Connections of other hosts.
 * @param options - Grace period and dependencies.
 */
export async function stopGracefully(listener: ClientListener, relays: RelayListener, options: GracefulStopOptions): Promise<void> {
	const {timer, log, rotation, graceMilliseconds, abandonStatements} = options;
	const startedAt = timer.now();
	const isBefore = (fraction: number) => timer.now() < startedAt + (graceMilliseconds * fraction);
	relays.announceLeaving();
	// A client that is disconnected while the host is in rotation might reconnect to it.
	while (!rotation.isOutOfRotation && isBefore(rotationWaitFraction)) {
		await timer.sleep(checkIntervalMilliseconds);
	}

	let lastUsedAt = timer.now();
	while (isBefore(statementFraction)) {
		if (!isBefore(transactionFraction)) {
			listener.refuseTransactions();
		}

		listener.closeIdle();
		if (listener.connectionCount + relays.busyConnections > 0) {
			lastUsedAt = timer.now();
		} else if (timer.now() >= lastUsedAt + quietMilliseconds) {
			// Accepts the connections that wait in the queue of the listener.
			await readPendingInput(timer);
			if (listener.connectionCount + relays.busyConnections === 0) {
				break;
			}
		}

		await timer.sleep(checkIntervalMilliseconds);
	}

	const abandoned = {abandonedConnections: listener.busyConnections, abandonedStatements: listener.executingConnections, abandonedRelays: relays.busyConnections};
	abandonStatements();
	while (listener.executingConnections > 0 && isBefore(forcedStopFraction)) {
		await timer.sleep(1);
	}

	// A socket that is destroyed may lose responses that the client has not received yet.
	listener.endAll();
	while (listener.connectionCount > 0 && isBefore(forcedStopFraction)) {
		await timer.sleep(checkIntervalMilliseconds);
		listener.endAll();
	}

	log.write('stopped', {...abandoned, durationMilliseconds: Math.round(timer.now() - startedAt)});
}
