import {
	compareLogPositions, MetricName, RefusalReason, RequestKind, TransactionStatus, Verdict,
	type InstanceDefinition, type LogPosition, type Logger, type Metrics, type ResponseSink, type TimerService,
	type UpstreamRequest, type UpstreamResult,
} from '@tarragonstack/core';
import {type ConfigurationStore} from '../../version/configuration-store.js';
import {type CallerRequest, type CallerSession, type RequestExecutor} from '../caller-request.js';
import {type GroupView, type PrimaryView} from '../group-view.js';
import {type UpstreamGateway} from '../instance-executor.js';
import {type ReadIndexClient} from './read-index-client.js';
import {AdaptiveThrottle} from './adaptive-throttle.js';
import {createNotRunResult} from './refusals.js';
import {RetryBudget} from './retry-budget.js';
import {type UpstreamLoadTable} from './upstream-load-table.js';

/** Delay between attempts of a request that waits for a primary, in milliseconds. */
const primaryRetryDelayMilliseconds = 20;

/** Maximum time for which a read waits for a lagging replica, in milliseconds. */
const maximumCatchUpMilliseconds = 20;

/** Increase of the expected response time of an instance that did not execute a read, in milliseconds. */
const failurePenaltyMilliseconds = 500;

/** Increase of the expected response time of a replica that lagged behind the position required by a read, in milliseconds. */
const behindPenaltyMilliseconds = 50;

/** Difference to the shortest expected response time, in milliseconds, up to which instances are equivalent and chosen at random. */
const selectionToleranceMilliseconds = 0.5;

/**
 * Refusals after which a request for the primary is sent again, because the primary or its owner may have changed. These
 * retries are not limited by the retry budget, from which only reads take retries.
 */
const primaryUnknownReasons: ReadonlySet<RefusalReason> = new Set([RefusalReason.NotPrimary, RefusalReason.NotOwner, RefusalReason.NoUpstream]);

/** Retry hint of a request refused by the throttle, in milliseconds. By then, the throttle no longer counts a past overload. */
const throttledRetryMilliseconds = 800;

const throttledResult: UpstreamResult = {
	verdict: Verdict.NotRun,
	transactionStatus: TransactionStatus.Idle,
	refusal: {
		reason: RefusalReason.Overloaded,
		message: 'the group is overloaded with requests of this rank',
		retryAfterMilliseconds: throttledRetryMilliseconds,
	},
};

/** Dependencies of the router. */
export type RequestRouterOptions = {
	readonly configurationStore: ConfigurationStore;
	readonly groupView: GroupView;
	readonly gateway: UpstreamGateway;
	readonly readIndexClient: ReadIndexClient;
	readonly loadTable: UpstreamLoadTable;
	/** Returns the host that owns an instance, that is, the only host that holds connections to it and runs requests on it. */
	readonly getOwner: (instance: string) => string | undefined;
	/** Returns whether an instance is leaving. It receives no more reads outside transactions, and other requests only as the primary. */
	readonly isLeaving: (instance: string) => boolean;
	readonly timerService: TimerService;
	readonly logger: Logger;
	readonly metrics: Metrics;
	/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
	readonly random: () => number;
};

/** Context of one request in progress. */
type Execution = {
	readonly request: CallerRequest;
	readonly session: CallerSession;
	readonly sink: ResponseSink & {readonly hasWritten: () => boolean};
	readonly signal: AbortSignal;
	/** Monotonic time at which the request times out, in milliseconds. */
	readonly deadline: number;
};

/** Selects an instance for each request and sends the request to the owner of that instance. */
export class RequestRouter implements RequestExecutor {
	readonly #options: RequestRouterOptions;
	readonly #retryBudgets = new Map<string, RetryBudget>();
	readonly #throttles = new Map<string, AdaptiveThrottle>();
	/** Host to which each request in progress was last sent, by request identifier. */
	readonly #ownersInProgress = new Map<string, string>();
	readonly #handlers: Readonly<Record<RequestKind, (execution: Execution) => Promise<UpstreamResult>>> = {
		[RequestKind.Read]: execution => this.#executeRead(execution),
		[RequestKind.Write]: execution => this.#executeOnPrimary(execution),
		[RequestKind.Transaction]: execution => this.#executeInTransaction(execution),
	};

	/**
	 * @param options - Dependencies.
	 */
	constructor(options: RequestRouterOptions) {
		this.#options = options;
	}

	/** @inheritdoc */
	async execute(request: CallerRequest, session: CallerSession, sink: ResponseSink, signal: AbortSignal): Promise<UpstreamResult> {
		let written = false;
		const execution: Execution = {
			request,
			session,
			sink: {
				async write(messages) {
					written = true;
					await sink.write(messages);
				},
				hasWritten: () => written,
			},
			signal,
			deadline: request.arrivedAt + request.contractTerms.timeoutMilliseconds,
		};
		const throttle = this.#getThrottle(request);
		// The throttle refuses no request in an open transaction, because the transaction already holds a connection and locks.
		if (!session.transaction && throttle.shouldRefuse()) {
			return throttledResult;
		}

		this.#getRetryBudget(request).countRequest();
		try {
			const result = await this.#handlers[request.kind](execution);
			if (result.refusal?.reason !== RefusalReason.Overloaded) {
				throttle.countAccepted();
			}

			this.#advanceObservedPosition(session, request.group, result.position);
			this.#logUnknownOutcome(request, result);
			return result;
		} finally {
			this.#ownersInProgress.delete(request.requestIdentifier);
		}
	}

	/** @inheritdoc */
	cancel(requestIdentifier: string): void {
		const owner = this.#ownersInProgress.get(requestIdentifier);
		if (owner !== undefined) {
			this.#options.gateway.cancel(owner, requestIdentifier);
		}
	}

	/** @inheritdoc */
	abandonTransaction(session: CallerSession): void {
		const {transaction} = session;
		if (transaction) {
			session.transaction = undefined;
			this.#options.gateway.abandonTransaction(transaction.ownerHost, transaction.transactionIdentifier);
		}
	}

	async #executeRead(execution: Execution): Promise<UpstreamResult> {
		const minimumPosition = await this.#getMinimumPosition(execution);
		if (!minimumPosition) {
			return createNotRunResult(RefusalReason.SessionConsistency, 'the current position of the primary could not be confirmed in time');
		}

		const tried = new Set<string>();
		let lastResult = createNotRunResult(RefusalReason.NoUpstream, `no instance of group "${execution.request.group}" is available`);
		while (!execution.signal.aborted && this.#options.timerService.now() < execution.deadline) {
			const instance = this.#chooseReadInstance(execution, tried);
			if (!instance) {
				return lastResult;
			}

			tried.add(instance);
			lastResult = await this.#send(execution, instance, minimumPosition);
			if (lastResult.verdict !== Verdict.NotRun || execution.sink.hasWritten()) {
				this.#countRead(execution.request, instance);
				this.#advanceObservedPosition(execution.session, execution.request.group, minimumPosition);
				return lastResult;
			}

			this.#penalize(instance, lastResult);
			const isBehind = lastResult.refusal?.reason === RefusalReason.ReplicaBehind;
			if (!isBehind && !this.#getRetryBudget(execution.request).tryTakeRetry()) {
				return lastResult;
			}
		}

		return lastResult;
	}

	async #executeOnPrimary(execution: Execution): Promise<UpstreamResult> {
		let lastResult = createNotRunResult(RefusalReason.NoUpstream, `group "${execution.request.group}" has no primary at present`);
		let refusedTerm = -1;
		while (!execution.signal.aborted && this.#options.timerService.now() < execution.deadline) {
			const primary = await this.#findPrimary(execution, refusedTerm);
			if (!primary) {
				return lastResult;
			}

			lastResult = await this.#send(execution, primary.instance);
			if (lastResult.verdict !== Verdict.NotRun) {
				return lastResult;
			}

			const reason = lastResult.refusal?.reason;
			if (reason === undefined || !primaryUnknownReasons.has(reason)) {
				return lastResult;
			}

			refusedTerm = reason === RefusalReason.NotPrimary ? primary.term : refusedTerm;
			await this.#waitBeforeRetry(execution);
		}

		return lastResult;
	}

	async #executeInTransaction(execution: Execution): Promise<UpstreamResult> {
		const {request, session} = execution;
		if (!session.transaction) {
			return this.#executeOnPrimary(execution);
		}

		const {upstream, ownerHost, transactionIdentifier} = session.transaction;
		this.#ownersInProgress.set(request.requestIdentifier, ownerHost);
		const result = await this.#options.gateway.submit(
			ownerHost,
			this.#createUpstreamRequest(execution, upstream, {transactionIdentifier}),
			execution.sink,
			execution.signal,
		);
		if (result.transactionStatus === TransactionStatus.Idle) {
			session.transaction = undefined;
		}

		return result;
	}

	async #send(execution: Execution, instance: string, minimumPosition?: LogPosition): Promise<UpstreamResult> {
		const {request, session} = execution;
		const {gateway, loadTable, timerService} = this.#options;
		const owner = this.#options.getOwner(instance);
		if (owner === undefined) {
			return createNotRunResult(RefusalReason.NoUpstream, `no host serves instance "${instance}"`);
		}

		const transactionIdentifier = request.beginsTransaction ? request.requestIdentifier : undefined;
		this.#ownersInProgress.set(request.requestIdentifier, owner);
		loadTable.recordSent(instance);
		const sentAt = timerService.now();
		const result = await gateway.submit(
			owner,
			this.#createUpstreamRequest(execution, instance, {transactionIdentifier, minimumPosition}),
			execution.sink,
			execution.signal,
		);
		loadTable.recordResult(instance, result.verdict === Verdict.Ran ? timerService.now() - sentAt : undefined, result.load);
		if (transactionIdentifier !== undefined && result.transactionStatus !== TransactionStatus.Idle) {
			session.transaction = {transactionIdentifier, upstream: instance, ownerHost: owner};
		}

		return result;
	}

	#createUpstreamRequest(
		{request, deadline}: Execution,
		upstream: string,
		optionalFields: {readonly transactionIdentifier?: string; readonly minimumPosition?: LogPosition},
	): UpstreamRequest {
		const now = this.#options.timerService.now();
		const {contractTerms} = request;
		return {
			requestIdentifier: request.requestIdentifier,
			customer: request.customer,
			rank: request.rank,
			group: request.group,
			upstream,
			kind: request.kind,
			messages: request.messages,
			hiddenParseCompletes: request.hiddenParseCompletes,
			...(optionalFields.transactionIdentifier !== undefined && {transactionIdentifier: optionalFields.transactionIdentifier}),
			beginsTransaction: request.beginsTransaction,
			targetMilliseconds: request.arrivedAt + contractTerms.targetLatencyMilliseconds - now,
			timeoutMilliseconds: Math.max(0, deadline - now),
			lateRefund: contractTerms.lateRefund,
			refusedRefund: contractTerms.refusedRefund ?? contractTerms.lateRefund,
			customerWeight: request.customerWeight,
			floorShare: contractTerms.floorShare,
			...(optionalFields.minimumPosition && {minimumPosition: optionalFields.minimumPosition}),
			catchUpMilliseconds: Math.min(maximumCatchUpMilliseconds, contractTerms.targetLatencyMilliseconds / 3),
			acknowledgement: contractTerms.acknowledgement,
			...(request.idempotencyKey !== undefined && {idempotencyKey: request.idempotencyKey}),
			configurationVersion: request.configurationVersion,
		};
	}

	async #getMinimumPosition({request, session, signal, deadline}: Execution): Promise<LogPosition | undefined> {
		// A session with an identifier may have written through other hosts, so without a token its reads need a new read index.
		const mayHaveWrittenElsewhere = session.identifier !== undefined && session.positionToken === undefined;
		const maximumAge = mayHaveWrittenElsewhere ? 0 : request.maximumStalenessMilliseconds;
		const timeout = deadline - this.#options.timerService.now();
		const readIndex = await this.#options.readIndexClient.get(request.group, maximumAge, timeout, signal);
		if (!readIndex) {
			return undefined;
		}

		this.#options.groupView.learnPrimary(request.group, readIndex.primary);
		let {position} = readIndex;
		for (const observed of [session.observedPositions.get(request.group), session.positionToken]) {
			// Positions are compared by term first: a read index of a newer term covers every position of an older one.
			if (observed && compareLogPositions(observed, position) > 0) {
				position = observed;
			}
		}

		return position;
	}

	#chooseReadInstance(execution: Execution, tried: ReadonlySet<string>): string | undefined {
		const {request} = execution;
		const instances = this.#getInstances(request.group).filter(({name}) => !tried.has(name) && !this.#options.isLeaving(name));
		const primary = this.#options.groupView.getPrimary(request.group)?.instance;
		const replica = this.#getFastest(instances.filter(({name}) => name !== primary), request);
		const primaryDefinition = instances.find(({name}) => name === primary);
		if (!replica || !primaryDefinition) {
			return replica?.name ?? primaryDefinition?.name;
		}

		const remainingMilliseconds = request.arrivedAt + request.contractTerms.targetLatencyMilliseconds - this.#options.timerService.now();
		const replicaResponseMilliseconds = this.#getExpectedResponseMilliseconds(replica, request);
		// The primary executes all writes. While an untried replica is left, the primary gets a read only if the read is expected
		// to be late on the fastest replica and to be faster on the primary.
		const usesPrimary = replicaResponseMilliseconds > remainingMilliseconds
			&& this.#getExpectedResponseMilliseconds(primaryDefinition, request) < replicaResponseMilliseconds;
		return usesPrimary ? primaryDefinition.name : replica.name;
	}

	#getFastest(instances: readonly InstanceDefinition[], request: CallerRequest): InstanceDefinition | undefined {
		const responseTimes = instances.map(instance => this.#getExpectedResponseMilliseconds(instance, request));
		const limit = Math.min(...responseTimes) + selectionToleranceMilliseconds;
		const candidates = instances.filter((_, index) => responseTimes[index]! <= limit);
		return candidates[Math.floor(this.#options.random() * candidates.length)];
	}

	#getExpectedResponseMilliseconds(instance: InstanceDefinition, request: CallerRequest): number {
		return this.#options.loadTable.getExpectedResponseMilliseconds(instance.name, request.rank, instance.slots);
	}

	#getInstances(group: string): readonly InstanceDefinition[] {
		return this.#options.configurationStore.getCurrent()?.getGroup(group)?.instances ?? [];
	}

	/**
	 * Returns the known primary if its term is greater than the refused one. Otherwise, and before a transaction begins, waits
	 * until a majority of the members has confirmed a primary, and returns it whatever its term is.
	 *
	 * A host that polls no member of the group obtains the primary from the owners of the members.
	 */
	async #findPrimary(execution: Execution, refusedTerm: number): Promise<PrimaryView | undefined> {
		const {groupView, readIndexClient, timerService} = this.#options;
		const {group} = execution.request;
		while (!execution.signal.aborted && timerService.now() < execution.deadline) {
			const known = groupView.getPrimary(group);
			// Reads in a transaction have no minimum position, so the primary is confirmed before the transaction begins.
			if (known && known.term > refusedTerm && !execution.request.beginsTransaction) {
				return known;
			}

			const readIndex = await readIndexClient.get(group, 0, execution.deadline - timerService.now(), execution.signal);
			if (readIndex) {
				groupView.learnPrimary(group, readIndex.primary);
				// A majority has confirmed this primary, so it is used whatever its term is, even if a peer announced a greater one.
				return readIndex.primary;
			}

			await this.#waitBeforeRetry(execution);
		}

		return undefined;
	}

	async #waitBeforeRetry(execution: Execution): Promise<void> {
		await this.#options.timerService.sleep(primaryRetryDelayMilliseconds, execution.signal);
	}

	#penalize(instance: string, result: UpstreamResult): void {
		const isBehind = result.refusal?.reason === RefusalReason.ReplicaBehind;
		this.#options.loadTable.addPenalty(instance, isBehind ? behindPenaltyMilliseconds : failurePenaltyMilliseconds);
	}

	#countRead(request: CallerRequest, instance: string): void {
		const isPrimary = this.#options.groupView.getPrimary(request.group)?.instance === instance;
		this.#options.metrics.increment(isPrimary ? MetricName.PrimaryRead : MetricName.ReplicaRead, 1, {customer: request.customer, rank: request.rank});
	}

	#advanceObservedPosition(session: CallerSession, group: string, position: LogPosition | undefined): void {
		const observed = session.observedPositions.get(group);
		if (position && (!observed || compareLogPositions(position, observed) > 0)) {
			session.observedPositions.set(group, position);
		}
	}

	/** Operators use this log line to trace a request whose outcome the customer does not know. */
	#logUnknownOutcome({requestIdentifier, customer, rank, group}: CallerRequest, {verdict, refusal}: UpstreamResult): void {
		if (verdict === Verdict.MayHaveRun) {
			this.#options.logger.warn({request: requestIdentifier, customer, rank, group, cause: refusal?.message ?? ''}, 'the outcome of a request is unknown');
		}
	}

	#getThrottle({group, rank, kind}: CallerRequest): AdaptiveThrottle {
		const key = `${group}/${rank}/${kind}`;
		let throttle = this.#throttles.get(key);
		if (!throttle) {
			throttle = new AdaptiveThrottle(this.#options.timerService, this.#options.random);
			this.#throttles.set(key, throttle);
		}

		return throttle;
	}

	/** Each rank has its own budget, so that refusals in an overloaded rank do not use up the retries of the others. */
	#getRetryBudget({group, rank}: CallerRequest): RetryBudget {
		const key = `${group}/${rank}`;
		let budget = this.#retryBudgets.get(key);
		if (!budget) {
			budget = new RetryBudget(this.#options.timerService);
			this.#retryBudgets.set(key, budget);
		}

		return budget;
	}
}
