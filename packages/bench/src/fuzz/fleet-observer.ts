import {EtcdKeyValueService, SystemTimerService, configurationKey, type Configuration} from '@tarragonstack/core';
import {callJson, type Fleet, type FleetInstance} from '../fleet/index.js';
import {type InstanceDump} from './history.js';

/** Time limit of one look at a process, which may be paused. */
const fetchTimeoutMilliseconds = 500;
const adminPort = 8080;
const pollIntervalMilliseconds = 50;
const keyValueTimeoutMilliseconds = 2000;

const timerService = new SystemTimerService();

/** Status of an instance from its HTTP control. */
export type InstanceState = {
	readonly name: string;
	readonly role: string;
	readonly term: number;
	readonly position: {readonly term: number; readonly index: number};
	readonly truncatedEntries: number;
	readonly statements: {readonly primaryReads: number; readonly replicaReads: number; readonly writes: number};
};

/** What a host tells about itself. */
export type HostStatus = {
	readonly configuration?: {readonly version: number; readonly changeIdentifier: string};
	readonly groups?: ReadonlyArray<{
		readonly name: string;
		readonly primary?: string;
		readonly term?: number;
		readonly instances: ReadonlyArray<{readonly name: string; readonly owner?: string}>;
	}>;
};

async function fetchJson<Value>(url: string): Promise<Value | undefined> {
	try {
		const response = await fetch(url, {signal: AbortSignal.timeout(fetchTimeoutMilliseconds)});
		return await response.json() as Value;
	} catch {
		return undefined;
	}
}

/** Looks at the processes of a fleet past the relay. A process that does not answer has no state. */
export class FleetObserver {
	/** @param fleet - Fleet. */
	constructor(readonly fleet: Fleet) {}

	/**
	 * Returns the instances of a group.
	 *
	 * @param group - Group.
	 */
	getInstances(group: string): FleetInstance[] {
		return this.fleet.instances.filter(instance => instance.group === group);
	}

	/**
	 * Returns the state of an instance.
	 *
	 * @param name - Name of the instance.
	 */
	async getInstanceState(name: string): Promise<InstanceState | undefined> {
		const managed = this.fleet.getProcessOrThrow(name);
		return managed.isRunning ? fetchJson<InstanceState>(`http://${managed.ready.addresses.control}/status`) : undefined;
	}

	/**
	 * Returns the states of the instances of a group that answer.
	 *
	 * @param group - Group.
	 */
	async getGroupStates(group: string): Promise<InstanceState[]> {
		const states = await Promise.all(this.getInstances(group).map(async ({name}) => this.getInstanceState(name)));
		return states.filter(state => state !== undefined);
	}

	/**
	 * Returns the primary of the newest term.
	 *
	 * @param group - Group.
	 */
	async getPrimary(group: string): Promise<FleetInstance | undefined> {
		const states = await this.getGroupStates(group);
		const newest = states.filter(({role}) => role === 'primary').toSorted((first, second) => second.term - first.term)[0];
		return newest && this.fleet.getInstanceOrThrow(newest.name);
	}

	/**
	 * Returns the status of a host.
	 *
	 * @param host - Name of the host.
	 */
	async getHostStatus(host: string): Promise<HostStatus | undefined> {
		return this.fleet.getProcessOrThrow(host).isRunning
			? fetchJson<HostStatus>(`${this.getAdminUrl(host)}/status`)
			: undefined;
	}

	/**
	 * Returns the base URL of a host's admin port.
	 *
	 * @param host - Name of the host.
	 */
	getAdminUrl(host: string): string {
		return `http://${this.fleet.getHostOrThrow(host).address}:${adminPort}`;
	}

	/**
	 * Returns the owner of an instance as the first host that answers sees it.
	 *
	 * @param instance - Name of the instance.
	 */
	async getOwner(instance: string): Promise<string | undefined> {
		const {group} = this.fleet.getInstanceOrThrow(instance);
		for (const {name} of this.fleet.hosts) {
			const status = await this.getHostStatus(name);
			const owner = status?.groups?.find(candidate => candidate.name === group)?.instances.find(candidate => candidate.name === instance)?.owner;
			if (owner !== undefined) {
				return owner;
			}
		}

		return undefined;
	}

	/**
	 * Returns the tables and the log of an instance.
	 *
	 * @param name - Name of the instance.
	 */
	async dump(name: string): Promise<InstanceDump> {
		return await this.fleet.dumpInstance(name) as InstanceDump;
	}

	/**
	 * Waits until a condition holds.
	 *
	 * @param condition - Condition.
	 * @param timeoutMilliseconds - Greatest time to wait.
	 * @returns Whether it holds.
	 */
	async waitFor(condition: () => Promise<boolean>, timeoutMilliseconds: number): Promise<boolean> {
		const deadline = timerService.now() + timeoutMilliseconds;
		while (!await condition()) {
			if (timerService.now() > deadline) {
				return false;
			}

			await timerService.sleep(pollIntervalMilliseconds);
		}

		return true;
	}

	/**
	 * Waits until all instances of a group have the term and the position of one primary, twice in a row.
	 *
	 * @param group - Group.
	 * @param timeoutMilliseconds - Greatest time to wait.
	 * @returns The primary, or a description of what is missing.
	 */
	async waitUntilReplicated(group: string, timeoutMilliseconds: number): Promise<{readonly primary?: FleetInstance; readonly problem: string}> {
		let previous = '';
		let current = '';
		const settled = await this.waitFor(async () => {
			const states = await this.getGroupStates(group);
			const summary = states.map(({name, role, term, position}) => `${name} ${role} ${term} ${position.term}:${position.index}`);
			current = summary.join(', ');
			const positions = new Set(states.map(({term, position}) => `${term} ${position.term}:${position.index}`));
			const isSettled = states.length === this.getInstances(group).length && positions.size === 1
				&& states.filter(({role}) => role === 'primary').length === 1;
			const isStable = isSettled && current === previous;
			previous = current;
			return isStable;
		}, timeoutMilliseconds);
		const primary = settled ? await this.getPrimary(group) : undefined;
		return {...(primary && {primary}), problem: settled ? '' : `${group} did not settle: ${current}`};
	}

	/**
	 * Replaces the configuration by a compare-and-swap. A lost reply is resolved by the change identifier.
	 *
	 * @param changeIdentifier - Identifier of the change.
	 * @param change - Computes the new content.
	 * @returns The accepted version, or nothing when the change lost against another one or the service is down.
	 */
	async changeConfiguration(changeIdentifier: string, change: (current: Configuration) => Partial<Configuration>): Promise<number | undefined> {
		await using service = new EtcdKeyValueService({url: this.fleet.keyValueUrl});
		const read = await service.get(configurationKey, keyValueTimeoutMilliseconds);
		const entry = read.unwrapOr(undefined);
		if (!entry) {
			return undefined;
		}

		const current = JSON.parse(entry.value) as Configuration;
		const next: Configuration = {
			...current, ...change(current), version: current.version + 1, changeIdentifier, time: new Date().toISOString(),
		};
		const outcome = await service.compareAndSwap(configurationKey, entry.revision, JSON.stringify(next), keyValueTimeoutMilliseconds);
		if (outcome.isOk()) {
			return outcome.value.swapped ? next.version : undefined;
		}

		const reread = await service.get(configurationKey, keyValueTimeoutMilliseconds);
		const after = reread.unwrapOr(undefined);
		const stored = after && JSON.parse(after.value) as Configuration;
		return stored?.changeIdentifier === changeIdentifier ? next.version : undefined;
	}

	/**
	 * Orders a promotion at a host, as an operator does.
	 *
	 * @param host - Host.
	 * @param group - Group.
	 * @param instance - Instance to promote; without it the host chooses.
	 */
	async promote(host: string, group: string, instance?: string): Promise<boolean> {
		try {
			const reply = await callJson('POST', `${this.getAdminUrl(host)}/promote`, {group, ...(instance !== undefined && {instance})});
			return reply.promoted === true;
		} catch {
			return false;
		}
	}
}
