import {
	type Logger, type Metrics, type ResponseSink, type TimerService, type UpstreamRequest,
} from '@tarragonstack/core';
import {type GroupView} from '../request/group-view.js';
import {type SchedulingPolicy} from '../request/scheduling/scheduling-policy.js';
import {type ConnectionPool} from '../request/scheduling/statement-connection.js';
import {type TermConfirmation} from '../request/term-confirmation.js';

/** Options of an instance scheduler. */
export type InstanceSchedulerOptions = {
	readonly instance: string;
	readonly group: string;
	/** Slots and connection limit of the configuration, used until the instance reports its own. */
	readonly slots: number;
	readonly connectionLimit: number;
	readonly policy: SchedulingPolicy;
	readonly timerService: TimerService;
	readonly groupView: GroupView;
	readonly termConfirmation: TermConfirmation;
	/** The scheduler disposes of the pool. */
	readonly pool: ConnectionPool;
	readonly logger?: Logger;
	/** Asks the instance for its status, for requests that wait for a log position. */
	readonly refreshStatus?: () => Promise<void>;
	readonly metrics?: Metrics;
	/** Statements dispatched beyond the slots, so that a slot does not stay empty for a round trip. */
	readonly extraStatements?: number;
	readonly maximumQueueEntries?: number;
	readonly maximumQueueBytes?: number;
};

/** One submitted request on its way through the scheduler. */
export type ScheduledRequest = {
	readonly request: UpstreamRequest;
	readonly sink: ResponseSink;
	/** Aborted when nobody waits for the result or the request is cancelled while it waits. */
	readonly signal: AbortSignal;
	readonly lateAt: number;
	readonly givenUpAt: number;
};
