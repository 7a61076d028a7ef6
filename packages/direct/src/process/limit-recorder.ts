import {RefusalReason} from '../request/limit-decision.js';
import {type LimitDecisionRecorder} from '../request/workspace-limiter.js';
import {type EventLog} from './event-log.js';
import {type HostMetrics} from './host-metrics.js';

/** Number of workspaces with counters of their own. Each label costs memory in the process and in the system that stores the metrics. */
const maximumLabels = 20;

/** Label of the other workspaces. */
const otherWorkspaces = 'other';

/** Minimum time between two equal lines about a workspace, and time without a refusal after which it is below its limit, in milliseconds. */
const lineIntervalMilliseconds = 1000;

/** Number of workspaces whose last refusal is remembered. */
const maximumRemembered = 1000;

/** Values of the label `outcome` of refused operations. */
const outcomes: Readonly<Record<RefusalReason, string>> = {
	[RefusalReason.OverLimit]: 'refused',
	[RefusalReason.Unanswered]: 'unanswered',
};

type LimitedWorkspace = {
	readonly since: number;
	refusedAt: number;
	refusals: number;
};

/** Counts the decisions on operations, and logs when a workspace reaches its limit and when it is below it again. */
export class LimitRecorder implements LimitDecisionRecorder {
	readonly #metrics: HostMetrics;
	readonly #log: EventLog;
	readonly #labels = new Set<string>();
	readonly #limited = new Map<string, LimitedWorkspace>();

	/**
	 * @param metrics - Metrics of the host.
	 * @param log - Event log.
	 */
	constructor(metrics: HostMetrics, log: EventLog) {
		this.#metrics = metrics;
		this.#log = log;
	}

	/** @inheritdoc */
	record(workspace: string, refusal: RefusalReason | undefined, now: number): void {
		this.#metrics.countOperation(this.#getLabel(workspace), refusal === undefined ? 'admitted' : outcomes[refusal]);
		if (refusal !== RefusalReason.OverLimit) {
			return;
		}

		const limited = this.#limited.get(workspace);
		if (limited) {
			limited.refusedAt = now;
			limited.refusals++;
		} else if (this.#limited.size < maximumRemembered) {
			this.#limited.set(workspace, {since: now, refusedAt: now, refusals: 1});
			this.#log.write('workspace-limited', {workspace});
		}
	}

	/** Logs the workspaces that have not been refused for some time. Called at a fixed interval. */
	check(now: number): void {
		for (const [workspace, {since, refusedAt, refusals}] of this.#limited) {
			if (now - refusedAt >= lineIntervalMilliseconds) {
				this.#limited.delete(workspace);
				this.#log.write('workspace-below-limit', {workspace, limitedMilliseconds: Math.round(refusedAt - since), refusals});
			}
		}
	}

	#getLabel(workspace: string): string {
		if (this.#labels.size < maximumLabels) {
			this.#labels.add(workspace);
		}

		return this.#labels.has(workspace) ? workspace : otherWorkspaces;
	}
}
