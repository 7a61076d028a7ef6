import {
	compareLogPositions, type GroupDefinition, type InstanceDefinition, type TimerService,
} from '@tarragonstack/core';
import {err, ok, type Result} from 'neverthrow';
import {
	type ControlError, ControlErrorKind, type ControlOptions, type ControlOutcome, type FollowOutcome,
	type InstanceControl, InstanceRole, type InstanceStatus,
} from '../../../src/index.js';

/** Entry of the replicated log. */
export type LogEntry = {
	readonly term: number;
	readonly identifier: string;
};

/** Promotion that an instance accepted. */
export type RecordedPromotion = {
	readonly instance: string;
	readonly term: number;
	/** Number of the event in the simulation. */
	readonly eventNumber: number;
	/** Identifiers of the entries in the log of the instance. */
	readonly entries: ReadonlySet<string>;
};

/** State of the network link between a host and an instance. */
export enum LinkState {
	Working = 'working',
	/** Messages are lost. */
	Partitioned = 'partitioned',
	/** The process of the instance is dead, so connection attempts are refused. */
	Refused = 'refused',
}

/** Durable and volatile state of a database instance. */
export class SimulatedInstance {
	readonly definition: InstanceDefinition;
	term = 0;
	promoter = '';
	/** Term at which the instance was last promoted; 0 if never. */
	primaryTerm = 0;
	log: LogEntry[] = [];
	following = '';
	lastReceivedAt = 0;
	alive = true;
	/** Whether the instance responds to no host but still replicates. */
	stalled = false;

	constructor(definition: InstanceDefinition) {
		this.definition = definition;
	}

	get role(): InstanceRole {
		return this.primaryTerm > 0 && this.primaryTerm === this.term ? InstanceRole.Primary : InstanceRole.Replica;
	}

	getStatus(now: number, observedAt: number): InstanceStatus {
		const last = this.log.at(-1);
		const term = last?.term ?? 0;
		return {
			instance: this.definition.name,
			role: this.role,
			term: this.term,
			promoter: this.promoter,
			position: {term, index: this.log.length},
			termStartIndex: this.log.findIndex(entry => entry.term === term),
			primarySilenceMilliseconds: this.role === InstanceRole.Primary ? 0 : now - this.lastReceivedAt,
			primaryAddress: this.following,
			slots: this.definition.slots,
			connectionLimit: this.definition.connectionLimit,
			observedAt,
		};
	}
}

/** Group of simulated instances. All operations are atomic, and the tests decide when they run. */
export class SimulatedGroup {
	readonly instances: readonly SimulatedInstance[];
	readonly promotions: RecordedPromotion[] = [];
	/** Pairs of names, as `source replica`, between which replication is blocked. */
	readonly blockedReplication = new Set<string>();
	eventCount = 0;
	readonly #timerService: TimerService;

	constructor(definition: GroupDefinition, timerService: TimerService) {
		this.#timerService = timerService;
		this.instances = definition.instances.map(instance => new SimulatedInstance(instance));
	}

	getInstance(name: string): SimulatedInstance {
		const instance = this.instances.find(({definition}) => definition.name === name);
		if (!instance) {
			throw new Error(`instance ${name} does not exist`);
		}

		return instance;
	}

	/** Makes the first instance the primary of term 1 and the others its replicas. */
	initialize(): void {
		const [first, ...others] = this.instances;
		if (!first) {
			return;
		}

		this.raise(first, 1, 'initial');
		this.promote(first, 1, 'initial');
		for (const other of others) {
			this.follow(other, first.definition.address, 1);
		}
	}

	raise(instance: SimulatedInstance, term: number, promoter: string): boolean {
		this.eventCount++;
		if (term <= instance.term) {
			return false;
		}

		instance.term = term;
		instance.promoter = promoter;
		return true;
	}

	promote(instance: SimulatedInstance, term: number, promoter: string): boolean {
		this.eventCount++;
		if (instance.term !== term || instance.promoter !== promoter) {
			return false;
		}

		if (instance.primaryTerm !== term) {
			instance.primaryTerm = term;
			instance.following = '';
			const entries = new Set(instance.log.map(entry => entry.identifier));
			this.promotions.push({
				instance: instance.definition.name, term, eventNumber: this.eventCount, entries,
			});
		}

		return true;
	}

	follow(instance: SimulatedInstance, address: string, term: number): {accepted: boolean; truncated: number} {
		this.eventCount++;
		if (term < instance.term || (instance.role === InstanceRole.Primary && instance.term === term)) {
			return {accepted: false, truncated: 0};
		}

		if (term > instance.term) {
			instance.term = term;
			instance.promoter = '';
		}

		instance.following = address;
		return {accepted: true, truncated: this.#truncate(instance)};
	}

	write(instance: SimulatedInstance, identifier: string): boolean {
		this.eventCount++;
		if (!instance.alive || instance.role !== InstanceRole.Primary) {
			return false;
		}

		instance.log.push({term: instance.term, identifier});
		return true;
	}

	/** Replicates up to the given number of entries to a replica. */
	replicate(replica: SimulatedInstance, entries: number): void {
		this.eventCount++;
		const source = this.#getSource(replica);
		if (!source) {
			return;
		}

		this.#truncate(replica);
		replica.lastReceivedAt = this.#timerService.now();
		replica.log.push(...source.log.slice(replica.log.length, replica.log.length + entries));
	}

	/** Returns the instance from which a replica receives entries if the replica can reach it and their terms allow it. */
	#getSource(replica: SimulatedInstance): SimulatedInstance | undefined {
		const source = this.instances.find(({definition}) => definition.address === replica.following);
		const isBlocked = source && this.blockedReplication.has(`${source.definition.name} ${replica.definition.name}`);
		return replica.alive && replica.role === InstanceRole.Replica && source?.alive && !isBlocked && source !== replica
			&& source.primaryTerm > 0 && source.primaryTerm >= replica.term
			? source
			: undefined;
	}

	/** Discards the entries that the source does not have and returns their number. */
	#truncate(instance: SimulatedInstance): number {
		const source = this.#getSource(instance);
		if (!source) {
			return 0;
		}

		const different = instance.log.findIndex((entry, index) => entry.identifier !== source.log[index]?.identifier);
		const kept = different === -1 ? instance.log.length : different;
		const truncated = instance.log.length - kept;
		instance.log = instance.log.slice(0, kept);
		return truncated;
	}
}

/** Operation that an instance executes when the message arrives. */
export type InstanceOperation<Value> = (instance: SimulatedInstance) => Value;

/** Transports operations from a host to the instances. */
export type SimulatedTransport = {
	call<Value>(
		host: string,
		instance: string,
		operation: InstanceOperation<Value>,
		options: ControlOptions,
	): Promise<Result<Value, ControlError>>;
};

/** Control connection on a simulated transport. */
export class SimulatedInstanceControl implements InstanceControl {
	readonly #group: SimulatedGroup;
	readonly #timerService: TimerService;
	readonly #call: <Value>(operation: InstanceOperation<Value>, options: ControlOptions) => Promise<Result<Value, ControlError>>;

	constructor(
		group: SimulatedGroup,
		timerService: TimerService,
		transport: SimulatedTransport,
		link: {readonly host: string; readonly instance: string},
	) {
		this.#group = group;
		this.#timerService = timerService;
		this.#call = (operation, options) => transport.call(link.host, link.instance, operation, options);
	}

	async status(options: ControlOptions): Promise<Result<InstanceStatus, ControlError>> {
		const observedAt = this.#timerService.now();
		return this.#call(instance => instance.getStatus(this.#timerService.now(), observedAt), options);
	}

	async raise(term: number, promoter: string, options: ControlOptions): Promise<Result<ControlOutcome, ControlError>> {
		return this.#run(instance => ({accepted: this.#group.raise(instance, term, promoter)}), options);
	}

	async promote(term: number, promoter: string, options: ControlOptions): Promise<Result<ControlOutcome, ControlError>> {
		return this.#run(instance => ({accepted: this.#group.promote(instance, term, promoter)}), options);
	}

	async follow(address: string, term: number, options: ControlOptions): Promise<Result<FollowOutcome, ControlError>> {
		return this.#run(instance => this.#group.follow(instance, address, term), options);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		// A simulated connection holds no resources.
	}

	async #run<Value extends {accepted: boolean}>(
		operation: InstanceOperation<Value>,
		options: ControlOptions,
	): Promise<Result<Value & {status: InstanceStatus}, ControlError>> {
		const observedAt = this.#timerService.now();
		return this.#call(instance => {
			const value = operation(instance);
			return {...value, status: instance.getStatus(this.#timerService.now(), observedAt)};
		}, options);
	}
}

/** Transport with a fixed delay and a state per link. */
export class TimedTransport implements SimulatedTransport {
	readonly oneWayMilliseconds = 1;
	/** Link states, by `host instance`; working by default. */
	readonly links = new Map<string, LinkState>();
	/** Probability that a message is lost. */
	lossProbability = 0;
	/** Number of received operations, by instance. */
	readonly arrivals = new Map<string, number>();
	readonly #group: SimulatedGroup;
	readonly #timerService: TimerService;
	readonly #random: () => number;
	#attempts = 0;

	constructor(group: SimulatedGroup, timerService: TimerService, random: () => number = () => 0.5) {
		this.#group = group;
		this.#timerService = timerService;
		this.#random = random;
	}

	async call<Value>(
		host: string,
		instanceName: string,
		operation: InstanceOperation<Value>,
		options: ControlOptions,
	): Promise<Result<Value, ControlError>> {
		const instance = this.#group.getInstance(instanceName);
		const getState = () => instance.alive ? this.links.get(`${host} ${instanceName}`) ?? LinkState.Working : LinkState.Refused;
		return new Promise(resolve => {
			const timeout = this.#timerService.schedule(options.timeoutMilliseconds, () => {
				resolve(err({kind: ControlErrorKind.TimedOut, message: 'no response', connectionAttempt: 0}));
			});
			this.#timerService.schedule(this.oneWayMilliseconds, () => {
				if (getState() === LinkState.Refused) {
					this.#attempts++;
					timeout[Symbol.dispose]();
					resolve(err({kind: ControlErrorKind.Refused, message: 'refused', connectionAttempt: this.#attempts}));
					return;
				}

				if (getState() === LinkState.Partitioned || instance.stalled || this.#random() < this.lossProbability) {
					return;
				}

				this.arrivals.set(instanceName, (this.arrivals.get(instanceName) ?? 0) + 1);
				const value = operation(instance);
				this.#timerService.schedule(this.oneWayMilliseconds, () => {
					if (getState() === LinkState.Working && this.#random() >= this.lossProbability) {
						timeout[Symbol.dispose]();
						resolve(ok(value));
					}
				});
			});
		});
	}
}

/** Compares the log positions of two instances for a descending sort. */
export function compareLogs(left: SimulatedInstance, right: SimulatedInstance): number {
	return compareLogPositions(right.getStatus(0, 0).position, left.getStatus(0, 0).position);
}
