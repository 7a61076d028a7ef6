import {callJson} from './json-client.js';

/** One end of connections: a process, a zone, or everything when empty. */
export type NetworkSelector = {
	readonly name?: string;
	readonly zone?: string;
};

/** Effect of a rule. */
export type NetworkRule = {
	readonly source: NetworkSelector;
	readonly destination: NetworkSelector;
	readonly delayMilliseconds?: number;
	readonly partition?: boolean;
	readonly bothWays?: boolean;
	readonly resetAfterResponseBytes?: number;
};

/** Payload that one process sent to another one. */
export type NetworkFlow = {
	readonly from: string;
	readonly to: string;
	readonly bytes: number;
	/** Reads of the relay, about the number of messages while there is little traffic. */
	readonly chunks: number;
};

/** Zone of the key-value service and the membership list. */
export const platformZone = 'platform';

/** Zone of the callers. */
export const clientZone = 'clients';

/** Control of the network relay of a fleet. */
export class NetworkControl {
	readonly #url: string;
	readonly #availabilityZones: readonly string[];
	readonly #faults = new Set<string>();

	/**
	 * @param address - IP address and port of the relay's control.
	 * @param availabilityZones - Zones of the fleet.
	 */
	constructor(address: string, availabilityZones: readonly string[]) {
		this.#url = `http://${address}`;
		this.#availabilityZones = availabilityZones;
	}

	/**
	 * Registers a destination.
	 *
	 * @param endpoint - Name, zone and address of the process; `service` tells several ports of a process apart.
	 * @returns The address at which the relay listens for it.
	 */
	async addDestination(endpoint: {readonly name: string; readonly zone: string; readonly address: string; readonly service?: string}): Promise<string> {
		const reply = await callJson('POST', `${this.#url}/destinations`, endpoint);
		return reply.address as string;
	}

	/**
	 * Registers a source.
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
	 * Adds a rule until the returned object is disposed of.
	 *
	 * @param rule - Rule.
	 */
	async inject(rule: NetworkRule): Promise<AsyncDisposable> {
		return this.#injectAll([rule]);
	}

	/**
	 * Separates two ends in both directions until the returned object is disposed of.
	 *
	 * @param source - One end.
	 * @param destination - Other end.
	 */
	async partition(source: NetworkSelector, destination: NetworkSelector): Promise<AsyncDisposable> {
		return this.inject({
			source, destination, partition: true, bothWays: true,
		});
	}

	/**
	 * Separates a zone from the other zones and the platform until the returned object is disposed of. Callers still reach
	 * the hosts of the zone.
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
	 * Separates a process from everything until the returned object is disposed of.
	 *
	 * @param name - Name of the process.
	 */
	async isolate(name: string): Promise<AsyncDisposable> {
		return this.partition({name}, {});
	}

	/**
	 * Resets the present connections.
	 *
	 * @param source - End that opened them.
	 * @param destination - Other end.
	 * @returns The number of connections.
	 */
	async reset(source: NetworkSelector, destination: NetworkSelector): Promise<number> {
		const reply = await callJson('POST', `${this.#url}/reset`, {source, destination});
		return reply.reset as number;
	}

	/** Returns the bytes that each process sent to each other one since the relay started. */
	async getTraffic(): Promise<NetworkFlow[]> {
		const reply = await callJson('GET', `${this.#url}/traffic`);
		return reply.flows as NetworkFlow[];
	}

	/** Ends all faults; the delays between zones remain. */
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
