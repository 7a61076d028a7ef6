import {compareLogPositions, formatLogPosition, type LogPosition} from '@tarragonstack/core/request/log-position';
import {TransactionStatus} from '@tarragonstack/core/request/transaction-status';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type EventLog} from '../process/event-log.js';
import {type InstanceGroupState, type KnownInstance} from '../process/instance-group-state.js';
import {Consistency} from '../request/consistency.js';
import {actionOfErrorCode, ErrorAction} from '../request/error-handling.js';
import {type SessionWritePosition} from '../request/primary-position-history.js';
import {chooseReadCandidate} from '../request/read-placement.js';
import {getReadAttemptTimeout} from '../request/read-attempt-timeout.js';
import {StatementErrorCode} from '../request/statement-error-code.js';
import {StatementKind} from '../request/statement-kind.js';
import {type StatementResult} from '../request/statement-result.js';
import {type PreparedDefinition, type Statement} from '../request/statement.js';
import {type StatementTrace} from '../request/statement-trace.js';
import {type WaitingRequest} from '../request/waiting-request.js';
import {type Route} from '../version/deployment-configuration.js';
import {AcquireFailure, type InstancePool} from './instance-pool.js';
import {getPreparedName, type PooledConnection, type SessionContext} from './pooled-connection.js';
import {PositionRefresher} from './position-refresher.js';
import {rollBackAndRelease} from './roll-back-and-release.js';
import {Progress, runStatement} from './run-statement.js';
import {type UpstreamStatement} from './upstream-channel.js';

/** Part of the permitted staleness that is not used, in milliseconds; it covers differences in when the parties look. */
const stalenessMarginMilliseconds = 100;

/** Share of a statement's time limit that must be left when it is sent; a write that is cut off has an unknown outcome. */
const sendReserveShare = 0.15;

/** Longest pause before an instance or the list of instances is looked at again, in milliseconds. */
const retryPauseMilliseconds = 20;

/** Bounds of the time for which a replica that lacked a position gets no reads that demand it, in milliseconds. */
const minimumLagPenaltyMilliseconds = 50;
const maximumLagPenaltyMilliseconds = 800;

/**
 * Greatest number of attempts of a statement that instances fail, if it may run again. Two instances of a group that fail
 * two fifths of their statements leave one in sixteen; more attempts would hide a statement that can't succeed.
 */
const maximumFailures = 3;

/** Why a host without permission to use primaries refuses at once what needs one. */
const unauthorizedReason = 'the host reaches neither the store nor a majority of the hosts';

/** Why a write that succeeded at the primary is not acknowledged. */
export const unacknowledgedReason = 'the primary may have been replaced before it answered';

/** Greatest number of attempts of one statement. */
const maximumAttempts = 12;

/** Errors that tell of an instance in trouble; the others tell of what was asked. */
const failureCodes: ReadonlySet<StatementErrorCode> = new Set([StatementErrorCode.Failed, StatementErrorCode.TimedOut, StatementErrorCode.Overloaded]);

/** Statement that is to run outside a transaction, or as the first of one. */
export type FirstStatement = {
	readonly statement: Statement;
	/** Kind of the transaction that the statement begins, if any. */
	readonly begin?: 'read-write' | 'read-only';
	readonly route: Route;
	readonly group: InstanceGroupState;
	readonly context: SessionContext;
	readonly definition?: PreparedDefinition;
	readonly floor?: SessionWritePosition;
	/** Monotonic time at which the statement, or the beginning of its transaction, arrived. */
	readonly arrivedAt: number;
	readonly trace: StatementTrace;
};

/** Connection that a transaction holds. */
export type HeldConnection = {
	readonly connection: PooledConnection;
	readonly pool: InstancePool;
	/** Reign of the primary; `undefined` if the transaction runs at a replica. */
	readonly reign?: number;
};

/** Outcome of the first statement. */
export type FirstOutcome = {
	readonly result: StatementResult;
	/** Connection of the transaction that was begun. */
	readonly held?: HeldConnection;
	/** Reign of the primary that answered. */
	readonly reign?: number;
};

enum PositionNeed {
	/** The host has to observe a fresher position first. */
	Fresher = 'fresher',
}

type Target = {
	readonly known: KnownInstance;
	readonly pool: InstancePool;
	readonly minimumPosition?: LogPosition;
	readonly reign?: number;
};

type Attempt = {
	/** Missing if the statement may be tried again. */
	readonly outcome?: FirstOutcome;
	/** Error of an attempt that ran; it is returned if no other attempt succeeds. */
	readonly failure?: StatementResult;
};

/** Chooses an instance for a statement, runs it there, and tries again as long as it has not run. */
export class StatementRunner {
	readonly #timer: TimerService;
	readonly #log: EventLog;
	readonly #availabilityZone: string;
	readonly #isUnauthorized: () => boolean;
	readonly #refresher: PositionRefresher;

	/**
	 * @param options - Services, and the zone of this host.
	 */
	constructor(options: {timer: TimerService; log: EventLog; availabilityZone: string; isUnauthorized: () => boolean}) {
		this.#timer = options.timer;
		this.#log = options.log;
		this.#availabilityZone = options.availabilityZone;
		this.#isUnauthorized = options.isUnauthorized;
		this.#refresher = new PositionRefresher(options.timer);
	}

	/**
	 * Runs a statement that is not inside a started transaction.
	 *
	 * @param work - Statement and what is known of its session.
	 */
	async run(work: FirstStatement): Promise<FirstOutcome> {
		const deadline = this.#timer.now() + work.route.statementTimeoutMilliseconds;
		const request: WaitingRequest = {
			priority: work.route.priority,
			arrivedAt: work.arrivedAt,
			onTimeUntil: work.arrivedAt + work.route.targetMilliseconds,
			deadline: deadline - (work.route.statementTimeoutMilliseconds * sendReserveShare),
		};
		const tried = new Set<InstancePool>();
		const failures: StatementResult[] = [];
		let reason = 'no instance is available';
		for (let attempts = 0; attempts < maximumAttempts && this.#timer.now() < request.deadline;) {
			const minimumPosition = this.#getReplicaPosition(work);
			if (minimumPosition === PositionNeed.Fresher) {
				if (this.#isUnauthorized()) {
					reason = unauthorizedReason;
					break;
				}

				// The primary answers a status request sooner than a read, and its slots stay free for writes.
				await this.#measureWait(work, async () => this.#refreshOrWait(work.group, request.deadline));
				continue;
			}

			const target = this.#chooseTarget(work.group, minimumPosition, tried);
			if (!target) {
				if (this.#isUnauthorized()) {
					reason = unauthorizedReason;
					break;
				}

				await this.#measureWait(work, async () => this.#waitForChange(work.group, request.deadline));
				continue;
			}

			const connection = await this.#measureWait(work, async () => target.pool.acquire(request, work.context));
			if (typeof connection === 'string') {
				reason = connection === AcquireFailure.Expired ? 'no connection became free in time' : 'the instance is not reachable';
				await this.#leaveTarget(work, target, tried, request);
				continue;
			}

			attempts++;
			work.trace.attempts++;
			work.trace.instance = target.pool.instance.id;
			if (target.minimumPosition) {
				work.trace.minimumPosition = formatLogPosition(target.minimumPosition);
			}

			const attempt = await this.#attempt(work, target, connection, {deadline, request});
			if (attempt.outcome) {
				return attempt.outcome;
			}

			if (attempt.failure && failures.push(attempt.failure) === maximumFailures) {
				break;
			}

			await this.#leaveTarget(work, target, tried, request);
		}

		work.trace.reason ??= reason;
		return {result: failures.at(-1) ?? createError(StatementErrorCode.Overloaded, `${reason}; retry after ${retryPauseMilliseconds * 5} ms`)};
	}

	/** Goes on to another replica after an attempt, or waits before the primary is tried again. */
	async #leaveTarget(work: FirstStatement, {pool, reign}: Target, tried: Set<InstancePool>, request: WaitingRequest): Promise<void> {
		if (reign === undefined) {
			tried.add(pool);
			return;
		}

		tried.clear();
		await this.#measureWait(work, async () => this.#waitForChange(work.group, request.deadline));
	}

	#chooseTarget(group: InstanceGroupState, minimumPosition: LogPosition | undefined, tried: ReadonlySet<InstancePool>): Target | undefined {
		if (minimumPosition) {
			const replica = this.#chooseReplica(group, minimumPosition, tried);
			if (replica) {
				return {known: replica, pool: replica.pool, minimumPosition};
			}
		}

		const primary = group.getUsablePrimary();
		return primary && !primary.known.pool.closed
			? {known: primary.known, pool: primary.known.pool, reign: primary.reign}
			: undefined;
	}

	/** Returns the position that a replica must hold, or `undefined` if only the primary may serve the statement. */
	#getReplicaPosition({statement, begin, route, group, definition, floor, arrivedAt}: FirstStatement): LogPosition | PositionNeed.Fresher | undefined {
		const isReadOnly = begin === undefined
			? statement.kind === StatementKind.Read || (statement.kind === StatementKind.Execute && definition?.writes === false)
			: begin === 'read-only';
		if (!isReadOnly || route.consistency === Consistency.Primary) {
			return undefined;
		}

		return group.positionHistory.getRequiredPosition(
			arrivedAt - route.maximumStalenessMilliseconds + stalenessMarginMilliseconds,
			route.consistency === Consistency.ReadYourWrites ? floor : undefined,
		) ?? PositionNeed.Fresher;
	}

	#chooseReplica(group: InstanceGroupState, position: LogPosition, tried: ReadonlySet<InstancePool>): KnownInstance | undefined {
		const now = this.#timer.now();
		const primary = group.record?.primary;
		const replicas = [...group.instances.values()].filter(({pool}) => pool.instance.id !== primary && !pool.instance.leaving && !pool.closed);
		return replicas[chooseReadCandidate(replicas.map(({pool, lag}) => ({
			load: pool.load,
			serviceTime: pool.serviceTime,
			isLocalZone: pool.instance.availabilityZone === this.#availabilityZone,
			isRelayed: pool.isRelayed,
			failureRate: pool.failureShare,
			isBehind: lag !== undefined && now < lag.until && compareLogPositions(position, lag.missing) >= 0,
			isReachable: pool.isResponsive(now),
			isTried: tried.has(pool),
		})))];
	}

	async #attempt(work: FirstStatement, target: Target, connection: PooledConnection, {deadline, request}: {deadline: number; request: WaitingRequest}): Promise<Attempt> {
		const {statement, begin, context, definition, group, route, trace} = work;
		const {pool, minimumPosition, reign} = target;
		if (reign !== undefined && !group.isReignCurrent(reign)) {
			pool.release(connection);
			return {};
		}

		const position = minimumPosition && {minimumPosition};
		const alignment = connection.align(context, definition);
		const preamble: UpstreamStatement[] = begin ? [...alignment, {begin, ...position}] : alignment;
		const startedAt = this.#timer.now();
		trace.relayed = connection.isRelayed;
		pool.noteSent(connection);
		const outcome = await runStatement(
			connection,
			preamble,
			{statement, ...(definition && {preparedName: getPreparedName(definition)}), ...(!begin && position)},
			{
				timer: this.#timer,
				deadline: mayRepeat(work) ? Math.min(deadline, startedAt + getReadAttemptTimeout(route.targetMilliseconds, trace.attempts)) : deadline,
				origin: {request, reign},
			},
		);
		if (outcome.progress === Progress.Answered) {
			return this.#handleAnswer(work, target, connection, outcome);
		}

		if (outcome.progress === Progress.NotSent && outcome.error) {
			pool.noteAnswered(connection);
			if (alignment.length > 0) {
				// It is not known which of the statements failed, and so what the connection holds.
				connection.channel[Symbol.dispose]();
			}

			return this.#handleError(work, target, connection, createError(outcome.error.code, outcome.error.message));
		}

		connection.channel[Symbol.dispose]();
		pool.release(connection);
		return this.#handleUnanswered(work, target, outcome, startedAt);
	}

	#handleAnswer(work: FirstStatement, target: Target, connection: PooledConnection, {result, sentAt}: {result: StatementResult; sentAt: number}): Attempt {
		target.pool.noteAnswered(connection, this.#timer.now() - sentAt);
		target.pool.noteOutcome(result.error !== undefined && failureCodes.has(result.error.code));
		if (target.reign !== undefined && !result.error && result.position) {
			work.group.positionHistory.observe(target.reign, result.position, sentAt);
		}

		if (target.reign !== undefined && !result.error && !mayRepeat(work) && !work.group.mayAcknowledge(target.reign)) {
			target.pool.release(connection);
			return {outcome: {result: createError(StatementErrorCode.OutcomeUnknown, unacknowledgedReason)}};
		}

		return result.error ? this.#handleError(work, target, connection, result) : this.#succeed(work, target, connection, result);
	}

	#handleUnanswered(work: FirstStatement, target: Target, {progress, message}: {progress: Progress; message: string}, startedAt: number): Attempt {
		const isSent = progress === Progress.Unanswered;
		if (isSent) {
			target.pool.noteOutcome(true);
		}

		this.#log.write('statement-unanswered', {
			request: work.statement.identifier, group: work.group.name, instance: target.pool.instance.id, primary: target.reign !== undefined,
			afterMilliseconds: Math.round(this.#timer.now() - startedAt), sent: isSent, repeatable: mayRepeat(work), reason: message,
		});
		return isSent && !mayRepeat(work) ? {outcome: {result: createError(StatementErrorCode.OutcomeUnknown, message)}} : {};
	}

	#succeed(work: FirstStatement, target: Target, connection: PooledConnection, result: StatementResult): Attempt {
		const reign = target.reign === undefined ? {} : {reign: target.reign};
		if (target.minimumPosition) {
			delete target.known.lag;
		}

		if (work.begin && result.status === TransactionStatus.InTransaction) {
			return {outcome: {result, held: {connection, pool: target.pool, ...reign}, ...reign}};
		}

		if (result.status !== TransactionStatus.Idle) {
			connection.channel[Symbol.dispose]();
		}

		target.pool.release(connection);
		return {outcome: {result, ...reign}};
	}

	#handleError(work: FirstStatement, target: Target, connection: PooledConnection, result: StatementResult): Attempt {
		const {code} = (result.error!);
		const action = actionOfErrorCode[code];
		if (action === ErrorAction.ReplaceConnection) {
			connection.channel[Symbol.dispose]();
		}

		if (work.begin) {
			void rollBackAndRelease(connection, target.pool, this.#timer);
		} else {
			target.pool.release(connection);
		}

		const failure = {...result, status: work.begin ? TransactionStatus.Failed : TransactionStatus.Idle};
		if (action === ErrorAction.Return || (action === ErrorAction.RepeatIfHarmless && !mayRepeat(work))) {
			return {outcome: {result: failure}};
		}

		work.trace.reason = code;
		if (action === ErrorAction.RepeatIfHarmless) {
			return {failure};
		}

		if (code === StatementErrorCode.Behind) {
			this.#noteLag(target);
		}

		return {};
	}

	/** Avoids a replica that lacks a position, for longer each time that it still does. */
	#noteLag({known, minimumPosition}: Target): void {
		if (minimumPosition) {
			const now = this.#timer.now();
			const penaltyMilliseconds = known.lag && now > known.lag.until
				? Math.min(maximumLagPenaltyMilliseconds, known.lag.penaltyMilliseconds * 2)
				: known.lag?.penaltyMilliseconds ?? minimumLagPenaltyMilliseconds;
			known.lag = {missing: minimumPosition, until: now + penaltyMilliseconds, penaltyMilliseconds};
		}
	}

	async #refreshOrWait(group: InstanceGroupState, deadline: number): Promise<void> {
		if (!(await this.#refresher.refresh(group))) {
			await this.#waitForChange(group, deadline);
		}
	}

	async #measureWait<Value>({trace}: FirstStatement, wait: () => Promise<Value>): Promise<Value> {
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

/** Whether the statement may be sent again although it may have run: it reads, or its transaction ends with the connection. */
function mayRepeat({begin, statement, definition}: FirstStatement): boolean {
	return begin !== undefined || statement.kind === StatementKind.Read || definition?.writes === false;
}

/**
 * Creates the result of a statement that failed on this host.
 *
 * @param code - Code that states whether the statement ran.
 * @param message - Explanation for people.
 * @param status - Transaction status of the session afterwards.
 */
export function createError(code: StatementErrorCode, message: string, status = TransactionStatus.Idle): StatementResult {
	return {rows: [], error: {code, message}, status};
}
