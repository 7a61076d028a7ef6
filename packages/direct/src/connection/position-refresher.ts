import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type InstanceGroupState} from '../process/instance-group-state.js';
import {statusPriority} from '../request/waiting-request.js';

/** Timeout of a status request, in milliseconds. It waits for a slot like other requests. */
const statusTimeoutMilliseconds = 300;

/** Requests the position of a group's primary when reads need a more recent one. Concurrent callers share a request. */
export class PositionRefresher {
	readonly #timer: TimerService;
	readonly #pendingRefreshes = new Map<InstanceGroupState, Promise<boolean>>();

	/**
	 * @param timer - Monotonic clock.
	 */
	constructor(timer: TimerService) {
		this.#timer = timer;
	}

	/**
	 * Records the current position of the primary.
	 *
	 * @param group - Group of the primary.
	 * @returns Whether the primary responded.
	 */
	async refresh(group: InstanceGroupState): Promise<boolean> {
		const pendingRefresh = this.#pendingRefreshes.get(group);
		if (pendingRefresh) {
			return pendingRefresh;
		}

		const newRefresh = this.#readPosition(group);
		this.#pendingRefreshes.set(group, newRefresh);
		try {
			return await newRefresh;
		} finally {
			this.#pendingRefreshes.delete(group);
		}
	}

	async #readPosition(group: InstanceGroupState): Promise<boolean> {
		const primary = group.getUsablePrimary();
		if (!primary) {
			return false;
		}

		const {known: {pool}, reign} = primary;
		const now = this.#timer.now();
		const deadline = now + statusTimeoutMilliseconds;
		const connection = await pool.acquire({priority: statusPriority, arrivedAt: now, onTimeUntil: deadline, deadline}, {values: new Map(), acceptsAnyWorkspace: true});
		if (typeof connection === 'string') {
			return false;
		}

		if (!group.isReignCurrent(reign)) {
			pool.release(connection);
			return false;
		}

		const sentAt = this.#timer.now();
		pool.recordSend(connection);
		const status = await connection.channel.readStatus(sentAt + statusTimeoutMilliseconds);
		if (status.isOk()) {
			pool.recordResponse(connection);
			pool.recordRole(status.value.isPrimary);
		}

		pool.release(connection);
		if (status.isErr() || !status.value.isPrimary) {
			return false;
		}

		group.positionHistory.observe(reign, status.value.received, sentAt);
		return true;
	}
}
