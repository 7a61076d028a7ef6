import {
	MetricName, RefusalReason, RequestKind, TransactionStatus, Verdict, waitAtMost,
	type Refusal, type ResponseSink, type UpstreamLoad, type UpstreamRequest, type UpstreamResult,
} from '@tarragonstack/core';
import {type Result} from 'neverthrow';
import {createDeferred, type Deferred} from '../request/scheduling/deferred.js';
import {uniqueViolationSqlState, getStoredKey} from '../request/scheduling/idempotency-statements.js';
import {Semaphore} from '../request/scheduling/semaphore.js';
import {PositionWaiters} from '../request/scheduling/position-waiters.js';
import {SlotQueue, type Slot} from '../request/scheduling/slot-queue.js';
import {HoldMode, type StatementConnection, type StatementOutcome} from '../request/scheduling/statement-connection.js';
import {RunningStatements} from '../request/scheduling/running-statements.js';
import {type InstanceSchedulerOptions, type ScheduledRequest} from './instance-scheduler-options.js';
import {connectionRefusals, createNotRunResult, createOutcomeUnknownResult} from './instance-scheduler-results.js';
import {TransactionTable, type HeldTransaction} from './instance-scheduler-transactions.js';
import {UnitRunner} from './instance-scheduler-unit-runner.js';

/** Interval at which the limits are adapted to the reported slots and the service times, in milliseconds. */
const limitIntervalMilliseconds = 100;

/** Maximum time that a request with a slot waits for a connection, in milliseconds. A login takes about 10 ms. */
const connectionTimeoutMilliseconds = 500;

/** Maximum time that a new transaction waits for another one to end, in milliseconds. */
const permitTimeoutMilliseconds = 2000;

/**
 * Statements dispatched in addition to the slots. In a simulated overload with 3 slots, 5 ms per statement and a one-way
 * delay of 1 ms, the instance completed 428 of 600 statements/s with 0 extra statements, 571 with 1 and 599 with 2. Each
 * extra statement adds up to one service time to the wait of urgent requests.
 */
const defaultExtraStatements = 1;

/**
 * Time after another instance became the primary until the connections with running statements that need the primary are
 * closed, in milliseconds. A reachable instance ends these statements by itself. With an unreachable one, callers would wait
 * until the time limit of their rank.
 */
const replacedPrimaryGraceMilliseconds = 300;

const defaultMaximumQueueEntries = 2000;
const defaultMaximumQueueBytes = 33_554_432;

/** Runs all requests for one instance. Manages its request queue, slots, connections and open transactions. */
export class InstanceScheduler implements AsyncDisposable {
	readonly #options: InstanceSchedulerOptions;
	readonly #extraStatements: number;
	readonly #queue: SlotQueue;
	readonly #runningStatements: RunningStatements;
	readonly #runner: UnitRunner;
	readonly #positionWaiters: PositionWaiters;
	readonly #transactionSemaphore: Semaphore;
	readonly #transactions: TransactionTable;
	/** Unanswered requests by identifier. The controllers remove them from the queue. */
	readonly #requests = new Map<string, AbortController>();
	/** Idempotency keys in use on this host, with a promise that resolves when the request that uses the key ends. */
	readonly #keysInUse = new Map<string, Promise<void>>();
	readonly #limitSubscription: Disposable;
	readonly #primarySubscription: Disposable;
	/** Timer that closes connections after another instance became the primary. */
	#primaryConnectionsTimer: Disposable | undefined;
	#idle: Deferred | undefined;
	#refusal: Refusal | undefined;

	constructor(options: InstanceSchedulerOptions) {
		const {timerService, pool, slots} = options;
		this.#options = options;
		this.#extraStatements = options.extraStatements ?? defaultExtraStatements;
		this.#queue = new SlotQueue({
			timerService,
			policy: options.policy,
			slots: slots + this.#extraStatements,
			maximumEntries: options.maximumQueueEntries ?? defaultMaximumQueueEntries,
			maximumBytes: options.maximumQueueBytes ?? defaultMaximumQueueBytes,
		});
		this.#runningStatements = new RunningStatements(timerService);
		this.#runner = new UnitRunner(options, this.#runningStatements);
		this.#positionWaiters = new PositionWaiters(options);
		this.#transactionSemaphore = new Semaphore(timerService, this.#getPermitLimit(slots));
		this.#transactions = new TransactionTable(pool, this.#transactionSemaphore, timerService);
		this.#limitSubscription = timerService.subscribe(limitIntervalMilliseconds, () => {
			this.#adaptLimits();
		});
		this.#primarySubscription = options.groupView.subscribe((group, primary) => {
			if (group === options.group && primary.instance !== options.instance) {
				this.#primaryConnectionsTimer?.[Symbol.dispose]();
				this.#primaryConnectionsTimer = this.#runningStatements.closeConnectionsNeedingPrimary(replacedPrimaryGraceMilliseconds);
			}
		});
	}

	/** Number of unanswered requests. */
	get requestCount(): number {
		return this.#requests.size;
	}

	/** Number of open transactions. */
	get transactionCount(): number {
		return this.#transactions.size;
	}

	/**
	 * Returns whether this scheduler holds a transaction.
	 *
	 * @param transactionIdentifier - Identifier of the transaction.
	 */
	holdsTransaction(transactionIdentifier: string): boolean {
		return this.#transactions.get(transactionIdentifier) !== undefined;
	}

	/**
	 * Refuses new requests, except for units of open transactions.
	 *
	 * @param refusal - Refusal that callers receive, or `undefined` to accept requests again.
	 */
	setRefusal(refusal: Refusal | undefined): void {
		this.#refusal = refusal;
	}

	/** @inheritdoc InstanceExecutor.submit */
	async submit(request: UpstreamRequest, sink: ResponseSink, signal: AbortSignal): Promise<UpstreamResult> {
		const controller = new AbortController();
		const onAbort = () => {
			controller.abort();
		};

		signal.addEventListener('abort', onAbort, {once: true});
		if (signal.aborted) {
			controller.abort();
		}

		this.#requests.set(request.requestIdentifier, controller);
		const now = this.#options.timerService.now();
		const job: ScheduledRequest = {
			request,
			sink,
			signal: controller.signal,
			lateAt: now + request.targetMilliseconds,
			timeoutAt: now + request.timeoutMilliseconds,
		};
		try {
			return {...await this.#serve(job), load: this.getLoad()};
		} catch (error) {
			this.#options.logger?.error({request: request.requestIdentifier, error: String(error)}, 'request failed with an unexpected error');
			return {...createOutcomeUnknownResult(String(error)), load: this.getLoad()};
		} finally {
			signal.removeEventListener('abort', onAbort);
			this.#requests.delete(request.requestIdentifier);
			this.#checkIdle();
		}
	}

	/** @inheritdoc InstanceExecutor.cancel */
	cancel(requestIdentifier: string): void {
		this.#runningStatements.cancel(requestIdentifier);
		// Aborting the signal removes a waiting request from the queue.
		this.#requests.get(requestIdentifier)?.abort();
	}

	/** @inheritdoc InstanceExecutor.abandonTransaction */
	abandonTransaction(transactionIdentifier: string): void {
		const transaction = this.#transactions.get(transactionIdentifier);
		if (transaction) {
			void this.#abandonAndCheckIdle(transaction);
		}
	}

	/** Returns the current load of the instance. */
	getLoad(): UpstreamLoad {
		const position = this.#options.groupView.getStatus(this.#options.instance)?.position;
		return {...this.#queue.getLoad(), ...(position && {position})};
	}

	/**
	 * Waits until no request is in progress and no transaction is open.
	 *
	 * @param timeoutMilliseconds - Maximum time to wait.
	 */
	async waitUntilIdle(timeoutMilliseconds: number): Promise<void> {
		if (this.#requests.size === 0 && this.#transactions.size === 0) {
			return;
		}

		this.#idle ??= createDeferred();
		await waitAtMost(this.#idle.promise, timeoutMilliseconds, this.#options.timerService);
	}

	/** Refuses the requests that wait for a slot, rolls back open transactions and closes the connections. */
	async [Symbol.asyncDispose](): Promise<void> {
		this.#refusal ??= {reason: RefusalReason.Stopping, message: 'the host no longer serves the instance'};
		this.#limitSubscription[Symbol.dispose]();
		this.#primarySubscription[Symbol.dispose]();
		this.#primaryConnectionsTimer?.[Symbol.dispose]();
		this.#queue.close();
		for (const identifier of this.#transactions.identifiers) {
			this.abandonTransaction(identifier);
		}

		await this.#options.pool[Symbol.asyncDispose]();
	}

	async #serve(job: ScheduledRequest): Promise<UpstreamResult> {
		const {request} = job;
		if (request.transactionIdentifier !== undefined && !request.beginsTransaction) {
			return this.#serveInTransaction(job, request.transactionIdentifier);
		}

		const refusal = this.#refusal ?? await this.#checkPreconditions(job);
		if (refusal) {
			return createNotRunResult(refusal);
		}

		if (request.transactionIdentifier !== undefined) {
			return this.#beginTransaction(job, request.transactionIdentifier);
		}

		return request.idempotencyKey !== undefined && request.kind === RequestKind.Write
			? this.#serveWithKey(job)
			: this.#serveUnit(job);
	}

	/** Checks whether a unit may wait for a slot, and waits until the instance has reached the minimum position of a read. */
	async #checkPreconditions({request, lateAt, timeoutAt}: ScheduledRequest): Promise<Refusal | undefined> {
		if (this.#requests.size > 2 * (this.#options.maximumQueueEntries ?? defaultMaximumQueueEntries)) {
			return {reason: RefusalReason.Overloaded, message: 'too many requests are unanswered'};
		}

		if (request.kind !== RequestKind.Read) {
			return this.#checkPrimary();
		}

		if (!request.minimumPosition) {
			return undefined;
		}

		// Keeps twice the mean service time, so that the router can still send the request to another instance before it is late.
		const meanServiceMilliseconds = this.#queue.estimates.get(request).mean;
		const deadline = Math.min(timeoutAt, lateAt - (2 * meanServiceMilliseconds), this.#options.timerService.now() + request.catchUpMilliseconds);
		return await this.#positionWaiters.waitFor(request.minimumPosition, deadline)
			? undefined
			: {reason: RefusalReason.ReplicaBehind, message: 'the instance has not reached the minimum position'};
	}

	#checkPrimary(): Refusal | undefined {
		return this.#runner.getPrimaryTerm() === undefined
			? {reason: RefusalReason.NotPrimary, message: 'the instance is not the known primary of the group'}
			: undefined;
	}

	/** Runs a unit outside an explicit transaction. */
	async #serveUnit(job: ScheduledRequest): Promise<UpstreamResult> {
		return this.#withConnection(job, async (connection, releaseSlotAndConnection) => {
			const isRead = job.request.kind === RequestKind.Read;
			const term = isRead ? undefined : this.#runner.getPrimaryTerm();
			if (!isRead && term === undefined) {
				releaseSlotAndConnection(false);
				return createNotRunResult(this.#checkPrimary()!);
			}

			const outcome = await this.#runner.run(job, connection, isRead ? HoldMode.Error : HoldMode.Completion);
			releaseSlotAndConnection(outcome.verdict === Verdict.Ran);
			return this.#runner.finish(job, this.#withoutTransaction(outcome), term);
		});
	}

	async #serveWithKey(job: ScheduledRequest): Promise<UpstreamResult> {
		const key = getStoredKey(job.request);
		for (let activeRequestEnd = this.#keysInUse.get(key); activeRequestEnd; activeRequestEnd = this.#keysInUse.get(key)) {
			// On the instance, inserting the same key would wait for the first transaction and occupy a slot meanwhile.
			const {timerService} = this.#options;
			await waitAtMost(activeRequestEnd, job.timeoutAt - timerService.now(), timerService);
			if (timerService.now() >= job.timeoutAt) {
				return createNotRunResult({
					reason: RefusalReason.DeadlineExceeded, message: 'the first request with the idempotency key is still running',
				});
			}
		}

		const end = createDeferred();
		this.#keysInUse.set(key, end.promise);
		try {
			return await this.#withConnection(job, async (connection, releaseSlotAndConnection) => {
				const term = this.#runner.getPrimaryTerm();
				if (term === undefined) {
					releaseSlotAndConnection(false);
					return createNotRunResult(this.#checkPrimary()!);
				}

				return this.#runner.runWithKey(job, connection, term, () => {
					releaseSlotAndConnection(true);
				});
			});
		} finally {
			this.#keysInUse.delete(key);
			end.resolve();
		}
	}

	/**
	 * Acquires a slot and a connection for a unit, and releases both as soon as the instance has answered. The argument of
	 * `releaseSlotAndConnection` is whether the elapsed time counts as a sample of the service time.
	 */
	async #withConnection(
		job: ScheduledRequest,
		use: (connection: StatementConnection, releaseSlotAndConnection: (isSample: boolean) => void) => Promise<UpstreamResult>,
	): Promise<UpstreamResult> {
		const slot = await this.#acquireSlot(job, false);
		if (slot.isErr()) {
			return createNotRunResult(slot.error);
		}

		const connection = await this.#options.pool.acquire(this.#getConnectionTimeout(job));
		if (connection.isErr()) {
			slot.value.release(false);
			return createNotRunResult(connectionRefusals[connection.error]);
		}

		if (job.signal.aborted || this.#options.timerService.now() >= job.timeoutAt) {
			// Nothing was sent to the instance yet, so the request has not run.
			slot.value.release(false);
			this.#options.pool.release(connection.value);
			return createNotRunResult({reason: RefusalReason.DeadlineExceeded, message: 'the request was cancelled or timed out before it started'});
		}

		let isFinished = false;
		const releaseSlotAndConnection = (isSample: boolean) => {
			if (!isFinished) {
				isFinished = true;
				slot.value.release(isSample);
				this.#options.pool.release(connection.value);
			}
		};

		try {
			return await use(connection.value, releaseSlotAndConnection);
		} finally {
			releaseSlotAndConnection(false);
		}
	}

	async #beginTransaction(job: ScheduledRequest, identifier: string): Promise<UpstreamResult> {
		const timeout = Math.min(permitTimeoutMilliseconds, job.timeoutAt - this.#options.timerService.now());
		if (!await this.#transactionSemaphore.acquire(timeout)) {
			return createNotRunResult({
				reason: RefusalReason.Overloaded, message: 'too many transactions are open', retryAfterMilliseconds: permitTimeoutMilliseconds,
			});
		}

		const slot = await this.#acquireSlot(job, false);
		if (slot.isErr()) {
			this.#transactionSemaphore.release();
			return createNotRunResult(slot.error);
		}

		const connection = await this.#options.pool.acquire(this.#getConnectionTimeout(job));
		if (connection.isErr()) {
			slot.value.release(false);
			this.#transactionSemaphore.release();
			return createNotRunResult(connectionRefusals[connection.error]);
		}

		const transaction = this.#transactions.add(identifier, connection.value);
		return this.#runInTransaction(job, transaction, slot.value);
	}

	async #serveInTransaction(job: ScheduledRequest, identifier: string): Promise<UpstreamResult> {
		const transaction = this.#transactions.get(identifier);
		if (!transaction) {
			return createNotRunResult({reason: RefusalReason.NoUpstream, message: 'the transaction has ended; it was rolled back'});
		}

		const previous = transaction.tail;
		const end = createDeferred();
		transaction.tail = end.promise;
		try {
			await previous;
			const slot = await this.#acquireSlot(job, true);
			if (slot.isErr()) {
				// The transaction must not be committed without this unit.
				end.resolve();
				await this.#abandonAndCheckIdle(transaction);
				return createNotRunResult(slot.error);
			}

			if (this.#transactions.get(identifier) !== transaction) {
				slot.value.release(false);
				return createNotRunResult({reason: RefusalReason.NoUpstream, message: 'the transaction has ended; it was rolled back'});
			}

			return await this.#runInTransaction(job, transaction, slot.value);
		} finally {
			end.resolve();
		}
	}

	/** Runs a unit on the connection of its transaction, and releases the slot. */
	async #runInTransaction(job: ScheduledRequest, transaction: HeldTransaction, slot: Slot): Promise<UpstreamResult> {
		const term = this.#runner.getPrimaryTerm();
		const needsKey = job.request.beginsTransaction && job.request.idempotencyKey !== undefined;
		const outcome = await this.#runner.run(job, transaction.connection, needsKey ? HoldMode.Completion : HoldMode.Commit);
		const keyRefusal = needsKey && outcome.transactionStatus === TransactionStatus.InTransaction
			? await this.#reserveKey(job, transaction)
			: undefined;
		slot.release(outcome.verdict === Verdict.Ran);
		if (keyRefusal) {
			await this.#transactions.rollBack(transaction);
			return createNotRunResult(keyRefusal);
		}

		if (outcome.transactionStatus === TransactionStatus.Idle) {
			this.#transactions.end(transaction);
		} else if (job.signal.aborted) {
			await this.#transactions.rollBack(transaction);
			return this.#runner.finish(job, {...outcome, transactionStatus: TransactionStatus.Idle}, term);
		}

		return this.#runner.finish(job, outcome, term);
	}

	async #reserveKey(job: ScheduledRequest, transaction: HeldTransaction): Promise<Refusal | undefined> {
		const reserved = await this.#runner.reserveKey(job, transaction.connection);
		if (reserved.verdict === Verdict.Ran && reserved.sqlState === undefined) {
			return undefined;
		}

		return reserved.sqlState === uniqueViolationSqlState
			? {reason: RefusalReason.DuplicateKey, message: 'the idempotency key was already used'}
			: {reason: RefusalReason.NoUpstream, message: `the idempotency key was not stored: ${reserved.sqlState ?? reserved.failure ?? ''}`};
	}

	async #abandonAndCheckIdle(transaction: HeldTransaction): Promise<void> {
		await this.#transactions.abandon(transaction);
		this.#checkIdle();
	}

	/** Sets the status of a unit outside an explicit transaction to idle, because its connection is released. */
	#withoutTransaction(outcome: StatementOutcome): StatementOutcome {
		return {...outcome, transactionStatus: TransactionStatus.Idle};
	}

	async #acquireSlot(job: ScheduledRequest, isInTransaction: boolean): Promise<Result<Slot, Refusal>> {
		const {request, lateAt, timeoutAt, signal} = job;
		const {timerService, metrics} = this.#options;
		const queuedAt = timerService.now();
		const slot = await this.#queue.acquire({
			customer: request.customer,
			customerWeight: request.customerWeight,
			rank: request.rank,
			kind: request.kind,
			floorShare: request.floorShare,
			lateRefund: request.lateRefund,
			refusedRefund: request.refusedRefund,
			bytes: request.messages.length,
			lateAt,
			timeoutAt,
			isInTransaction,
		}, signal);
		metrics?.histogram(MetricName.QueueWait, timerService.now() - queuedAt, {customer: request.customer, rank: request.rank});
		return slot;
	}

	#getConnectionTimeout(job: ScheduledRequest): number {
		return Math.min(connectionTimeoutMilliseconds, job.timeoutAt - this.#options.timerService.now());
	}

	#adaptLimits(): void {
		const status = this.#options.groupView.getStatus(this.#options.instance);
		const slots = status?.slots ?? this.#options.slots;
		this.#options.pool.resize(slots, status?.connectionLimit ?? this.#options.connectionLimit);
		this.#transactionSemaphore.setLimit(this.#getPermitLimit(slots));
		this.#queue.updateLimit(slots + this.#extraStatements);
	}

	/**
	 * Returns the maximum number of open transactions. It leaves one connection per concurrent statement for other requests,
	 * except in a pool that is too small, because one transaction is always allowed.
	 */
	#getPermitLimit(slots: number): number {
		return Math.max(1, this.#options.pool.capacity - slots - this.#extraStatements);
	}

	#checkIdle(): void {
		if (this.#requests.size === 0 && this.#transactions.size === 0) {
			this.#idle?.resolve();
			this.#idle = undefined;
		}
	}
}
