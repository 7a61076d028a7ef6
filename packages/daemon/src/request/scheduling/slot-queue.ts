import {ranks, RefusalReason, type Rank, type Refusal, type TimerService, type UpstreamLoad} from '@tarragonstack/core';
import {err, ok, type Result} from 'neverthrow';
import {ConcurrencyLimit} from './concurrency-limit.js';
import {type QueueState, type ScheduledWork} from './scheduled-work.js';
import {schedulingStrategyFactories, type SchedulingPolicy} from './scheduling-policy.js';
import {type SchedulingStrategy} from './scheduling-strategy.js';
import {ServiceTimeEstimates, type ServiceTimeClass} from './service-time-estimates.js';

/** Minimum retry hint, in milliseconds. A shorter one would only add load. */
const minimumRetryAfterMilliseconds = 10;

/** Options of a slot queue. */
export type SlotQueueOptions = {
	readonly timerService: TimerService;
	readonly policy: SchedulingPolicy;
	/** Maximum number of statements that the instance runs concurrently. */
	readonly slots: number;
	/** Maximum number of waiting entries. */
	readonly maximumEntries: number;
	/** Maximum total size of the waiting entries, in bytes. */
	readonly maximumBytes: number;
};

/** Work to queue. */
export type SlotRequest = ServiceTimeClass & {
	readonly customerWeight: number;
	readonly floorShare: number;
	readonly lateRefund: number;
	readonly refusedRefund: number;
	readonly bytes: number;
	readonly lateAt: number;
	readonly timeoutAt: number;
	/** Whether the work belongs to an open transaction, which holds a connection and locks. Such work is always admitted. */
	readonly isInTransaction: boolean;
};

/** Permission to run one statement unit. */
export type Slot = {
	/**
	 * Releases the slot.
	 *
	 * @param isSample - Whether the elapsed time is a valid sample of the service time.
	 */
	release(isSample: boolean): void;
};

type Entry = {
	readonly resolve: (result: Result<Slot, Refusal>) => void;
	readonly timeout: Disposable;
	readonly removeAbortListener: () => void;
};

type RunningWork = {
	readonly work: ScheduledWork;
	readonly startedAt: number;
};

/** Bounded queue of work that waits for the slots of an instance. Each instance has exactly one. */
export class SlotQueue {
	readonly estimates = new ServiceTimeEstimates();
	readonly #options: SlotQueueOptions;
	readonly #strategy: SchedulingStrategy;
	readonly #waiting = new Map<ScheduledWork, Entry>();
	readonly #waitingSet = new Set<ScheduledWork>();
	readonly #running = new Set<RunningWork>();
	#waitingBytes = 0;
	readonly #limit: ConcurrencyLimit;
	#isClosed = false;

	constructor(options: SlotQueueOptions) {
		this.#options = options;
		this.#limit = new ConcurrencyLimit(options.slots, options.timerService.now());
		this.#strategy = schedulingStrategyFactories[options.policy]();
	}

	/** Current limit on concurrent statements. */
	get limit(): number {
		return this.#limit.limit;
	}

	get waitingCount(): number {
		return this.#waiting.size;
	}

	get runningCount(): number {
		return this.#running.size;
	}

	/**
	 * Adapts the limit on concurrent statements. It must be called several times per second.
	 *
	 * @param slots - Number of slots that the instance reports. Values below 1 count as 1.
	 */
	updateLimit(slots: number): void {
		this.#limit.setSlots(Math.max(1, slots));
		this.#limit.update(this.#options.timerService.now());
		this.#dispatch();
	}

	/**
	 * Queues work until a slot is available.
	 *
	 * @param request - Work to queue.
	 * @param signal - Removes the work from the queue when aborted.
	 */
	async acquire(request: SlotRequest, signal: AbortSignal): Promise<Result<Slot, Refusal>> {
		const now = this.#options.timerService.now();
		const work = this.#createWork(request, now);
		const refusal = this.#getAdmissionRefusal(work, signal);
		if (refusal) {
			return err(refusal);
		}

		return new Promise(resolve => {
			const onAbort = () => {
				this.#refuse(work, {reason: RefusalReason.DeadlineExceeded, message: 'the caller disconnected'});
			};

			signal.addEventListener('abort', onAbort, {once: true});
			this.#waiting.set(work, {
				resolve,
				timeout: this.#options.timerService.schedule(work.timeoutAt - now, () => {
					this.#refuse(work, {
						reason: RefusalReason.DeadlineExceeded, message: 'the request timed out before it started',
					});
				}),
				removeAbortListener() {
					signal.removeEventListener('abort', onAbort);
				},
			});
			this.#waitingSet.add(work);
			this.#waitingBytes += work.bytes;
			this.#dispatch();
		});
	}

	/** Returns the current load. */
	getLoad(): UpstreamLoad {
		const state = this.#getState();
		const waits = ranks.map(rank => [rank, this.#strategy.getExpectedWait(rank, state)] as const);
		return {
			expectedWaitMilliseconds: Object.fromEntries(waits) as Record<Rank, number>,
			serviceMilliseconds: this.estimates.overallMilliseconds,
		};
	}

	/** Closes the queue. Waiting work and all later work are refused. */
	close(): void {
		this.#isClosed = true;
		for (const work of this.#waiting.keys()) {
			this.#refuse(work, {reason: RefusalReason.Stopping, message: 'the host no longer serves the instance'});
		}
	}

	#createWork(request: SlotRequest, now: number): ScheduledWork {
		const estimate = this.estimates.get(request);
		return {
			customer: request.customer,
			customerWeight: request.customerWeight,
			rank: request.rank,
			kind: request.kind,
			floorShare: request.floorShare,
			lateRefund: request.lateRefund,
			refusedRefund: request.refusedRefund,
			bytes: request.bytes,
			arrivedAt: now,
			lateAt: request.lateAt,
			timeoutAt: request.timeoutAt,
			serviceMilliseconds: estimate.mean,
			deviationMilliseconds: estimate.deviation,
			isInTransaction: request.isInTransaction,
		};
	}

	#getAdmissionRefusal(work: ScheduledWork, signal: AbortSignal): Refusal | undefined {
		if (this.#isClosed) {
			return {reason: RefusalReason.Stopping, message: 'the host no longer serves the instance'};
		}

		if (signal.aborted || work.timeoutAt <= work.arrivedAt) {
			return {reason: RefusalReason.DeadlineExceeded, message: 'the request timed out before it started'};
		}

		if (work.isInTransaction) {
			// The number of open transactions already limits this work.
			return undefined;
		}

		const isFull = this.#waiting.size >= this.#options.maximumEntries
			|| this.#waitingBytes + work.bytes > this.#options.maximumBytes;
		return isFull || !this.#strategy.admits(work, this.#getState()) ? this.#createOverloadRefusal(work) : undefined;
	}

	#createOverloadRefusal(work: ScheduledWork): Refusal {
		const wait = this.#strategy.getExpectedWait(work.rank, this.#getState());
		return {
			reason: RefusalReason.Overloaded,
			message: 'the expected wait is too long',
			retryAfterMilliseconds: Math.max(minimumRetryAfterMilliseconds, Math.ceil(wait)),
		};
	}

	#getState(): QueueState {
		const now = this.#options.timerService.now();
		let residual = 0;
		for (const {work, startedAt} of this.#running) {
			// A statement that exceeds its estimate by some time is expected to need as much time again. Thus the expected wait of
			// an instance that does not respond grows, and routers avoid it.
			residual += Math.abs(work.serviceMilliseconds - (now - startedAt));
		}

		return {
			now, slots: this.limit, runningCount: this.#running.size, residualMilliseconds: residual, waiting: this.#waitingSet,
		};
	}

	#dispatch(): void {
		while (this.#running.size < this.limit && this.#waiting.size > 0) {
			const {next, refused} = this.#strategy.choose(this.#getState());
			for (const work of refused) {
				this.#refuse(work, this.#createOverloadRefusal(work));
			}

			if (!next) {
				return;
			}

			this.#start(next);
		}
	}

	#start(work: ScheduledWork): void {
		const entry = this.#remove(work);
		const running: RunningWork = {work, startedAt: this.#options.timerService.now()};
		this.#running.add(running);
		entry?.resolve(ok({
			release: (isSample: boolean) => {
				this.#finish(running, isSample);
			},
		}));
	}

	#finish(running: RunningWork, isSample: boolean): void {
		const isSaturated = this.#running.size >= this.limit;
		if (!this.#running.delete(running)) {
			return;
		}

		const slotMilliseconds = this.#options.timerService.now() - running.startedAt;
		if (isSample) {
			this.#limit.addSample(slotMilliseconds, this.estimates.get(running.work).baseline, isSaturated);
			this.estimates.add(running.work, slotMilliseconds);
		}

		this.#strategy.onServed(running.work, slotMilliseconds, this.#getState());
		this.#dispatch();
	}

	#refuse(work: ScheduledWork, refusal: Refusal): void {
		this.#remove(work)?.resolve(err(refusal));
	}

	#remove(work: ScheduledWork): Entry | undefined {
		const entry = this.#waiting.get(work);
		if (entry) {
			this.#waiting.delete(work);
			this.#waitingSet.delete(work);
			this.#waitingBytes -= work.bytes;
			entry.timeout[Symbol.dispose]();
			entry.removeAbortListener();
		}

		return entry;
	}
}
