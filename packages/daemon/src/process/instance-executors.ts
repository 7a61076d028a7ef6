import {
	RefusalReason, type Logger, type Metrics, type Refusal, type ResponseSink, type TimerService, type UpstreamRequest, type UpstreamResult,
} from '@tarragonstack/core';
import {type GroupView} from '../request/group-view.js';
import {type InstanceExecutor} from '../request/instance-executor.js';
import {type SchedulingPolicy} from '../request/scheduling/scheduling-policy.js';
import {type ConnectionPool} from '../request/scheduling/statement-connection.js';
import {type TermConfirmation} from '../request/term-confirmation.js';
import {type ConfigurationStore, type InstanceInGroup} from '../version/configuration-store.js';
import {createNotRunResult} from './instance-scheduler-results.js';
import {InstanceScheduler} from './instance-scheduler.js';
import {type OwnershipTable} from './ownership-table.js';

/** Time that running and queued requests get to finish when the ownership of an instance ends, in milliseconds. */
const ownershipGraceMilliseconds = 2000;

/** Time that open transactions get to finish when the ownership ends or the host stops, in milliseconds. */
const transactionGraceMilliseconds = 10_000;

/** Options of `InstanceExecutors`. */
export type InstanceExecutorsOptions = {
	readonly ownershipTable: Pick<OwnershipTable, 'getOwnedInstances' | 'subscribe'>;
	readonly configurationStore: Pick<ConfigurationStore, 'getCurrent' | 'subscribe'>;
	readonly groupView: GroupView;
	readonly termConfirmation: TermConfirmation;
	readonly timerService: TimerService;
	readonly policy: SchedulingPolicy;
	/** Creates the connection pool of an instance. */
	readonly createPool: (definition: InstanceInGroup) => ConnectionPool;
	/** Queries the status of an instance and updates the group view. */
	readonly refreshStatus?: (definition: InstanceInGroup) => Promise<void>;
	readonly logger?: Logger;
	readonly metrics?: Metrics;
	readonly extraStatements?: number;
};

/** Runs requests on the owned instances, with one scheduler per instance. */
export class InstanceExecutors implements InstanceExecutor, AsyncDisposable {
	readonly #options: InstanceExecutorsOptions;
	readonly #schedulers = new Map<string, InstanceScheduler>();
	/** Schedulers of instances that are no longer owned, until their requests and transactions have ended. */
	readonly #retired = new Set<InstanceScheduler>();
	/** Retired schedulers by instance that are used again if the ownership returns before their disposal. */
	readonly #reusable = new Map<string, InstanceScheduler>();
	readonly #retirements = new Set<Promise<void>>();
	readonly #subscriptions: readonly Disposable[];
	#isStopping = false;

	constructor(options: InstanceExecutorsOptions) {
		this.#options = options;
		const update = () => {
			this.#update();
		};

		this.#subscriptions = [options.ownershipTable.subscribe(update), options.configurationStore.subscribe(update)];
		this.#update();
	}

	/** @inheritdoc */
	async submit(request: UpstreamRequest, sink: ResponseSink, signal: AbortSignal): Promise<UpstreamResult> {
		const {transactionIdentifier} = request;
		const transactionScheduler = transactionIdentifier !== undefined && !request.beginsTransaction
			? this.#getAllSchedulers().find(scheduler => scheduler.holdsTransaction(transactionIdentifier))
			: undefined;
		const scheduler = transactionScheduler ?? this.#schedulers.get(request.upstream);
		if (!scheduler) {
			return createNotRunResult({reason: RefusalReason.NotOwner, message: 'the host does not own the instance'});
		}

		return scheduler.submit(request, sink, signal);
	}

	/** @inheritdoc */
	cancel(requestIdentifier: string): void {
		for (const scheduler of this.#getAllSchedulers()) {
			scheduler.cancel(requestIdentifier);
		}
	}

	/** @inheritdoc */
	abandonTransaction(transactionIdentifier: string): void {
		for (const scheduler of this.#getAllSchedulers()) {
			scheduler.abandonTransaction(transactionIdentifier);
		}
	}

	/** Refuses new requests, and waits for accepted requests and open transactions until their grace period is over. */
	async drain(): Promise<void> {
		this.#isStopping = true;
		const refusal: Refusal = {reason: RefusalReason.Stopping, message: 'the host is stopping'};
		await Promise.all([
			...this.#retirements,
			...[...this.#schedulers.values()].map(async scheduler => {
				scheduler.setRefusal(refusal);
				await scheduler.waitUntilIdle(transactionGraceMilliseconds);
			}),
		]);
	}

	/** Closes all schedulers. */
	async [Symbol.asyncDispose](): Promise<void> {
		this.#isStopping = true;
		for (const subscription of this.#subscriptions) {
			subscription[Symbol.dispose]();
		}

		const schedulers = this.#getAllSchedulers();
		this.#schedulers.clear();
		await Promise.all(schedulers.map(scheduler => scheduler[Symbol.asyncDispose]()));
	}

	#getAllSchedulers(): InstanceScheduler[] {
		return [...this.#schedulers.values(), ...this.#retired];
	}

	#update(): void {
		const snapshot = this.#options.configurationStore.getCurrent();
		if (this.#isStopping || !snapshot) {
			return;
		}

		const owned = new Set(this.#options.ownershipTable.getOwnedInstances());
		for (const [instance, scheduler] of this.#schedulers) {
			if (!owned.has(instance) || !snapshot.getInstance(instance)) {
				this.#schedulers.delete(instance);
				this.#retire(instance, scheduler);
			}
		}

		for (const instance of owned) {
			const definition = snapshot.getInstance(instance);
			if (definition) {
				this.#updateInstance(definition);
			}
		}
	}

	#updateInstance(definition: InstanceInGroup): void {
		const {instance, group} = definition;
		// A retired scheduler is reused because two schedulers for one instance would together exceed its slots.
		let scheduler = this.#schedulers.get(instance.name) ?? this.#reuse(instance.name);
		if (!scheduler) {
			const {policy, timerService, groupView, termConfirmation, logger, metrics, extraStatements, refreshStatus} = this.#options;
			scheduler = new InstanceScheduler({
				instance: instance.name,
				group: group.name,
				slots: instance.slots,
				connectionLimit: instance.connectionLimit,
				policy,
				timerService,
				groupView,
				termConfirmation,
				pool: this.#options.createPool(definition),
				...(logger && {logger}),
				...(refreshStatus && {refreshStatus: async () => refreshStatus(definition)}),
				...(metrics && {metrics}),
				...(extraStatements !== undefined && {extraStatements}),
			});
			this.#schedulers.set(instance.name, scheduler);
		}

		// A leaving instance accepts requests only if all instances of its group are leaving.
		const hasOther = group.instances.some(other => !other.leaving);
		scheduler.setRefusal(instance.leaving && hasOther
			? {reason: RefusalReason.NoUpstream, message: 'the instance is leaving'}
			: undefined);
	}

	#reuse(instance: string): InstanceScheduler | undefined {
		const scheduler = this.#reusable.get(instance);
		if (scheduler) {
			this.#reusable.delete(instance);
			this.#retired.delete(scheduler);
			this.#schedulers.set(instance, scheduler);
		}

		return scheduler;
	}

	#retire(instance: string, scheduler: InstanceScheduler): void {
		scheduler.setRefusal({reason: RefusalReason.NotOwner, message: 'the host no longer owns the instance'});
		this.#retired.add(scheduler);
		this.#reusable.set(instance, scheduler);
		const retirement = (async () => {
			const grace = scheduler.transactionCount > 0 ? transactionGraceMilliseconds : ownershipGraceMilliseconds;
			await scheduler.waitUntilIdle(grace);
			if (this.#reusable.get(instance) === scheduler) {
				this.#reusable.delete(instance);
				await scheduler[Symbol.asyncDispose]();
				this.#retired.delete(scheduler);
			}
		})();
		this.#retirements.add(retirement);
		void retirement.finally(() => {
			this.#retirements.delete(retirement);
		});
	}
}
