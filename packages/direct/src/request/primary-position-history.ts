import {compareLogPositions, type LogPosition} from '@tarragonstack/core/request/log-position';
import {type RequiredPosition} from './replica-lag.js';

type Observation = {
	readonly position: LogPosition;
	/** Monotonic time at which the statement that returned the position was sent. */
	readonly sentAt: number;
};

/** Log position of a session's last write, with the reign of the primary that acknowledged it. */
export type SessionWritePosition = {
	readonly position: LogPosition;
	readonly reign: number;
	/** Monotonic time at which the write was acknowledged. */
	readonly at: number;
};

/** Minimum interval between kept observations, in milliseconds. It bounds the length of the list. */
const observationSpacingMilliseconds = 50;

/** Time for which observations are kept, in milliseconds. Replicas that lag further behind receive no reads. */
const observationRetentionMilliseconds = 5000;

/**
 * Recent log positions of the primary of one group, as observed by this host.
 *
 * A position in a response covers every commit that was acknowledged before the statement was sent. A read that
 * requires this position is therefore at most as stale as the observation is old. The reign of a primary is the
 * revision of the group record that names it; commits of an earlier reign may have been lost in a promotion.
 */
export class PrimaryPositionHistory {
	#observations: Observation[] = [];
	#reign = 0;
	#discardedUntil = Number.NEGATIVE_INFINITY;

	/** Monotonic time of the newest observation, or `undefined` if there is none. */
	get newestSentAt(): number | undefined {
		return this.#observations.at(-1)?.sentAt;
	}

	/**
	 * Adds a position of the primary.
	 *
	 * @param reign - Reign of the primary that responded.
	 * @param position - Log position in the response.
	 * @param sentAt - Monotonic time at which the statement was sent. The primary must not have been replaced by then.
	 */
	observe(reign: number, position: LogPosition, sentAt: number): void {
		if (reign < this.#reign || sentAt < this.#discardedUntil) {
			return;
		}

		if (reign > this.#reign) {
			this.#reign = reign;
			this.#observations = [];
		}

		const newest = this.#observations.at(-1);
		if (newest && (sentAt < newest.sentAt + observationSpacingMilliseconds || compareLogPositions(position, newest.position) < 0)) {
			return;
		}

		this.#observations.push({position, sentAt});
		while (this.#observations.length > 1 && this.#observations[0]!.sentAt < sentAt - observationRetentionMilliseconds) {
			this.#observations.shift();
		}
	}

	/**
	 * Discards the positions in responses to statements that were sent until now, also those that have yet to arrive. After a
	 * suspension, they are older than the monotonic clock tells.
	 *
	 * @param now - Current monotonic time.
	 */
	discard(now: number): void {
		this.#discardedUntil = now;
		this.#observations = [];
	}

	/**
	 * Returns the lowest log position that an instance must hold to serve a read, with the time at which it was reached.
	 *
	 * @param notBefore - Commits acknowledged before this monotonic time have to be visible.
	 * @param lastWrite - Last write of the session, if it has to be visible.
	 * @returns The position, or `undefined` if no observation is recent enough; then only the primary can serve the read.
	 */
	getRequiredPosition(notBefore: number, lastWrite?: SessionWritePosition): RequiredPosition | undefined {
		if (lastWrite && lastWrite.reign > this.#reign) {
			return undefined;
		}

		// The oldest sufficient observation has the lowest position, which most replicas hold.
		const observation = this.#observations.find(candidate => candidate.sentAt >= notBefore);
		if (!observation) {
			return undefined;
		}

		// A position of the current reign covers all writes of earlier reigns that survived the promotion.
		return lastWrite?.reign === this.#reign && compareLogPositions(lastWrite.position, observation.position) > 0
			? {position: lastWrite.position, reachedAt: lastWrite.at}
			: {position: observation.position, reachedAt: this.#findReached(observation.position)};
	}

	/** Returns when the statement was sent that first returned a position. Without writes, later ones return the same. */
	#findReached(position: LogPosition): number {
		return this.#observations.find(candidate => compareLogPositions(candidate.position, position) >= 0)!.sentAt;
	}
}
