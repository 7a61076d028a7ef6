import {type TimerService} from '@tarragonstack/core/time/timer-service';

/**
 * Change of the difference between the clocks above which a suspension is assumed, in milliseconds. Regular corrections of
 * the wall clock are smaller.
 */
const toleratedDifferenceMilliseconds = 100;

/**
 * Detects that the process was suspended.
 *
 * The monotonic clock does not advance while a machine is suspended, but the wall clock does. A step of the wall clock
 * cannot be distinguished from a suspension and is treated as one, which costs one store read.
 */
export class SuspensionDetector {
	readonly #timer: TimerService;
	readonly #readWallClock: () => number;
	#difference: number;

	/**
	 * @param timer - Monotonic clock.
	 * @param readWallClock - Returns the wall-clock time in milliseconds.
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
