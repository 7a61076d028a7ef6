import {compareLogPositions, type LogPosition, type TimerService} from '@tarragonstack/core';
import {type GroupView} from '../group-view.js';

/** Interval at which the known position is compared; the view is local, so a comparison costs no message. */
const positionPollIntervalMilliseconds = 5;

/** Options of the waiters for one instance. */
export type PositionWaitersOptions = {
	readonly timerService: TimerService;
	readonly groupView: GroupView;
	readonly group: string;
	readonly instance: string;
};

type Waiter = {
	readonly position: LogPosition;
	readonly deadline: number;
	readonly resolve: (isReached: boolean) => void;
};

/** Requests that wait until an instance has applied a log position. One timer serves all of them. */
export class PositionWaiters {
	readonly #options: PositionWaitersOptions;
	readonly #waiters = new Set<Waiter>();
	#subscription: Disposable | undefined;

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
			this.#subscription ??= this.#options.timerService.subscribe(positionPollIntervalMilliseconds, () => {
				this.#poll();
			});
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

	#poll(): void {
		const now = this.#options.timerService.now();
		for (const waiter of this.#waiters) {
			const isReached = this.#isReached(waiter.position);
			if (isReached || waiter.deadline <= now) {
				this.#waiters.delete(waiter);
				waiter.resolve(isReached);
			}
		}

		if (this.#waiters.size === 0) {
			this.#subscription?.[Symbol.dispose]();
			this.#subscription = undefined;
		}
	}
}
