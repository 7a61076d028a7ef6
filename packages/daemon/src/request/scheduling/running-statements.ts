import {type TimerService} from '@tarragonstack/core';
import {type StatementConnection, type StatementOptions, type StatementOutcome} from './statement-connection.js';

/** Grace period between the cancellation of a statement and closing its connection, in milliseconds. */
const cancelGraceMilliseconds = 1000;

/** Conditions under which a running statement is cancelled or closed. */
export type StatementLimits = {
	/** Identifier that `cancel` takes. */
	readonly requestIdentifier: string;
	/** Monotonic time at which the statement times out and is cancelled, in milliseconds. */
	readonly timeoutAt: number;
	/** Cancels the statement when aborted, if given. */
	readonly signal?: AbortSignal;
	/** Whether the statement needs the primary. */
	readonly needsPrimary?: boolean;
};

/** Runs statements, and cancels them on request, when they time out or when their signal is aborted. */
export class RunningStatements {
	readonly #timerService: TimerService;
	readonly #cancelByRequest = new Map<string, () => void>();
	/** Connections that run statements which need the primary. The symbol identifies the run. */
	readonly #primaryConnections = new Map<StatementConnection, symbol>();

	constructor(timerService: TimerService) {
		this.#timerService = timerService;
	}

	/**
	 * Runs one statement unit.
	 *
	 * @param connection - Connection to use.
	 * @param messages - Front-end messages.
	 * @param options - Response sink and hold mode.
	 * @param limits - Conditions of cancellation.
	 */
	async run(connection: StatementConnection, messages: Uint8Array, options: StatementOptions, limits: StatementLimits): Promise<StatementOutcome> {
		let closeTimer: Disposable | undefined;
		const cancel = () => {
			if (closeTimer) {
				return;
			}

			closeTimer = this.#timerService.schedule(cancelGraceMilliseconds, () => {
				connection.close();
			});
			void connection.cancel();
		};

		this.#cancelByRequest.set(limits.requestIdentifier, cancel);
		const runToken = Symbol(limits.requestIdentifier);
		if (limits.needsPrimary) {
			this.#primaryConnections.set(connection, runToken);
		}

		const timer = this.#timerService.schedule(limits.timeoutAt - this.#timerService.now(), cancel);
		limits.signal?.addEventListener('abort', cancel, {once: true});
		try {
			const outcome = connection.run(messages, options);
			if (limits.signal?.aborted) {
				cancel();
			}

			return await outcome;
		} finally {
			this.#cancelByRequest.delete(limits.requestIdentifier);
			if (this.#primaryConnections.get(connection) === runToken) {
				this.#primaryConnections.delete(connection);
			}

			timer[Symbol.dispose]();
			closeTimer?.[Symbol.dispose]();
			limits.signal?.removeEventListener('abort', cancel);
		}
	}

	/**
	 * Closes the connections of all running statements that need the primary, unless they end within a grace period.
	 *
	 * @param graceMilliseconds - Grace period in which a responsive instance can finish them.
	 */
	closeConnectionsNeedingPrimary(graceMilliseconds: number): Disposable {
		const runs = [...this.#primaryConnections];
		return this.#timerService.schedule(graceMilliseconds, () => {
			for (const [connection, run] of runs) {
				if (this.#primaryConnections.get(connection) === run) {
					connection.close();
				}
			}
		});
	}

	/**
	 * Cancels the running statement of a request.
	 *
	 * @param requestIdentifier - Identifier of the request.
	 */
	cancel(requestIdentifier: string): void {
		this.#cancelByRequest.get(requestIdentifier)?.();
	}
}
