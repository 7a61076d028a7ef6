import {compareLogPositions, type LogPosition} from '@tarragonstack/core/request/log-position';

/** Bounds of the time for which a replica that lacked a position is excluded from reads that require it, in milliseconds. */
const minimumExclusionMilliseconds = 50;
const maximumExclusionMilliseconds = 800;

/**
 * Half-life of the usual lag without samples, in milliseconds. The decay lets reads try a replica again that has caught up.
 */
const usualLagHalfLifeMilliseconds = 10_000;

/**
 * Maximum of the usual lag, in milliseconds. A replica that catches up with a promotion lags longer for a moment, and reads
 * must not keep to the primary for long after it.
 */
const maximumUsualLagMilliseconds = 400;

type Exclusion = {
	/** Lowest position that the replica is known not to hold. */
	readonly missing: LogPosition;
	/** Monotonic time until which the replica receives no reads that require this position or a later one. */
	readonly until: number;
	readonly milliseconds: number;
};

/** Log position that a read requires. */
export type RequiredPosition = {
	readonly position: LogPosition;
	/** Monotonic time at which the primary had reached the position. */
	readonly reachedAt: number;
};

/**
 * What a host knows of the lag of one replica, for reads that require the session's own last write. A read whose position is
 * younger than the usual lag would be refused, so it goes to another instance at once.
 */
export class ReplicaLag {
	#exclusion: Exclusion | undefined;
	#usual = 0;
	#usualAt = 0;

	/**
	 * Returns whether the replica is expected not to hold a position.
	 *
	 * @param required - Position and the time at which it was reached.
	 * @param now - Current monotonic time, in milliseconds.
	 */
	isBehind({position, reachedAt}: RequiredPosition, now: number): boolean {
		const isExcluded = this.#exclusion !== undefined && now < this.#exclusion.until && compareLogPositions(position, this.#exclusion.missing) >= 0;
		return isExcluded || now - reachedAt < this.getUsualLag(now);
	}

	/** Returns the usual lag in milliseconds; 0 if none is known. */
	getUsualLag(now: number): number {
		return this.#usual * (0.5 ** ((now - this.#usualAt) / usualLagHalfLifeMilliseconds));
	}

	/**
	 * Records that the replica held a position.
	 *
	 * @param required - Position and the time at which it was reached.
	 * @param now - Monotonic time of the response. The lag is at most as long as the position was old then.
	 */
	recordSuccess({reachedAt}: RequiredPosition, now: number): void {
		this.#exclusion = undefined;
		this.#setUsualLag(Math.min(now - reachedAt, this.getUsualLag(now)), now);
	}

	/**
	 * Records that the replica lacked a position. The time of exclusion is doubled, up to a maximum, if the replica still lacks
	 * a position after the previous exclusion has ended.
	 *
	 * @param required - Position and the time at which it was reached.
	 * @param sentAt - Monotonic time at which the read was sent. The lag is longer than the position was old then.
	 * @param now - Monotonic time of the refusal.
	 */
	recordRefusal({position, reachedAt}: RequiredPosition, sentAt: number, now: number): void {
		const previous = this.#exclusion;
		const milliseconds = previous && now > previous.until
			? Math.min(maximumExclusionMilliseconds, previous.milliseconds * 2)
			: previous?.milliseconds ?? minimumExclusionMilliseconds;
		this.#exclusion = {missing: position, until: now + milliseconds, milliseconds};
		this.#setUsualLag(Math.min(maximumUsualLagMilliseconds, Math.max(sentAt - reachedAt, this.getUsualLag(now))), now);
	}

	#setUsualLag(milliseconds: number, now: number): void {
		this.#usual = milliseconds;
		this.#usualAt = now;
	}
}
