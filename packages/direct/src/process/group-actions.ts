import {type TimerService} from '@tarragonstack/core/time/timer-service';

/** Actions of this host on groups: at most one at a time for each group, and some of them after a waiting time. */
export class GroupActions {
	readonly #timer: TimerService;
	/** Groups for which an action is running. */
	readonly #running = new Set<string>();
	/** Monotonic times at which the waiting time before an action started, by group. */
	readonly #requiredSince = new Map<string, number>();

	/**
	 * @param timer - Monotonic clock.
	 */
	constructor(timer: TimerService) {
		this.#timer = timer;
	}

	/** Whether an action on any group is running. */
	get areRunning(): boolean {
		return this.#running.size > 0;
	}

	/**
	 * Starts the waiting time before an action on a group, unless it is running already.
	 *
	 * @returns Whether the given time has passed since the start.
	 */
	startOrCheckDelay(group: string, delayMilliseconds: number): boolean {
		const now = this.#timer.now();
		const since = this.#requiredSince.get(group) ?? now;
		this.#requiredSince.set(group, since);
		return now - since >= delayMilliseconds;
	}

	/** Resets the waiting time of a group that requires no action. */
	cancelDelay(group: string): void {
		this.#requiredSince.delete(group);
	}

	/** Resets the waiting times of all groups. */
	clear(): void {
		this.#requiredSince.clear();
	}

	/** Runs an action on a group and resets the waiting time. Does nothing while another action on the group is running. */
	async runExclusively(group: string, action: () => Promise<void>): Promise<void> {
		if (this.#running.has(group)) {
			return;
		}

		this.#running.add(group);
		try {
			await action();
		} finally {
			this.#running.delete(group);
			this.#requiredSince.delete(group);
		}
	}
}
