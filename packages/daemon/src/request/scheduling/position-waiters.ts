import {compareLogPositions, waitAtMost, type LogPosition, type TimerService} from '@tarragonstack/core';
import {type GroupView} from '../group-view.js';

/** Shortest pause between two questions for the status, in milliseconds. Bounds the questions while a replica lags. */
const pollIntervalMilliseconds = 1;

/** Options of the waiters for one instance. */
export type PositionWaitersOptions = {
	readonly timerService: TimerService;
	readonly groupView: GroupView;
	readonly group: string;
	readonly instance: string;
	/** Asks the instance for its status and updates the view. Without it, the regular polls must suffice. */
	readonly refreshStatus?: () => Promise<void>;
};

type Waiter = {
	readonly position: LogPosition;
	readonly deadline: number;
	readonly resolve: (isReached: boolean) => void;
};

/**
 * Requests that wait until an instance has applied a log position.
 *
 * Regular polls are tens of milliseconds apart, which is longer than a replica needs to catch up. So the instance is
 * asked again and again while a request waits; one question serves all waiting requests.
 */
export class PositionWaiters {
	readonly #options: PositionWaitersOptions;
	readonly #waiters = new Set<Waiter>();
	#isPolling = false;

	/**
	 * @param options - What the waiters depend on.
	 */
	constructor(options: PositionWaitersOptions) {
		this.#options = options;
	}

	/**
	 * Waits until the instance holds a position.
	 *
	 * @param position - Lowest sufficient position.
	 * @param deadline - Monotonic time at which the wait ends, in milliseconds.
	 * @returns Whether the instance holds the position.
	 */
	async waitFor(position: LogPosition, deadline: number): Promise<boolean> {
		if (this.#isReached(position)) {
			return true;
		}

		if (deadline <= this.#options.timerService.now()) {
			return false;
		}

		return new Promise(resolve => {
			this.#waiters.add({position, deadline, resolve});
			if (!this.#isPolling) {
				void this.#poll();
			}
		});
	}

	#isReached(position: LogPosition): boolean {
		const {groupView, group, instance} = this.#options;
		const primary = groupView.getPrimary(group);
		if (primary?.instance === instance && primary.term >= position.term) {
			// The primary of a term wrote every position of the term, so its polled status need not catch up first.
			return true;
		}

		const status = groupView.getStatus(instance);
		return status !== undefined && compareLogPositions(status.position, position) >= 0;
	}

	async #poll(): Promise<void> {
		const {refreshStatus, timerService} = this.#options;
		this.#isPolling = true;
		while (this.#waiters.size > 0) {
			const nextDeadline = Math.min(...[...this.#waiters].map(({deadline}) => deadline));
			const remaining = Math.max(0, nextDeadline - timerService.now());
			// A question may outlast the deadline of a request, which must then end without the answer.
			await waitAtMost(refreshStatus?.() ?? timerService.sleep(pollIntervalMilliseconds), remaining, timerService);
			this.#resolveWaiters();
			if (this.#waiters.size > 0) {
				await timerService.sleep(pollIntervalMilliseconds);
			}
		}

		this.#isPolling = false;
	}

	#resolveWaiters(): void {
		const now = this.#options.timerService.now();
		for (const waiter of this.#waiters) {
			const isReached = this.#isReached(waiter.position);
			if (isReached || waiter.deadline <= now) {
				this.#waiters.delete(waiter);
				waiter.resolve(isReached);
			}
		}
	}
}
