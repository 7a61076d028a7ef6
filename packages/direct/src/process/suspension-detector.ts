import {type TimerService} from '@tarragonstack/core/time/timer-service';

/** Difference between the clocks that counts as a suspension, in milliseconds; the wall clock is corrected in smaller steps. */
const toleratedDifferenceMilliseconds = 100;

/**
 * Notices that the process was suspended.
 *
 * The monotonic clock stands still while a machine is suspended; the wall clock doesn't. A step of the wall clock looks
 * the same and is treated alike, which costs one read of the store.
 */
export class SuspensionDetector {
	readonly #timer: TimerService;
	readonly #readWallClock: () => number;
	#difference: number;

	/**
	 * @param timer - Monotonic clock.
	 * @param readWallClock - Returns the time of day in milliseconds.
	 */
	constructor(timer: TimerService, readWallClock: () => number) {
		this.#timer = timer;
		this.#readWallClock = readWallClock;
		this.#difference = readWallClock() - timer.now();
	}

	/** Returns whether the process may have been suspended since the last call. */
	check(): boolean {
		const difference = this.#readWallClock() - this.#timer.now();
		const changed = Math.abs(difference - this.#difference) > toleratedDifferenceMilliseconds;
		if (changed) {
			this.#difference = difference;
		}

		return changed;
	}
}
