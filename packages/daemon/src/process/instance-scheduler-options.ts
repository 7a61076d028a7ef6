import {
	type Logger, type Metrics, type ResponseSink, type TimerService, type UpstreamRequest,
} from '@tarragonstack/core';
import {type GroupView} from '../request/group-view.js';
import {type SchedulingPolicy} from '../request/scheduling/scheduling-policy.js';
import {type ConnectionPool} from '../request/scheduling/statement-connection.js';
import {type TermConfirmation} from '../request/term-confirmation.js';

/** Options of `InstanceScheduler`. */
export type InstanceSchedulerOptions = {
	readonly instance: string;
	readonly group: string;
	/** Configured slots and connection limit, which apply until the instance reports its own values. */
	readonly slots: number;
	readonly connectionLimit: number;
	readonly policy: SchedulingPolicy;
	readonly timerService: TimerService;
	readonly groupView: GroupView;
	readonly termConfirmation: TermConfirmation;
	/** Connection pool of the instance. The scheduler owns it and disposes of it. */
	readonly pool: ConnectionPool;
	readonly logger?: Logger;
	/** Queries the status of the instance for requests that wait for a log position. */
	readonly refreshStatus?: () => Promise<void>;
	readonly metrics?: Metrics;
	/** Statements dispatched in addition to the slots, so that a slot is not idle for a round trip. */
	readonly extraStatements?: number;
	readonly maximumQueueEntries?: number;
	readonly maximumQueueBytes?: number;
};

/** Request with its response sink, its cancellation signal and its deadlines. */
export type ScheduledRequest = {
	readonly request: UpstreamRequest;
	readonly sink: ResponseSink;
	/** Aborted when the result is no longer needed or the request is cancelled. */
	readonly signal: AbortSignal;
	readonly lateAt: number;
	readonly timeoutAt: number;
};
