import {randomUUID} from 'node:crypto';
import {
	type GroupDefinition, type Logger, MetricName, type Metrics, type TimerService,
} from '@tarragonstack/core';
import {err, ok, type Result} from 'neverthrow';
import {type PrimaryView} from '../group-view.js';
import {FollowReconciler} from './follow-reconciler.js';
import {assessGroup, GroupCondition, type GroupObservations, hasCaughtUpReplica} from './group-condition.js';
import {type GroupMonitor} from './group-monitor.js';
import {type GroupOwnership} from './group-ownership.js';
import {type InstanceControlDirectory} from './instance-control-directory.js';
import {PromotionAttempt, PromotionError} from './promotion-attempt.js';

/** Interval between two assessments of the groups, in milliseconds. */
const assessmentIntervalMilliseconds = 25;

/** Delay of the event loop above which the observations of this host count as outdated, in milliseconds. */
const maximumEventLoopGapMilliseconds = 200;

/** Delay of a host per place in the promotion order, in milliseconds. */
const promotionStaggerMilliseconds = 150;

/** Bounds of the random delay after an attempt, in milliseconds. */
const minimumRetryMilliseconds = 100;
const maximumRetryMilliseconds = 400;

/**
 * Time after which a leaving primary is replaced even if no replica has caught up, in milliseconds. Leaves 1 s of the 3 s
 * that I7 allows.
 */
const switchoverTimeoutMilliseconds = 2000;

/**
 * Time for which a condition must last before this host acts, in milliseconds, in addition to its stagger delay.
 *
 * `PrimaryFailed` needs no delay beyond that of the failure detection. `NoPrimary` gives a promoter that has just raised
 * a majority the time to promote. `MinorityAhead` is repaired late, because the primary works and the repair interrupts
 * writes for two round trips.
 */
const conditionDelays: Readonly<Record<GroupCondition, number>> = {
	[GroupCondition.Healthy]: Number.POSITIVE_INFINITY,
	[GroupCondition.PrimaryFailed]: 0,
	[GroupCondition.NoPrimary]: 300,
	[GroupCondition.MinorityAhead]: 1000,
	[GroupCondition.PrimaryLeaving]: 0,
};

type GroupState = {
	condition: GroupCondition;
	conditionSince: number;
	earliestAttemptAt: number;
	attemptRunning: boolean;
};

/** Dependencies of the promoter. */
export type PromoterOptions = {
	readonly hostName: string;
	readonly timerService: TimerService;
	readonly monitor: GroupMonitor;
	readonly ownership: GroupOwnership;
	readonly controls: InstanceControlDirectory;
	readonly metrics: Metrics;
	readonly logger?: Logger;
	/** Returns a random number from 0 to 1 for the delay after an attempt. */
	readonly random?: () => number;
};

/** Promotes an instance in each group that has no working primary or whose primary is leaving. */
export class Promoter implements Disposable {
	readonly #options: PromoterOptions;
	readonly #reconciler: FollowReconciler;
	readonly #states = new Map<string, GroupState>();
	readonly #subscription: Disposable;
	/** Distinguishes this process from earlier ones with the same host name. */
	readonly #processIdentifier = randomUUID();
	#attempts = 0;
	#lastAssessmentAt: number;

	/**
	 * @param options - Dependencies.
	 */
	constructor(options: PromoterOptions) {
		this.#options = options;
		const {timerService, monitor, metrics, logger} = options;
		this.#lastAssessmentAt = timerService.now();
		this.#reconciler = new FollowReconciler({
			timerService, monitor, metrics, logger, getControl: instance => options.controls.getControl(instance),
		});
		this.#subscription = timerService.subscribe(assessmentIntervalMilliseconds, () => {
			this.#assessGroups();
		});
	}

	/**
	 * Promotes an instance on request of an operator. A working primary is replaced by a planned switchover.
	 *
	 * @param groupName - Name of the group.
	 * @param instance - Instance to promote; by default the best candidate.
	 * @returns The new primary.
	 */
	async promoteManually(groupName: string, instance?: string): Promise<Result<PrimaryView, PromotionError>> {
		const group = this.#options.monitor.monitoredGroups.find(({name}) => name === groupName);
		if (!group || (instance !== undefined && !group.instances.some(({name}) => name === instance))) {
			return err(PromotionError.UnknownGroup);
		}

		const state = this.#getState(group.name);
		if (state.attemptRunning) {
			return err(PromotionError.InProgress);
		}

		const condition = assessGroup(this.#getObservations(group));
		const failed = condition === GroupCondition.PrimaryFailed || condition === GroupCondition.NoPrimary;
		const result = await this.#promote(group, state, {planned: !failed, requested: instance});
		return result.andThen(primary => instance === undefined || primary.instance === instance
			? ok(primary)
			: err(PromotionError.CandidateBehind));
	}

	[Symbol.dispose](): void {
		this.#subscription[Symbol.dispose]();
	}

	#assessGroups(): void {
		const {timerService, monitor, ownership} = this.#options;
		const now = timerService.now();
		const gap = now - this.#lastAssessmentAt - assessmentIntervalMilliseconds;
		this.#lastAssessmentAt = now;
		if (gap > maximumEventLoopGapMilliseconds) {
			// Responses may be waiting unread in the sockets, so failed polls do not prove that an instance failed.
			monitor.resetFailureDetection();
			for (const state of this.#states.values()) {
				state.condition = GroupCondition.Healthy;
			}

			return;
		}

		for (const group of monitor.monitoredGroups) {
			const order = ownership.getPromotionOrder(group.name);
			if (order !== undefined) {
				this.#assessGroup(group, order, now);
				this.#reconciler.reconcile(group, order);
			}
		}
	}

	#assessGroup(group: GroupDefinition, order: number, now: number): void {
		const state = this.#getState(group.name);
		const observations = this.#getObservations(group);
		const condition = assessGroup(observations);
		if (condition !== state.condition) {
			state.condition = condition;
			state.conditionSince = now;
		}

		const due = state.conditionSince + conditionDelays[condition] + (order * promotionStaggerMilliseconds);
		if (state.attemptRunning || now < due || now < state.earliestAttemptAt) {
			return;
		}

		const leaving = condition === GroupCondition.PrimaryLeaving;
		if (leaving && now < state.conditionSince + switchoverTimeoutMilliseconds && !hasCaughtUpReplica(observations)) {
			return;
		}

		void this.#promote(group, state, {planned: leaving});
	}

	async #promote(
		group: GroupDefinition,
		state: GroupState,
		request: {readonly planned: boolean; readonly requested?: string},
	): Promise<Result<PrimaryView, PromotionError>> {
		const {timerService, monitor, controls, hostName, random} = this.#options;
		this.#attempts++;
		state.attemptRunning = true;
		const knownPrimary = monitor.getPrimary(group.name)?.instance;
		const startedAt = timerService.now();
		const term = monitor.getGreatestTerm(group) + 1;
		const attempt = new PromotionAttempt({
			timerService,
			group,
			term,
			promoter: `${hostName}/${this.#processIdentifier}/${this.#attempts}`,
			preferences: {
				requested: request.requested,
				currentPrimary: knownPrimary,
				replaceCurrentPrimary: request.planned,
			},
			switchoverFrom: request.planned && knownPrimary !== request.requested ? knownPrimary : undefined,
			getControl: instance => controls.getControl(instance),
			onStatus(status) {
				monitor.recordStatus(group.name, status);
			},
		});
		const result = await attempt.run();
		const now = timerService.now();
		state.attemptRunning = false;
		state.conditionSince = now;
		const retryDelay = minimumRetryMilliseconds
			+ ((random ?? Math.random)() * (maximumRetryMilliseconds - minimumRetryMilliseconds));
		state.earliestAttemptAt = now + retryDelay;
		return result.map(status => {
			this.#reconciler.followNewPrimary(group, status.instance, status.term);
			return {instance: status.instance, term: status.term};
		}).andTee(primary => {
			this.#reportPromotion(group.name, {...primary, previous: knownPrimary ?? '', milliseconds: now - startedAt});
		}).orTee(error => {
			this.#options.logger?.warn({group: group.name, term, error}, 'promotion did not succeed');
		});
	}

	#reportPromotion(group: string, details: {readonly instance: string; readonly term: number; readonly previous: string; readonly milliseconds: number}): void {
		this.#options.metrics.increment(MetricName.PromotionCount, 1, {group, instance: details.instance});
		this.#options.logger?.info({group, ...details}, 'instance promoted');
	}

	#getState(group: string): GroupState {
		const state = this.#states.get(group)
			?? {
				condition: GroupCondition.Healthy,
				conditionSince: this.#options.timerService.now(),
				earliestAttemptAt: 0,
				attemptRunning: false,
			};
		this.#states.set(group, state);
		return state;
	}

	#getObservations(group: GroupDefinition): GroupObservations {
		const {monitor, timerService} = this.#options;
		return {
			group,
			primary: monitor.getPrimary(group.name),
			greatestTerm: monitor.getGreatestTerm(group),
			now: timerService.now(),
			getStatus: instance => monitor.getStatus(instance),
			getReachability: instance => monitor.getReachability(instance),
		};
	}
}
