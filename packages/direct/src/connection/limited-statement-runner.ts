import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type WorkspaceLimiter} from '../request/workspace-limiter.js';
import {StatementErrorCode} from '../request/statement-error-code.js';
import {createErrorResult, type RoutedOutcome, type RoutedStatement, type StatementRunner} from './statement-runner.js';

/** Runs statements that need an instance to be chosen. */
export type RoutedStatementRunner = Pick<StatementRunner, 'run'>;

/** Admits each operation within the rate limit of its workspace before it passes the operation on. */
export class LimitedStatementRunner implements RoutedStatementRunner {
	readonly #runner: RoutedStatementRunner;
	readonly #limiter: WorkspaceLimiter;
	readonly #timer: TimerService;

	/**
	 * @param runner - Runs the statements that are admitted.
	 * @param limiter - Limits of the workspaces.
	 * @param timer - Source of monotonic time.
	 */
	constructor(runner: RoutedStatementRunner, limiter: WorkspaceLimiter, timer: TimerService) {
		this.#runner = runner;
		this.#limiter = limiter;
		this.#timer = timer;
	}

	/** Runs a statement outside a transaction, or the first one of a transaction. Both are one operation. */
	async run(routed: RoutedStatement): Promise<RoutedOutcome> {
		const {workspace} = routed.context;
		return workspace === undefined || !this.#limiter.isActive ? this.#runner.run(routed) : this.#runLimited(routed, workspace);
	}

	async #runLimited(routed: RoutedStatement, workspace: string): Promise<RoutedOutcome> {
		const {trace} = routed;
		const startedAt = this.#timer.now();
		const decision = await this.#limiter.admit(workspace, startedAt);
		trace.waitedMilliseconds += this.#timer.now() - startedAt;
		if (!decision.isAdmitted) {
			trace.reason = decision.reason;
			return {result: createErrorResult(StatementErrorCode.Overloaded, `${decision.reason}; retry after ${decision.retryMilliseconds} ms`)};
		}

		const outcome = await this.#runner.run(routed);
		if (trace.attempts === 0) {
			this.#limiter.giveBack(workspace, this.#timer.now());
		}

		return outcome;
	}
}
