import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type EventLog} from '../process/event-log.js';
import {type InstanceEntry} from '../process/instance-entry.js';
import {type PooledConnection} from './pooled-connection.js';

/**
 * Time without a response after which requests are sent to other instances if possible, in milliseconds: several times
 * the duration of a typical statement. It is much shorter than the time after which a primary is replaced, because a
 * false positive costs little: new requests are sent elsewhere, and waiting ones are rejected before anything was sent.
 */
const unresponsiveThresholdMilliseconds = 250;

/**
 * Time without a response after which a connection is opened to check the reachability, in milliseconds. A new connection takes
 * a slot of the instance for half as long as a statement, so statements that queue must not cause one each. The check has to
 * start one interval of the periodic checks and a round trip before `unresponsiveThresholdMilliseconds`.
 */
const probeThresholdMilliseconds = 180;

/** The same time for a primary that another host suspects, in milliseconds. This host would soon suspect it as well. */
const doubtedProbeThresholdMilliseconds = 120;

/** Time after the last activity of an instance in which it is not probed, in milliseconds. */
const minimumIdleBeforeProbeMilliseconds = 100;

/** Dependencies of an `InstanceActivity`. */
export type InstanceActivityOptions = {
	readonly timer: TimerService;
	readonly log: EventLog;
	/** Returns the instance. */
	getInstance(): InstanceEntry;
	/** Returns whether a connection attempt is in progress. */
	isDialing(): boolean;
};

/** Records what a host has sent to an instance and when the instance last responded to any of it. */
export class InstanceActivity {
	readonly #options: InstanceActivityOptions;
	/**
	 * Connections in use, with the monotonic time at which the running statement was sent, or at which the connection was
	 * granted if nothing was sent since; 0 between statements.
	 */
	readonly #busy = new Map<PooledConnection, number>();
	#lastActivityAt: number;
	#unreachableSince: number | undefined;
	/**
	 * Monotonic time since which the instance has not responded, or `undefined` if no response is outstanding: the time of the
	 * first statement, granted connection or direct connection attempt, or of a later activity of the instance.
	 */
	#unansweredSince: number | undefined;

	/**
	 * @param options - Dependencies.
	 */
	constructor(options: InstanceActivityOptions) {
		this.#options = options;
		this.#lastActivityAt = options.timer.now();
	}

	/** Number of connections in use. */
	get busyCount(): number {
		return this.#busy.size;
	}

	/** Number of connections with a statement without a response. */
	get sentCount(): number {
		let sent = 0;
		for (const sentAt of this.#busy.values()) {
			sent += Number(sentAt > 0);
		}

		return sent;
	}

	/** Monotonic time of the last response or accepted connection. */
	get lastActivityAt(): number {
		return this.#lastActivityAt;
	}

	/** Monotonic time since which connection attempts have failed, or `undefined`. */
	get unreachableSince(): number | undefined {
		return this.#unreachableSince;
	}

	/** Whether a response to a statement or a connection attempt is outstanding. */
	get hasOutstanding(): boolean {
		return this.#unansweredSince !== undefined;
	}

	/** Records that a statement is sent on a connection, or that the connection is granted to a request that will send one. */
	recordSend(connection: PooledConnection): void {
		const now = this.#options.timer.now();
		this.#busy.set(connection, now);
		this.#unansweredSince ??= now;
	}

	/** Records a connection in use on which no response is outstanding. */
	recordIdleInUse(connection: PooledConnection): void {
		this.#busy.set(connection, 0);
	}

	/** Records the start of a connection attempt. */
	recordDial(): void {
		this.#unansweredSince ??= this.#options.timer.now();
	}

	/**
	 * Records that a connection is no longer in use.
	 *
	 * @returns Monotonic time at which its statement without a response was sent; 0 if there is none.
	 */
	recordRelease(connection: PooledConnection): number {
		const sentAt = this.#busy.get(connection) ?? 0;
		this.#busy.delete(connection);
		return sentAt;
	}

	/** Records a response, or another sign that the instance works. */
	recordActivity(at = this.#options.timer.now()): void {
		const {log, getInstance, isDialing} = this.#options;
		this.#lastActivityAt = at;
		this.#unansweredSince = isDialing() || this.sentCount > 0 ? at : undefined;
		if (this.#unreachableSince !== undefined) {
			const {id, group} = getInstance();
			log.write('instance-reachable', {instance: id, group, unreachableMilliseconds: Math.round(at - this.#unreachableSince)});
			this.#unreachableSince = undefined;
		}
	}

	/** Records a connection attempt that the instance did not accept. */
	recordUnreachable(since: number, reason: string): void {
		if (this.#unreachableSince === undefined) {
			const {id, group} = this.#options.getInstance();
			this.#unreachableSince = since;
			this.#options.log.write('instance-unreachable', {instance: id, group, reason});
		}
	}

	/**
	 * Returns for how long the instance has not responded to anything that was sent to it. Also records the activity that is
	 * evident from bytes received on connections in use.
	 *
	 * @param now - Current monotonic time.
	 * @returns Milliseconds; 0 if no response is outstanding.
	 */
	getUnansweredMilliseconds(now: number): number {
		for (const connection of this.#busy.keys()) {
			if (connection.channel.lastReceivedAt > this.#lastActivityAt) {
				this.recordActivity(connection.channel.lastReceivedAt);
			}
		}

		return this.#unansweredSince === undefined ? 0 : now - this.#unansweredSince;
	}

	/** Closes the connections in use. They are recorded as released when their users notice it. */
	closeBusy(): void {
		for (const {channel} of this.#busy.keys()) {
			channel[Symbol.dispose]();
		}
	}

	/** Returns whether the instance can be reached and has responded in time. */
	isResponsive(now: number): boolean {
		return this.#unreachableSince === undefined && this.getUnansweredMilliseconds(now) < unresponsiveThresholdMilliseconds;
	}

	/** Returns whether no response is outstanding, and the last activity is not recent. */
	isIdle(now: number): boolean {
		return this.#unansweredSince === undefined && now - this.#lastActivityAt >= minimumIdleBeforeProbeMilliseconds;
	}

	/**
	 * Returns whether to check by a connection attempt whether the instance works. A slow instance still accepts connections,
	 * which counts as activity; an unreachable one does not.
	 *
	 * @param now - Current monotonic time.
	 * @param isDoubted - Whether another host suspects that the instance has failed.
	 */
	isProbeDue(now: number, isDoubted: boolean): boolean {
		return this.getUnansweredMilliseconds(now) >= (isDoubted ? doubtedProbeThresholdMilliseconds : probeThresholdMilliseconds);
	}

	/** Discards the times since which the instance has not responded or has been unreachable. */
	reset(): void {
		this.#unansweredSince = undefined;
		this.#unreachableSince = undefined;
	}
}
