import {formatLogPosition} from '@tarragonstack/core/request/log-position';
import {TransactionStatus} from '@tarragonstack/core/request/transaction-status';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type EventLog} from '../process/event-log.js';
import {type InstanceGroupState, type KnownInstance} from '../process/instance-group-state.js';
import {Consistency} from '../request/consistency.js';
import {actionOfErrorCode, ErrorAction} from '../request/error-handling.js';
import {type SessionWritePosition} from '../request/primary-position-history.js';
import {getReadAttemptTimeout} from '../request/read-attempt-timeout.js';
import {getStatementClass} from '../request/statement-class.js';
import {type RequiredPosition} from '../request/replica-lag.js';
import {StatementErrorCode} from '../request/statement-error-code.js';
import {StatementKind} from '../request/statement-kind.js';
import {type StatementResult} from '../request/statement-result.js';
import {type PreparedDefinition, type Statement} from '../request/statement.js';
import {type StatementTrace} from '../request/statement-trace.js';
import {type WaitingRequest} from '../request/waiting-request.js';
import {type Route} from '../version/deployment-configuration.js';
import {AcquireFailure, overloadedReason} from './connection-queue.js';
import {type InstancePool} from './instance-pool.js';
import {getPreparedName, type PooledConnection, type SessionContext} from './pooled-connection.js';
import {PositionRefresher} from './position-refresher.js';
import {ReplicaChooser} from './replica-chooser.js';
import {rollBackAndRelease} from './roll-back-and-release.js';
import {StatementProgress, runStatement} from './run-statement.js';
import {type UpstreamStatement} from './upstream-channel.js';

/**
 * Safety margin that is subtracted from the permitted staleness, in milliseconds. The client, this host and the replica
 * determine how recent a position is at different times.
 */
const stalenessMarginMilliseconds = 100;

/** Share of a statement's timeout that must remain when it is sent; a write that times out has an unknown outcome. */
const minimumRemainingShare = 0.15;

/** Maximum delay before an instance is tried, or the list of instances is checked, again, in milliseconds. */
const retryPauseMilliseconds = 20;

/**
 * Maximum number of failed attempts of a statement that is safe to retry. If two instances of a group each fail two
 * fifths of their statements, one statement in sixteen still fails; more attempts would hide a statement that cannot
 * succeed.
 */
const maximumFailures = 3;

/** Error message if a statement needs a primary and this host may not use primaries now; it is not retried. */
const missingAuthorityReason = 'the host reaches neither the store nor a majority of the hosts';

/** Error message if a write succeeded on the primary but cannot be acknowledged. */
export const unacknowledgedReason = 'the primary may have been replaced before it answered';

/** Maximum number of attempts of one statement. */
const maximumAttempts = 12;

/** Error messages if no connection was granted. */
const reasonOfFailure: Readonly<Record<AcquireFailure, string>> = {
	[AcquireFailure.Expired]: 'no connection became free in time',
	[AcquireFailure.Unavailable]: 'the instance is not reachable',
	[AcquireFailure.Overloaded]: overloadedReason,
};

/** Errors that indicate a problem of the instance; the others depend on the statement. */
const instanceFailureCodes: ReadonlySet<StatementErrorCode> = new Set([StatementErrorCode.Failed, StatementErrorCode.TimedOut, StatementErrorCode.Overloaded]);

/**
 * Statement that is routed to a group, and for which the runner chooses an instance: one outside a transaction, or the first
 * of a transaction.
 */
export type RoutedStatement = {
	readonly statement: Statement;
	/** Kind of the transaction that the statement begins, if any. */
	readonly begin?: 'read-write' | 'read-only';
	readonly route: Route;
	readonly group: InstanceGroupState;
	readonly context: SessionContext;
	readonly definition?: PreparedDefinition;
	/** Last write of the session in the group, for reading its own writes. */
	readonly lastWrite?: SessionWritePosition;
	/** Monotonic time at which the statement, or the beginning of its transaction, arrived. */
	readonly arrivedAt: number;
	readonly trace: StatementTrace;
};

/** Connection that is pinned to a transaction. */
export type PinnedConnection = {
	readonly connection: PooledConnection;
	readonly pool: InstancePool;
	/** Reign of the primary, which is the revision of the group record that names it; `undefined` for a replica. */
	readonly reign?: number;
};

/** Outcome of a routed statement. */
export type RoutedOutcome = {
	readonly result: StatementResult;
	/** Connection that is pinned to the transaction that was begun. */
	readonly pinned?: PinnedConnection;
	/** Reign of the primary that ran the statement; `undefined` if a replica ran it or it failed. */
	readonly reign?: number;
};

/** Marker in place of a position that the host does not know yet. */
enum PositionMarker {
	/** The host has to request a more recent position first. */
	RefreshFirst = 'fresher',
}

type Target = {
	/** State of the instance on this host. */
	readonly instanceState: KnownInstance;
	readonly pool: InstancePool;
	/** Monotonic time at which the instance was chosen. */
	readonly chosenAt: number;
	/** Position that the instance must hold. */
	readonly required?: RequiredPosition;
	/** Reign of the primary, which is the revision of the group record that names it; `undefined` for a replica. */
	readonly reign?: number;
};

/** Outcome of an attempt to run a statement on an instance. */
type AttemptOutcome = {
	/** Missing if the statement may be retried. */
	readonly outcome?: RoutedOutcome;
	/** Error of an attempt that ran; it is returned if no other attempt succeeds. */
	readonly failure?: StatementResult;
};

/** Chooses an instance for a statement, runs the statement there, and retries it as long as that is safe. */
export class StatementRunner {
	readonly #timer: TimerService;
	readonly #log: EventLog;
	readonly #lacksPrimaryAuthority: () => boolean;
	readonly #waitForFirstAuthority: (milliseconds: number) => Promise<boolean>;
	readonly #isStopped: () => boolean;
	readonly #refresher: PositionRefresher;
	readonly #replicaChooser: ReplicaChooser;

	/**
	 * @param options - Services, the availability zone of this host, a function that returns whether this host may not use
	 * primaries now, one that waits for a host that starts and returns whether it did so, and one that returns whether the host
	 * runs no statements any longer.
	 */
	constructor(options: {
		timer: TimerService; log: EventLog; availabilityZone: string; lacksPrimaryAuthority: () => boolean;
		waitForFirstAuthority: (milliseconds: number) => Promise<boolean>; isStopped: () => boolean;
	}) {
		this.#timer = options.timer;
		this.#log = options.log;
		this.#replicaChooser = new ReplicaChooser(options.timer, options.availabilityZone);
		this.#lacksPrimaryAuthority = options.lacksPrimaryAuthority;
		this.#waitForFirstAuthority = options.waitForFirstAuthority;
		this.#isStopped = options.isStopped;
		this.#refresher = new PositionRefresher(options.timer);
	}

	/**
	 * Runs a statement that has no pinned connection.
	 *
	 * @param routed - Statement with its route and session state.
	 */
	async run(routed: RoutedStatement): Promise<RoutedOutcome> {
		const deadline = this.#timer.now() + routed.route.statementTimeoutMilliseconds;
		const request: WaitingRequest = {
			priority: routed.route.priority,
			arrivedAt: routed.arrivedAt,
			onTimeUntil: routed.arrivedAt + routed.route.targetMilliseconds,
			deadline: deadline - (routed.route.statementTimeoutMilliseconds * minimumRemainingShare),
		};
		const tried = new Set<InstancePool>();
		const failures: StatementResult[] = [];
		let reason = 'no instance is available';
		for (let attempts = 0; attempts < maximumAttempts && this.#mayTry(request);) {
			const required = this.#getRequiredReplicaPosition(routed);
			const target = required === PositionMarker.RefreshFirst ? undefined : this.#chooseTarget(routed.group, required, tried);
			if (!target) {
				if (await this.#measureWait(routed, async () => this.#waitForTarget(routed.group, required === PositionMarker.RefreshFirst, request.deadline))) {
					continue;
				}

				reason = missingAuthorityReason;
				break;
			}

			const connection = await this.#measureWait(routed, async () => target.pool.acquire(request, routed.context));
			if (typeof connection === 'string') {
				reason = reasonOfFailure[connection];
				if (connection === AcquireFailure.Overloaded && target.reign !== undefined) {
					return {result: this.#refuse(routed, reason, target.pool.returnMilliseconds)};
				}

				await this.#prepareRetry(routed, target, tried, request);
				continue;
			}

			attempts++;
			routed.trace.attempts++;
			routed.trace.instance = target.pool.instance.id;
			if (target.required) {
				routed.trace.minimumPosition = formatLogPosition(target.required.position);
			}

			const attempt = await this.#attempt(routed, target, connection, {deadline, request});
			if (attempt.outcome) {
				return attempt.outcome;
			}

			if (attempt.failure && failures.push(attempt.failure) === maximumFailures) {
				break;
			}

			await this.#prepareRetry(routed, target, tried, request);
		}

		return {result: failures.at(-1) ?? this.#refuse(routed, reason)};
	}

	/** Creates the result of a statement that has not run. */
	#refuse({trace}: RoutedStatement, lastReason: string, returnMilliseconds = retryPauseMilliseconds * 5): StatementResult {
		const reason = this.#isStopped() ? 'the host is stopping' : lastReason;
		trace.reason ??= reason;
		return createErrorResult(StatementErrorCode.Overloaded, `${reason}; retry after ${returnMilliseconds} ms`);
	}

	#mayTry({deadline}: WaitingRequest): boolean {
		return this.#timer.now() < deadline && !this.#isStopped();
	}

	/** Excludes a replica after an attempt, or waits before the primary is tried again. */
	async #prepareRetry(routed: RoutedStatement, {pool, reign}: Target, tried: Set<InstancePool>, request: WaitingRequest): Promise<void> {
		if (reign === undefined) {
			tried.add(pool);
			return;
		}

		tried.clear();
		await this.#measureWait(routed, async () => this.#waitForChange(routed.group, request.deadline));
	}

	#chooseTarget(group: InstanceGroupState, required: RequiredPosition | undefined, tried: ReadonlySet<InstancePool>): Target | undefined {
		const chosenAt = this.#timer.now();
		if (required) {
			const replica = this.#replicaChooser.choose(group, required, tried);
			if (replica) {
				return {instanceState: replica, pool: replica.pool, chosenAt, required};
			}
		}

		const primary = group.getUsablePrimary();
		return primary && !primary.known.pool.closed
			? {instanceState: primary.known, pool: primary.known.pool, chosenAt, reign: primary.reign}
			: undefined;
	}

	/**
	 * Returns the position that a replica must have to run the statement, `undefined` if only the primary may run it, or
	 * `RefreshFirst` if a replica may run it but this host knows no position that is recent enough.
	 */
	#getRequiredReplicaPosition({statement, begin, route, group, definition, lastWrite, arrivedAt}: RoutedStatement): RequiredPosition | PositionMarker.RefreshFirst | undefined {
		const isReadOnly = begin === undefined
			? statement.kind === StatementKind.Read || (statement.kind === StatementKind.Execute && definition?.writes === false)
			: begin === 'read-only';
		if (!isReadOnly || route.consistency === Consistency.Primary) {
			return undefined;
		}

		return group.getRequiredPosition(
			arrivedAt - route.maximumStalenessMilliseconds + stalenessMarginMilliseconds,
			route.consistency === Consistency.ReadYourWrites ? lastWrite : undefined,
		) ?? PositionMarker.RefreshFirst;
	}

	async #attempt(routed: RoutedStatement, target: Target, connection: PooledConnection, {deadline, request}: {deadline: number; request: WaitingRequest}): Promise<AttemptOutcome> {
		const {statement, begin, context, definition, group, route, trace} = routed;
		const {pool, required, reign} = target;
		if (reign !== undefined && !group.isReignCurrent(reign)) {
			pool.release(connection);
			return {};
		}

		const position = required && {minimumPosition: required.position};
		const sessionSetup = connection.synchronizeSession(context, definition);
		const setupStatements: UpstreamStatement[] = begin ? [...sessionSetup, {begin, ...position}] : sessionSetup;
		const startedAt = this.#timer.now();
		trace.relayed = connection.usesGateway;
		pool.recordSend(connection);
		const outcome = await runStatement(
			connection,
			setupStatements,
			{statement, ...(definition && {preparedName: getPreparedName(definition)}), ...(!begin && position)},
			{
				timer: this.#timer,
				deadline: isSafeToRetry(routed) ? Math.min(deadline, startedAt + getReadAttemptTimeout(route.targetMilliseconds, trace.attempts)) : deadline,
				origin: {request, reign, workspace: context.workspace, workspacePriority: context.workspacePriority},
			},
		);
		if (outcome.progress === StatementProgress.Answered) {
			return this.#handleResponse(routed, target, connection, outcome);
		}

		if (outcome.progress === StatementProgress.NotSent && outcome.error) {
			pool.recordResponse(connection);
			if (sessionSetup.length > 0) {
				// It is unknown which of the statements failed, and therefore which session state the connection has.
				connection.channel[Symbol.dispose]();
			}

			const attempt = this.#handleError(routed, target, connection, createErrorResult(outcome.error.code, outcome.error.message));
			return outcome.returnAfter === undefined || reign === undefined ? attempt : {outcome: {result: this.#refuse(routed, outcome.message, outcome.returnAfter)}};
		}

		connection.channel[Symbol.dispose]();
		pool.release(connection);
		return this.#handleUnanswered(routed, target, outcome, startedAt);
	}

	#handleResponse(routed: RoutedStatement, target: Target, connection: PooledConnection, {result, sentAt}: {result: StatementResult; sentAt: number}): AttemptOutcome {
		target.pool.recordResponse(connection, {
			milliseconds: this.#timer.now() - sentAt,
			statementClass: result.error ? undefined : getStatementClass(routed.statement.kind, routed.definition?.writes, routed.route.priority),
			report: connection.channel.gatewayReport,
		});
		target.pool.recordOutcome(result.error !== undefined && instanceFailureCodes.has(result.error.code));
		if (target.reign !== undefined && !result.error && result.position) {
			routed.group.positionHistory.observe(target.reign, result.position, sentAt);
		}

		if (target.reign !== undefined && !result.error && !isSafeToRetry(routed) && !routed.group.mayAcknowledge(target.reign)) {
			target.pool.release(connection);
			return {outcome: {result: createErrorResult(StatementErrorCode.OutcomeUnknown, unacknowledgedReason)}};
		}

		return result.error ? this.#handleError(routed, target, connection, result) : this.#handleSuccess(routed, target, connection, result);
	}

	#handleUnanswered(routed: RoutedStatement, target: Target, {progress, message}: {progress: StatementProgress; message: string}, startedAt: number): AttemptOutcome {
		const isSent = progress === StatementProgress.Unanswered;
		if (isSent) {
			target.pool.recordOutcome(true);
		}

		this.#log.write('statement-unanswered', {
			request: routed.statement.identifier, group: routed.group.name, instance: target.pool.instance.id, primary: target.reign !== undefined,
			afterMilliseconds: Math.round(this.#timer.now() - startedAt), sent: isSent, repeatable: isSafeToRetry(routed), reason: message,
		});
		return isSent && !isSafeToRetry(routed) ? {outcome: {result: createErrorResult(StatementErrorCode.OutcomeUnknown, message)}} : {};
	}

	#handleSuccess(routed: RoutedStatement, target: Target, connection: PooledConnection, result: StatementResult): AttemptOutcome {
		const reign = target.reign === undefined ? {} : {reign: target.reign};
		if (target.reign !== undefined && (routed.begin === 'read-write' || !isSafeToRetry(routed))) {
			target.pool.recordRole(true);
		}

		if (target.required) {
			target.instanceState.lag.recordSuccess(target.required, this.#timer.now());
		}

		if (routed.begin && result.status === TransactionStatus.InTransaction) {
			return {outcome: {result, pinned: {connection, pool: target.pool, ...reign}, ...reign}};
		}

		if (result.status !== TransactionStatus.Idle) {
			connection.channel[Symbol.dispose]();
		}

		target.pool.release(connection);
		return {outcome: {result, ...reign}};
	}

	#handleError(routed: RoutedStatement, target: Target, connection: PooledConnection, result: StatementResult): AttemptOutcome {
		const {code} = (result.error!);
		const action = actionOfErrorCode[code];
		if (action === ErrorAction.ReplaceConnection) {
			connection.channel[Symbol.dispose]();
		}

		if (routed.begin) {
			void rollBackAndRelease(connection, target.pool, this.#timer);
		} else {
			target.pool.release(connection);
		}

		const failure = {...result, status: routed.begin ? TransactionStatus.Failed : TransactionStatus.Idle};
		if (action === ErrorAction.Return || (action === ErrorAction.RepeatIfHarmless && !isSafeToRetry(routed))) {
			return {outcome: {result: failure}};
		}

		if (code === StatementErrorCode.ReadOnly && target.reign !== undefined) {
			target.pool.recordRole(false);
		}

		routed.trace.reason = code;
		if (action === ErrorAction.RepeatIfHarmless) {
			return {failure};
		}

		if (code === StatementErrorCode.Behind && target.required) {
			target.instanceState.lag.recordRefusal(target.required, target.chosenAt, this.#timer.now());
		}

		return {};
	}

	/** Waits until an instance may be usable. Returns false at once if this host has no authority, unless it has just started. */
	async #waitForTarget(group: InstanceGroupState, needsPosition: boolean, deadline: number): Promise<boolean> {
		if (this.#lacksPrimaryAuthority()) {
			return this.#waitForFirstAuthority(deadline - this.#timer.now());
		}

		// A status request occupies a slot of the primary for less time than a read would. Afterwards, a replica can serve the
		// read, and the slots of the primary remain available to writes.
		await (needsPosition ? this.#refreshOrWait(group, deadline) : this.#waitForChange(group, deadline));
		return true;
	}

	async #refreshOrWait(group: InstanceGroupState, deadline: number): Promise<void> {
		if (!(await this.#refresher.refresh(group))) {
			await this.#waitForChange(group, deadline);
		}
	}

	async #measureWait<Value>({trace}: RoutedStatement, wait: () => Promise<Value>): Promise<Value> {
		const startedAt = this.#timer.now();
		const value = await wait();
		trace.waitedMilliseconds += this.#timer.now() - startedAt;
		return value;
	}

	async #waitForChange(group: InstanceGroupState, deadline: number): Promise<void> {
		const now = this.#timer.now();
		const abort = new AbortController();
		group.onceChanged(() => {
			abort.abort();
		});
		await this.#timer.sleep(Math.min(retryPauseMilliseconds, Math.max(1, deadline - now)), abort.signal);
	}
}

/** Whether the statement can be repeated even if it has run: it only reads, or its transaction ends with the connection. */
function isSafeToRetry({begin, statement, definition}: RoutedStatement): boolean {
	return begin !== undefined || statement.kind === StatementKind.Read || definition?.writes === false;
}

/**
 * Creates a result with an error and no rows. It is used if no response of an instance to the statement can be returned.
 *
 * @param code - Error code; it states whether the statement ran.
 * @param message - Human-readable explanation.
 * @param status - Transaction status of the session after the error.
 */
export function createErrorResult(code: StatementErrorCode, message: string, status = TransactionStatus.Idle): StatementResult {
	return {rows: [], error: {code, message}, status};
}
