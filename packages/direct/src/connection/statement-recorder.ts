import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type EventLog} from '../process/event-log.js';
import {type HostMetrics} from '../process/host-metrics.js';
import {type StatementResult} from '../request/statement-result.js';
import {type StatementTrace} from '../request/statement-trace.js';
import {type Statement} from '../request/statement.js';
import {type SuccessLogSampler} from '../request/success-log-sampler.js';
import {type DeploymentConfiguration, type Route, type Workspace} from '../version/deployment-configuration.js';

/** Services of a `StatementRecorder`. */
export type StatementRecorderOptions = {
	readonly timer: TimerService;
	readonly log: EventLog;
	readonly metrics: HostMetrics;
	/** Samples statements for the log that were served in time. */
	readonly routineSample: SuccessLogSampler;
	/** Returns the configuration in force, or `undefined` before one is known. */
	getConfiguration(): DeploymentConfiguration | undefined;
};

/** Executed statement with its context. */
export type ExecutedStatement = {
	readonly statement: Statement;
	readonly result: StatementResult;
	readonly database: string;
	readonly route: Route;
	readonly workspace: Workspace | undefined;
	readonly isInTransaction: boolean;
	/** Monotonic time of arrival. */
	readonly startedAt: number;
	readonly trace: StatementTrace;
};

/** Counts the statements of clients, and logs those that failed, exceeded their target time or are sampled. */
export class StatementRecorder {
	readonly #options: StatementRecorderOptions;

	/**
	 * @param options - Services.
	 */
	constructor(options: StatementRecorderOptions) {
		this.#options = options;
	}

	/** Records a statement that was sent to an instance or refused. */
	record(executed: ExecutedStatement): void {
		const {timer, metrics, routineSample} = this.#options;
		const {result, route, startedAt} = executed;
		const durationMilliseconds = timer.now() - startedAt;
		metrics.countStatement(route.priority, result.error?.code ?? 'completed', durationMilliseconds);
		const isLate = durationMilliseconds > route.targetMilliseconds;
		if (result.error ?? isLate) {
			this.#log(result.error ? 'statement-failed' : 'statement-late', executed, durationMilliseconds);
			return;
		}

		const skipped = routineSample.sample(timer.now());
		if (skipped !== undefined) {
			this.#log('statement-served', executed, durationMilliseconds, skipped);
		}
	}

	#log(event: string, {statement, result, database, route, workspace, isInTransaction, trace}: ExecutedStatement, durationMilliseconds: number, skipped?: number): void {
		const {log, getConfiguration} = this.#options;
		const {waitedMilliseconds, ...rest} = trace;
		log.write(event, {
			request: statement.identifier, kind: statement.kind, database, workspace: workspace?.name, group: route.group, rank: route.priority,
			inTransaction: isInTransaction, outcome: result.error?.code ?? 'completed', message: result.error?.message,
			durationMilliseconds: Math.round(durationMilliseconds), waitedMilliseconds: Math.round(waitedMilliseconds),
			configurationVersion: getConfiguration()?.version, skipped, ...rest,
		});
	}
}
