import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type InstanceGroupState} from '../process/instance-group-state.js';
import {statusPriority} from '../request/waiting-request.js';

/** Time that a status request may take, in milliseconds. It waits for a slot like other work. */
const statusTimeoutMilliseconds = 300;

/** Asks the primary of a group for its position when reads need a fresher one. One request serves all that wait. */
export class PositionRefresher {
	readonly #timer: TimerService;
	readonly #running = new Map<InstanceGroupState, Promise<boolean>>();

	/**
	 * @param timer - Monotonic clock.
	 */
	constructor(timer: TimerService) {
		this.#timer = timer;
	}

	/**
	 * Observes the present position of the primary.
	 *
	 * @param group - Group of the primary.
	 * @returns Whether the primary answered.
	 */
	async refresh(group: InstanceGroupState): Promise<boolean> {
		const running = this.#running.get(group);
		if (running) {
			return running;
		}

		const started = this.#readPosition(group);
		this.#running.set(group, started);
		try {
			return await started;
		} finally {
			this.#running.delete(group);
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
		const connection = await pool.acquire({priority: statusPriority, arrivedAt: now, onTimeUntil: deadline, deadline}, {values: new Map()});
		if (typeof connection === 'string') {
			return false;
		}

		if (!group.isReignCurrent(reign)) {
			pool.release(connection);
			return false;
		}

		const sentAt = this.#timer.now();
		pool.noteSent(connection);
		const status = await connection.channel.readStatus(sentAt + statusTimeoutMilliseconds);
		if (status.isOk()) {
			pool.noteAnswered(connection);
		}

		pool.release(connection);
		if (status.isErr() || !status.value.isPrimary) {
			return false;
		}

		group.positionHistory.observe(reign, status.value.received, sentAt);
		return true;
	}
}
