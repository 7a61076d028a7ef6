import {type TimerService} from '@tarragonstack/core';
import {type StatementConnection, type StatementOptions, type StatementOutcome} from './statement-connection.js';

/** Time that a cancelled statement gets before its connection is closed, in milliseconds. */
const cancelGraceMilliseconds = 1000;

/** Limits of one guarded run. */
export type StatementLimits = {
	/** Identifier by which `cancel` finds the run. */
	readonly requestIdentifier: string;
	/** Monotonic time at which the statement is cancelled, in milliseconds. */
	readonly timeoutAt: number;
	/** Cancels the statement when aborted, if given. */
	readonly signal?: AbortSignal;
	/** Whether the statement needs the primary. */
	readonly needsPrimary?: boolean;
};

/** Runs statements and cancels them on demand, when their time limit passes or when nobody waits for them. */
export class RunningStatements {
	readonly #timerService: TimerService;
	readonly #cancelByRequest = new Map<string, () => void>();
	/** Connections on which statements run that need the primary. */
	readonly #primaryConnections = new Map<StatementConnection, symbol>();

	constructor(timerService: TimerService) {
		this.#timerService = timerService;
	}

	/**
	 * Runs one statement unit.
	 *
	 * @param connection - Connection to use.
	 * @param messages - Front-end messages.
	 * @param options - Sink and what to withhold.
	 * @param limits - When to cancel.
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
	 * Closes the connections of the statements that need the primary and run now, unless they end within a grace.
	 *
	 * @param graceMilliseconds - Time in which an instance that still answers can end them.
	 */
	closeRunningOnPrimary(graceMilliseconds: number): Disposable {
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
	 * Cancels the statement of a request.
	 *
	 * @param requestIdentifier - Request whose statement runs.
	 */
	cancel(requestIdentifier: string): void {
		this.#cancelByRequest.get(requestIdentifier)?.();
	}
}
