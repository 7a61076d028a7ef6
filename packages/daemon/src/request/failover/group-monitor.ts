import {type GroupDefinition, type TimerService} from '@tarragonstack/core';
import {type ConfigurationStore} from '../../version/index.js';
import {
	type GroupView, InstanceRole, type InstanceStatus, type PrimaryView,
} from '../group-view.js';
import {type GroupOwnership} from './group-ownership.js';
import {InstanceReachability} from './instance-reachability.js';
import {type InstanceControlDirectory} from './instance-control-directory.js';
import {
	getStatusPollIntervalMilliseconds, minimumStatusPollIntervalMilliseconds,
} from './status-poll-interval.js';

/** Time limit of a status poll, in milliseconds. */
const statusPollTimeoutMilliseconds = 500;

/**
 * Time for which the control connections to a group stay open after this host no longer owns a member, in milliseconds.
 * Running writes and transactions still need confirmations of the term; open transactions have up to 10 s to finish.
 */
const controlRetentionMilliseconds = 12_000;

/** Dependencies of the group monitor. */
export type GroupMonitorOptions = {
	readonly timerService: TimerService;
	readonly configuration: ConfigurationStore;
	readonly ownership: GroupOwnership;
	readonly controls: InstanceControlDirectory;
};

/** Polls the members of the groups in which this host owns an instance, and keeps track of the primary of every group. */
export class GroupMonitor implements GroupView, AsyncDisposable {
	readonly #options: GroupMonitorOptions;
	readonly #statuses = new Map<string, InstanceStatus>();
	readonly #primaries = new Map<string, PrimaryView>();
	readonly #reachabilities = new Map<string, InstanceReachability>();
	readonly #polls = new Map<string, Disposable>();
	/** Expiry timers of the control connections to instances that are no longer polled. */
	readonly #retainedControls = new Map<string, Disposable>();
	readonly #listeners = new Set<(group: string, primary: PrimaryView) => void>();
	readonly #subscriptions: Disposable[];
	#monitoredGroups: readonly GroupDefinition[] = [];
	#intervalMilliseconds = minimumStatusPollIntervalMilliseconds;

	/**
	 * @param options - Dependencies.
	 */
	constructor(options: GroupMonitorOptions) {
		this.#options = options;
		const refresh = () => {
			this.#refresh();
		};

		this.#subscriptions = [options.configuration.subscribe(refresh), options.ownership.subscribe(refresh)];
		this.#refresh();
	}

	/** Groups in which this host owns an instance. */
	get monitoredGroups(): readonly GroupDefinition[] {
		return this.#monitoredGroups;
	}

	/** @inheritdoc */
	getPrimary(group: string): PrimaryView | undefined {
		return this.#primaries.get(group);
	}

	/** @inheritdoc */
	getStatus(instance: string): InstanceStatus | undefined {
		return this.#statuses.get(instance);
	}

	/** @inheritdoc */
	learnPrimary(group: string, primary: PrimaryView): void {
		const known = this.#primaries.get(group);
		if (known && known.term >= primary.term) {
			return;
		}

		this.#primaries.set(group, primary);
		for (const listener of this.#listeners) {
			listener(group, primary);
		}
	}

	/** @inheritdoc */
	subscribe(listener: (group: string, primary: PrimaryView) => void): Disposable {
		this.#listeners.add(listener);
		return {
			[Symbol.dispose]: () => {
				this.#listeners.delete(listener);
			},
		};
	}

	/**
	 * Returns the greatest term that a member of a group reported or that a peer announced.
	 *
	 * @param group - Definition of the group.
	 */
	getGreatestTerm(group: GroupDefinition): number {
		const terms = group.instances.map(instance => this.#statuses.get(instance.name)?.term ?? 0);
		return Math.max(this.#primaries.get(group.name)?.term ?? 0, ...terms);
	}

	/**
	 * Returns the reachability of a polled instance.
	 *
	 * @param instance - Name of the instance.
	 */
	getReachability(instance: string): InstanceReachability | undefined {
		return this.#reachabilities.get(instance);
	}

	/** Discards all failed polls, for use after this process was paused, since the pause itself may have caused them. */
	resetFailureDetection(): void {
		for (const reachability of this.#reachabilities.values()) {
			reachability.reset();
		}
	}

	/**
	 * Records a status from a poll, a confirmation or a promotion unless it is older than the known one. The term of an
	 * instance only grows, so a smaller term is older; equal terms are ordered by the time of the request.
	 *
	 * @param group - Name of the group.
	 * @param status - Status that the instance reported.
	 */
	recordStatus(group: string, status: InstanceStatus): void {
		const known = this.#statuses.get(status.instance);
		if (known && (known.term > status.term || (known.term === status.term && known.observedAt > status.observedAt))) {
			return;
		}

		this.#statuses.set(status.instance, status);
		if (status.role === InstanceRole.Primary) {
			this.learnPrimary(group, {instance: status.instance, term: status.term});
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		for (const subscription of this.#subscriptions) {
			subscription[Symbol.dispose]();
		}

		for (const poll of this.#polls.values()) {
			poll[Symbol.dispose]();
		}

		for (const retention of this.#retainedControls.values()) {
			retention[Symbol.dispose]();
		}

		this.#polls.clear();
		this.#retainedControls.clear();
		this.#reachabilities.clear();
		this.#listeners.clear();
	}

	#refresh(): void {
		const {configuration, ownership, controls} = this.#options;
		const groups = configuration.getCurrent()?.configuration.groups ?? [];
		const owned = new Set(ownership.getOwnedInstances());
		this.#monitoredGroups = groups.filter(group => group.instances.some(instance => owned.has(instance.name)));
		const members = new Map(this.#monitoredGroups.flatMap(group =>
			group.instances.map(instance => [instance.name, {group: group.name, instance}] as const)));
		let configuredInstances = 0;
		for (const group of groups) {
			configuredInstances += group.instances.length;
		}

		this.#intervalMilliseconds = getStatusPollIntervalMilliseconds(members.size, configuredInstances);
		const definitions = groups.flatMap(group => group.instances);
		this.#retain([...this.#polls.keys()].filter(name => !members.has(name)), members);
		controls.update(definitions.filter(({name}) => members.has(name) || this.#retainedControls.has(name)));
		for (const [name, poll] of this.#polls) {
			if (!members.has(name)) {
				poll[Symbol.dispose]();
				this.#polls.delete(name);
				this.#reachabilities.delete(name);
				this.#statuses.delete(name);
			}
		}

		this.#pollNewMembers(members);
	}

	#pollNewMembers(members: ReadonlyMap<string, {readonly group: string}>): void {
		for (const [name, member] of members) {
			if (!this.#polls.has(name)) {
				this.#reachabilities.set(name, new InstanceReachability());
				this.#poll(member.group, name);
			}
		}
	}

	#retain(removed: readonly string[], members: ReadonlyMap<string, unknown>): void {
		for (const name of members.keys()) {
			this.#retainedControls.get(name)?.[Symbol.dispose]();
			this.#retainedControls.delete(name);
		}

		for (const name of removed) {
			this.#retainedControls.set(name, this.#options.timerService.schedule(controlRetentionMilliseconds, () => {
				this.#retainedControls.delete(name);
				this.#refresh();
			}));
		}
	}

	#poll(group: string, instance: string): void {
		const reachability = this.#reachabilities.get(instance);
		if (!reachability) {
			return;
		}

		this.#polls.get(instance)?.[Symbol.dispose]();
		void this.#requestStatus(group, instance, reachability);
		// While polls of a member fail, the minimum interval makes the detection time independent of the size of the fleet.
		const interval = this.#isFailing(group) ? minimumStatusPollIntervalMilliseconds : this.#intervalMilliseconds;
		this.#polls.set(instance, this.#options.timerService.schedule(interval, () => {
			this.#poll(group, instance);
		}));
	}

	#getMembers(group: string): string[] {
		const definition = this.#monitoredGroups.find(({name}) => name === group);
		return definition?.instances.map(({name}) => name) ?? [];
	}

	#isFailing(group: string): boolean {
		return this.#getMembers(group).some(instance => this.#reachabilities.get(instance)?.failing);
	}

	async #requestStatus(group: string, instance: string, reachability: InstanceReachability): Promise<void> {
		const control = this.#options.controls.getControl(instance);
		if (!control) {
			return;
		}

		reachability.recordRequest(this.#options.timerService.now());
		const response = await control.status({timeoutMilliseconds: statusPollTimeoutMilliseconds});
		if (this.#reachabilities.get(instance) !== reachability) {
			return;
		}

		if (response.isOk()) {
			reachability.recordResponse();
			this.recordStatus(group, response.value);
			return;
		}

		const wasFailing = this.#isFailing(group);
		reachability.recordFailure(response.error);
		if (!wasFailing && this.#isFailing(group)) {
			// At the target size, the last statuses are seconds old, but the assessment needs current ones of the replicas.
			for (const member of this.#getMembers(group)) {
				this.#poll(group, member);
			}
		}
	}
}
