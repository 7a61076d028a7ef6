import {
	type GroupDefinition, type InstanceDefinition, type Logger, MetricName, type Metrics, type TimerService,
} from '@tarragonstack/core';
import {InstanceRole, type InstanceStatus} from '../group-view.js';
import {type GroupMonitor} from './group-monitor.js';
import {type InstanceControl} from './instance-control.js';

/** Time limit of `follow`, in milliseconds. */
const followTimeoutMilliseconds = 1000;

/** Bounds of the exponential delay between `follow` requests to the same instance, in milliseconds. */
const minimumRetryMilliseconds = 200;
const maximumRetryMilliseconds = 5000;

/** Delay of a host per place in the promotion order, so that usually only one host sends `follow`, in milliseconds. */
const followStaggerMilliseconds = 500;

type MemberState = {
	readonly mismatchSince: number;
	retryMilliseconds: number;
	earliestAttemptAt: number;
};

/** Dependencies of the reconciler. */
export type FollowReconcilerOptions = {
	readonly timerService: TimerService;
	readonly monitor: GroupMonitor;
	readonly metrics: Metrics;
	readonly logger?: Logger;
	getControl(instance: string): InstanceControl | undefined;
};

/** Makes the members of a group follow the primary of the greatest term. */
export class FollowReconciler {
	readonly #options: FollowReconcilerOptions;
	readonly #states = new Map<string, MemberState>();

	/**
	 * @param options - Dependencies.
	 */
	constructor(options: FollowReconcilerOptions) {
		this.#options = options;
	}

	/**
	 * Sends `follow` to the members that do not follow the primary.
	 *
	 * @param group - Definition of the group.
	 * @param order - Place of this host in the promotion order.
	 */
	reconcile(group: GroupDefinition, order: number): void {
		const {monitor, timerService} = this.#options;
		const primary = monitor.getPrimary(group.name);
		const definition = group.instances.find(instance => instance.name === primary?.instance);
		if (!primary || !definition || monitor.getGreatestTerm(group) > primary.term) {
			return;
		}

		const now = timerService.now();
		for (const member of group.instances) {
			const status = monitor.getStatus(member.name);
			if (member === definition || !status || isFollowing(status, primary.term, definition.address)) {
				this.#states.delete(member.name);
				continue;
			}

			const state = this.#states.get(member.name)
				?? {
					mismatchSince: now,
					retryMilliseconds: minimumRetryMilliseconds,
					earliestAttemptAt: now + (order * followStaggerMilliseconds),
				};
			this.#states.set(member.name, state);
			if (now >= state.earliestAttemptAt) {
				state.earliestAttemptAt = now + state.retryMilliseconds;
				state.retryMilliseconds = Math.min(maximumRetryMilliseconds, state.retryMilliseconds * 2);
				void this.#follow(group, member, definition, primary.term);
			}
		}
	}

	/**
	 * Sends `follow` to all other members without delay after this host has promoted an instance.
	 *
	 * @param group - Definition of the group.
	 * @param primary - Name of the new primary.
	 * @param term - Term of the new primary.
	 */
	followNewPrimary(group: GroupDefinition, primary: string, term: number): void {
		const definition = group.instances.find(instance => instance.name === primary);
		for (const member of group.instances) {
			if (definition && member !== definition) {
				void this.#follow(group, member, definition, term);
			}
		}
	}

	async #follow(group: GroupDefinition, member: InstanceDefinition, primary: InstanceDefinition, term: number): Promise<void> {
		const {monitor, metrics, logger} = this.#options;
		const response = await this.#options.getControl(member.name)
			?.follow(primary.address, term, {timeoutMilliseconds: followTimeoutMilliseconds});
		if (!response) {
			return;
		}

		if (response.isErr()) {
			logger?.warn({group: group.name, instance: member.name, error: response.error.message}, 'follow failed');
			return;
		}

		monitor.recordStatus(group.name, response.value.status);
		if (response.value.truncated > 0) {
			metrics.increment(MetricName.LostEntries, response.value.truncated, {group: group.name, instance: member.name});
			logger?.warn({
				group: group.name,
				instance: member.name,
				primary: primary.name,
				term,
				truncated: response.value.truncated,
			}, 'log entries that the new primary does not have were discarded');
		}
	}
}

function isFollowing(status: InstanceStatus, term: number, address: string): boolean {
	return status.role === InstanceRole.Replica && status.term === term && status.primaryAddress === address;
}
