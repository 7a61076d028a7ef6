import {callJson} from './json-client.js';

/** Selects endpoints of connections: a process, all processes of a zone, or every process if empty. */
export type NetworkSelector = {
	readonly name?: string;
	readonly zone?: string;
};

/** Rule that the relay applies to connections from a source to a destination. */
export type NetworkRule = {
	readonly source: NetworkSelector;
	readonly destination: NetworkSelector;
	readonly delayMilliseconds?: number;
	readonly partition?: boolean;
	readonly bothWays?: boolean;
	readonly resetAfterResponseBytes?: number;
};

/** Payload traffic from one process to another. */
export type NetworkFlow = {
	readonly from: string;
	readonly to: string;
	readonly bytes: number;
	/** Number of reads by the relay, which approximates the number of messages under light traffic. */
	readonly chunks: number;
};

/** Zone of the key-value service and the membership list. */
export const platformZone = 'platform';

/** Zone of the callers. */
export const clientZone = 'clients';

/** Client of the HTTP control interface of a fleet's network relay. */
export class NetworkControl {
	readonly #url: string;
	readonly #availabilityZones: readonly string[];
	readonly #faults = new Set<string>();

	/**
	 * @param address - IP address and port of the relay's control interface.
	 * @param availabilityZones - Zones of the fleet.
	 */
	constructor(address: string, availabilityZones: readonly string[]) {
		this.#url = `http://${address}`;
		this.#availabilityZones = availabilityZones;
	}

	/**
	 * Registers a destination of connections.
	 *
	 * @param endpoint - Name, zone and address of the process; `service` distinguishes several ports of a process.
	 * @returns The address at which the relay accepts connections to the destination.
	 */
	async addDestination(endpoint: {readonly name: string; readonly zone: string; readonly address: string; readonly service?: string}): Promise<string> {
		const reply = await callJson('POST', `${this.#url}/destinations`, endpoint);
		return reply.address as string;
	}

	/**
	 * Registers a source of connections.
	 *
	 * @param endpoint - Name, zone and IP address of the process.
	 */
	async addSource(endpoint: {readonly name: string; readonly zone: string; readonly address: string}): Promise<void> {
		await callJson('POST', `${this.#url}/sources`, endpoint);
	}

	/**
	 * Sets the delay between two zones.
	 *
	 * @param zone - First zone.
	 * @param otherZone - Second zone.
	 * @param delayMilliseconds - One-way delay.
	 */
	async setDelay(zone: string, otherZone: string, delayMilliseconds: number): Promise<void> {
		await callJson('POST', `${this.#url}/rules`, {
			source: {zone}, destination: {zone: otherZone}, delayMilliseconds, bothWays: true,
		});
	}

	/**
	 * Adds a rule, which applies until the returned object is disposed of.
	 *
	 * @param rule - Rule.
	 */
	async inject(rule: NetworkRule): Promise<AsyncDisposable> {
		return this.#injectAll([rule]);
	}

	/**
	 * Blocks the traffic between two sets of endpoints in both directions until the returned object is disposed of.
	 *
	 * @param source - First set of endpoints.
	 * @param destination - Second set of endpoints.
	 */
	async partition(source: NetworkSelector, destination: NetworkSelector): Promise<AsyncDisposable> {
		return this.inject({
			source, destination, partition: true, bothWays: true,
		});
	}

	/**
	 * Partitions a zone from the other zones, the key-value service and the membership list until the returned object is
	 * disposed of. Callers still reach the hosts of the zone.
	 *
	 * @param zone - Zone.
	 */
	async partitionZone(zone: string): Promise<AsyncDisposable> {
		const others = [...this.#availabilityZones.filter(other => other !== zone), platformZone];
		return this.#injectAll(others.map(other => ({
			source: {zone}, destination: {zone: other}, partition: true, bothWays: true,
		})));
	}

	/**
	 * Partitions a process from all other processes until the returned object is disposed of.
	 *
	 * @param name - Name of the process.
	 */
	async isolate(name: string): Promise<AsyncDisposable> {
		return this.partition({name}, {});
	}

	/**
	 * Resets the open connections between two sets of endpoints.
	 *
	 * @param source - Endpoints that opened the connections.
	 * @param destination - Endpoints that accepted the connections.
	 * @returns The number of connections that were reset.
	 */
	async reset(source: NetworkSelector, destination: NetworkSelector): Promise<number> {
		const reply = await callJson('POST', `${this.#url}/reset`, {source, destination});
		return reply.reset as number;
	}

	/** Returns the traffic between each pair of processes since the relay started. */
	async getTraffic(): Promise<NetworkFlow[]> {
		const reply = await callJson('GET', `${this.#url}/traffic`);
		return reply.flows as NetworkFlow[];
	}

	/** Removes all injected faults. The delays between zones remain. */
	async removeFaults(): Promise<void> {
		await this.#removeRules([...this.#faults]);
	}

	async #injectAll(rules: readonly NetworkRule[]): Promise<AsyncDisposable> {
		const identifiers: string[] = [];
		for (const rule of rules) {
			const reply = await callJson('POST', `${this.#url}/rules`, rule);
			identifiers.push(...reply.identifiers as string[]);
		}

		for (const identifier of identifiers) {
			this.#faults.add(identifier);
		}

		return {
			[Symbol.asyncDispose]: async () => {
				await this.#removeRules(identifiers);
			},
		};
	}

	async #removeRules(identifiers: readonly string[]): Promise<void> {
		const activeIdentifiers = identifiers.filter(identifier => this.#faults.delete(identifier));
		if (activeIdentifiers.length > 0) {
			await callJson('DELETE', `${this.#url}/rules/${activeIdentifiers.join(',')}`);
		}
	}
}
