/** Source of monotonic time and of timer subscriptions. */
export type TimerService = {
	/** Returns the monotonic time in milliseconds, with fractions. It never jumps with the wall clock. */
	now(): number;

	/**
	 * Waits.
	 *
	 * @param milliseconds - Time to wait.
	 * @param signal - Ends the wait early; the promise then resolves as well.
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
	 * Calls a function once, unless the returned subscription is disposed of before.
	 *
	 * @param delayMilliseconds - Delay before the call.
	 * @param callback - Function to call.
	 */
	schedule(delayMilliseconds: number, callback: () => void): Disposable;
};
