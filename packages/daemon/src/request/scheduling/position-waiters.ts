import {compareLogPositions, waitAtMost, type LogPosition, type TimerService} from '@tarragonstack/core';
import {type GroupView} from '../group-view.js';

/** Minimum interval between two status requests, in milliseconds. Limits the request rate while a replica lags. */
const pollIntervalMilliseconds = 1;

/** Options of `PositionWaiters`. */
export type PositionWaitersOptions = {
	readonly timerService: TimerService;
	readonly groupView: GroupView;
	readonly group: string;
	readonly instance: string;
	/** Requests the status of the instance and updates the view. If absent, only the regular polls update the view. */
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
 * Regular polls are tens of milliseconds apart, which is longer than a replica needs to catch up. Therefore the status is
 * requested repeatedly while requests wait. One status request serves all of them.
 */
export class PositionWaiters {
	readonly #options: PositionWaitersOptions;
	readonly #waiters = new Set<Waiter>();
	#isPolling = false;

	/**
	 * @param options - Instance to observe and services to use.
	 */
	constructor(options: PositionWaitersOptions) {
		this.#options = options;
	}

	/**
	 * Waits until the instance has applied a log position.
	 *
	 * @param position - Lowest sufficient position.
	 * @param deadline - Monotonic time at which the wait ends, in milliseconds.
	 * @returns Whether the instance has applied the position.
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
			// The primary of a term has written every position of the term, even if its polled status does not show it yet.
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
			// The status request may outlast the deadline of a waiter, which must then end without the response.
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
