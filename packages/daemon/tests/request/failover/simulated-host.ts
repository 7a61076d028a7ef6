import {
	type Configuration, type GroupDefinition, type Metrics, type TimerService,
} from '@tarragonstack/core';
import {
	type ConfigurationSnapshot, type ConfigurationStore, GroupMonitor, type GroupOwnership, InstanceControlDirectory,
	MajorityTermConfirmation, Promoter,
} from '../../../src/index.js';
import {type SimulatedGroup, SimulatedInstanceControl, type SimulatedTransport} from './simulated-group.js';

/** Creates the definition of a group with the given number of instances, named `db-1`, `db-2`, and so on. */
export function createGroupDefinition(members: number): GroupDefinition {
	return {
		name: 'group-1',
		instances: Array.from({length: members}, (_, index) => ({
			name: `db-${index + 1}`,
			address: `127.0.1.${index + 1}:5432`,
			availabilityZone: 'a',
			slots: 3,
			connectionLimit: 20,
			leaving: false,
		})),
	};
}

function createStore(group: GroupDefinition, otherGroups: number): ConfigurationStore {
	const others = Array.from({length: otherGroups}, (_, index) => ({...group, name: `other-${index + 1}`, instances: group.instances.map(instance =>
		({...instance, name: `other-${index + 1}-${instance.name}`}))}));
	const configuration: Configuration = {
		version: 1, changeIdentifier: 'test', author: 'test', time: '2026-01-01T00:00:00Z', contracts: [], groups: [group, ...others],
	};
	const snapshot: ConfigurationSnapshot = {
		configuration,
		version: 1,
		getContract: () => undefined,
		getContractOfUser: () => undefined,
		getGroup: name => name === group.name ? group : undefined,
		getInstance(name) {
			const instance = group.instances.find(definition => definition.name === name);
			return instance && {group, instance};
		},
	};
	return {
		getCurrent: () => snapshot,
		subscribe: () => ({[Symbol.dispose]() {}}),
	};
}

/** Timer service of one host that can be paused. Callbacks that become due in the meantime run on resumption. */
export class PausableTimerService implements TimerService {
	paused = false;
	readonly #timerService: TimerService;
	readonly #deferred: Array<() => void> = [];

	constructor(timerService: TimerService) {
		this.#timerService = timerService;
	}

	now(): number {
		return this.#timerService.now();
	}

	async sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
		await this.#timerService.sleep(milliseconds, signal);
		await this.waitUntilResumed();
	}

	subscribe(intervalMilliseconds: number, callback: (now: number) => void): Disposable {
		return this.#timerService.subscribe(intervalMilliseconds, () => {
			this.#run(() => {
				callback(this.now());
			});
		});
	}

	schedule(delayMilliseconds: number, callback: () => void): Disposable {
		return this.#timerService.schedule(delayMilliseconds, () => {
			this.#run(callback);
		});
	}

	async waitUntilResumed(): Promise<void> {
		if (this.paused) {
			await new Promise<void>(resolve => {
				this.#deferred.push(resolve);
			});
		}
	}

	resume(): void {
		this.paused = false;
		for (const callback of this.#deferred.splice(0)) {
			callback();
		}
	}

	#run(callback: () => void): void {
		if (this.paused) {
			this.#deferred.push(callback);
		} else {
			callback();
		}
	}
}

/** Counts metrics by name. */
export class CountingMetrics implements Metrics {
	readonly counts = new Map<string, number>();

	increment(name: string, value: number): void {
		this.counts.set(name, (this.counts.get(name) ?? 0) + value);
	}

	histogram(): void {}

	gauge(): void {}
}

function createSimulatedControls(
	name: string,
	timerService: PausableTimerService,
	group: SimulatedGroup,
	transport: SimulatedTransport,
): InstanceControlDirectory {
	// Like timer callbacks, responses reach a paused host only when it resumes.
	const pausable: SimulatedTransport = {
		async call(host, instance, operation, options) {
			const result = await transport.call(host, instance, operation, options);
			await timerService.waitUntilResumed();
			return result;
		},
	};
	return new InstanceControlDirectory(instance =>
		new SimulatedInstanceControl(group, timerService, pausable, {host: name, instance: instance.name}));
}

/** Failover modules of one host on a simulated transport or on given control connections. */
export class SimulatedHost {
	readonly name: string;
	readonly timerService: PausableTimerService;
	readonly metrics = new CountingMetrics();
	readonly controls: InstanceControlDirectory;
	readonly monitor: GroupMonitor;
	readonly confirmation: MajorityTermConfirmation;
	readonly promoter: Promoter;

	constructor(options: {
		readonly name: string;
		readonly order: number;
		readonly timerService: TimerService;
		readonly definition: GroupDefinition;
		/** Control connections to the instances. */
		readonly controls: InstanceControlDirectory;
		readonly random?: () => number;
		/** Number of further groups in the configuration, in which this host owns no member. */
		readonly otherGroups?: number;
	} | {
		readonly name: string;
		readonly order: number;
		readonly timerService: TimerService;
		readonly definition: GroupDefinition;
		readonly group: SimulatedGroup;
		readonly transport: SimulatedTransport;
		readonly random?: () => number;
		/** Number of further groups in the configuration, in which this host owns no member. */
		readonly otherGroups?: number;
	}) {
		const {name, order, definition} = options;
		this.name = name;
		this.timerService = new PausableTimerService(options.timerService);
		const {timerService} = this;
		this.controls = 'controls' in options
			? options.controls
			: createSimulatedControls(name, timerService, options.group, options.transport);
		const ownership: GroupOwnership = {
			getPromotionOrder: () => order,
			getOwnedInstances: () => definition.instances.slice(0, 1).map(instance => instance.name),
			subscribe: () => ({[Symbol.dispose]() {}}),
		};
		const configuration = createStore(definition, options.otherGroups ?? 0);
		this.monitor = new GroupMonitor({
			timerService, configuration, ownership, controls: this.controls,
		});
		this.confirmation = new MajorityTermConfirmation({
			timerService,
			configuration,
			controls: this.controls,
			onStatus: (groupName, status) => {
				this.monitor.recordStatus(groupName, status);
			},
		});
		this.promoter = new Promoter({
			hostName: name,
			timerService,
			monitor: this.monitor,
			ownership,
			controls: this.controls,
			metrics: this.metrics,
			random: options.random ?? (() => 0.5),
		});
	}

	/** Stops the host like a crash: it sends nothing more. */
	async stop(): Promise<void> {
		this.promoter[Symbol.dispose]();
		this.confirmation[Symbol.dispose]();
		await this.monitor[Symbol.asyncDispose]();
		await this.controls[Symbol.asyncDispose]();
	}
}
