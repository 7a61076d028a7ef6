import {type TimerService} from '@tarragonstack/core/time/timer-service';

/**
 * Gate at which requests of clients wait until a host that starts has obtained what they need. It opens once; after a time limit it
 * does so by itself, so that a host that obtains nothing refuses its requests at once.
 */
export class StartGate {
	readonly #timer: TimerService;
	readonly #limit: Disposable;
	readonly #waiting = new Set<() => void>();
	#isOpen = false;

	/**
	 * @param timer - Schedules the time limit.
	 * @param limitMilliseconds - Time after which the gate opens by itself, in milliseconds.
	 */
	constructor(timer: TimerService, limitMilliseconds: number) {
		this.#timer = timer;
		this.#limit = timer.schedule(limitMilliseconds, () => {
			this.open();
		});
	}

	/** Whether the gate is open. */
	get isOpen(): boolean {
		return this.#isOpen;
	}

	/** Opens the gate for good. */
	open(): void {
		this.#isOpen = true;
		this.#limit[Symbol.dispose]();
		for (const resume of this.#waiting) {
			resume();
		}
	}

	/**
	 * Waits until the gate is open, but no longer than a given time.
	 *
	 * @param milliseconds - Greatest time to wait, in milliseconds; unlimited if it is not given.
	 * @returns Whether the gate was closed, so that what the caller needs may be there now.
	 */
	async wait(milliseconds?: number): Promise<boolean> {
		if (this.#isOpen) {
			return false;
		}

		await new Promise<void>(resolve => {
			const resume = () => {
				this.#waiting.delete(resume);
				expiry?.[Symbol.dispose]();
				resolve();
			};

			const expiry = milliseconds === undefined ? undefined : this.#timer.schedule(milliseconds, resume);
			this.#waiting.add(resume);
		});
		return true;
	}
}
