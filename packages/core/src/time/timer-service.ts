/** Source of monotonic time and timers. */
export type TimerService = {
	/** Returns the monotonic time in milliseconds, with fractions. Changes of the wall clock do not affect it. */
	now(): number;

	/**
	 * Waits for a duration.
	 *
	 * @param milliseconds - Time to wait.
	 * @param signal - Ends the wait early; the promise resolves in this case, too.
	 */
	sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;

	/**
	 * Calls a function at a fixed interval until the subscription is disposed of.
	 *
	 * @param intervalMilliseconds - Interval between calls.
	 * @param callback - Receives the monotonic time of the call.
	 */
	subscribe(intervalMilliseconds: number, callback: (now: number) => void): Disposable;

	/**
	 * Calls a function once, unless the returned handle is disposed of first.
	 *
	 * @param delayMilliseconds - Delay before the call.
	 * @param callback - Function to call.
	 */
	schedule(delayMilliseconds: number, callback: () => void): Disposable;
};
