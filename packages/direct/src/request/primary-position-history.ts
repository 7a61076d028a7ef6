import {compareLogPositions, type LogPosition} from '@tarragonstack/core/request/log-position';

type Observation = {
	readonly position: LogPosition;
	/** Monotonic time at which the statement was sent whose response carried the position. */
	readonly sentAt: number;
};

/** Position of a session's last write, with the reign of the primary that acknowledged it. */
export type SessionWritePosition = {
	readonly position: LogPosition;
	readonly reign: number;
};

/** Observations closer together than this are not kept, in milliseconds; it bounds the length of the list. */
const observationSpacingMilliseconds = 50;

/** Time for which observations are kept, in milliseconds. Replicas that lag by more receive no reads. */
const observationRetentionMilliseconds = 5000;

/**
 * Positions that a host saw at the primary of one group.
 *
 * A position in a response covers each commit that was acknowledged before the statement was sent. A read that
 * demands this position is therefore at most as stale as the observation is old. The reign of a primary is the
 * revision of the record that names it; positions of an earlier reign may have been rolled back.
 */
export class PrimaryPositionHistory {
	#observations: Observation[] = [];
	#reign = 0;

	/** Monotonic time of the newest observation, or `undefined` if there is none. */
	get newestSentAt(): number | undefined {
		return this.#observations.at(-1)?.sentAt;
	}

	/**
	 * Records a position of the primary.
	 *
	 * @param reign - Reign of the primary that answered.
	 * @param position - Position that the response carried.
	 * @param sentAt - Monotonic time at which the statement was sent. The primary was known not to be replaced then.
	 */
	observe(reign: number, position: LogPosition, sentAt: number): void {
		if (reign < this.#reign) {
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
	 * Returns the lowest position that a read has to demand.
	 *
	 * @param notBefore - Commits acknowledged before this monotonic time have to be visible.
	 * @param lastWrite - Last write of the session, if it has to be visible.
	 * @returns The position, or `undefined` if the host knows too little; only the primary can serve the read then.
	 */
	getRequiredPosition(notBefore: number, lastWrite?: SessionWritePosition): LogPosition | undefined {
		if (lastWrite && lastWrite.reign > this.#reign) {
			return undefined;
		}

		// The oldest sufficient observation demands the least of a replica.
		const observation = this.#observations.find(candidate => candidate.sentAt >= notBefore);
		if (!observation) {
			return undefined;
		}

		// A position of the present reign covers whatever survived of the writes of earlier reigns.
		return lastWrite?.reign === this.#reign && compareLogPositions(lastWrite.position, observation.position) > 0
			? lastWrite.position
			: observation.position;
	}
}
