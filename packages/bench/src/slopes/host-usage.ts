import {type Fleet} from '../fleet/index.js';
import {callJson} from '../fleet/json-client.js';

/** Resource usage per host in an interval, averaged over all hosts. */
export type HostUsage = {
	/** Payload exchanged with other hosts, sent and received, in bytes per second. */
	readonly peerBytesPerSecond: number;
	/** Payload exchanged with instances, sent and received, in bytes per second. */
	readonly instanceBytesPerSecond: number;
	/** Payload exchanged with the key-value service and the membership list, in bytes per second. */
	readonly platformBytesPerSecond: number;
	/** Processor time as a share of one core. */
	readonly processorShare: number;
	/** Resident memory in MiB. */
	readonly memoryMebibytes: number;
};

type HostSample = {
	readonly memory: number;
	readonly processorMicroseconds: {readonly user: number; readonly system: number};
};

type FleetSample = {
	readonly time: number;
	readonly hosts: readonly HostSample[];
	readonly bytes: {peer: number; instance: number; platform: number};
};

/** Measures the resource usage of the hosts of a fleet between two samples. */
export class HostUsageMeter {
	readonly #fleet: Fleet;
	#startSample: FleetSample | undefined;

	/**
	 * @param fleet - Fleet to measure.
	 */
	constructor(fleet: Fleet) {
		this.#fleet = fleet;
	}

	/** Starts an interval. */
	async start(): Promise<void> {
		this.#startSample = await this.#takeSample();
	}

	/** Ends the interval and returns its resource usage. */
	async finish(): Promise<HostUsage> {
		const startSample = this.#startSample!;
		const endSample = await this.#takeSample();
		const seconds = (endSample.time - startSample.time) / 1000;
		const count = endSample.hosts.length;
		const getRate = (kind: keyof FleetSample['bytes']) => (endSample.bytes[kind] - startSample.bytes[kind]) / seconds / count;
		const processorMicroseconds = sumProcessorTime(endSample.hosts) - sumProcessorTime(startSample.hosts);
		return {
			// Each byte between two hosts counts twice: one host sends it and the other one receives it.
			peerBytesPerSecond: 2 * getRate('peer'),
			instanceBytesPerSecond: getRate('instance'),
			platformBytesPerSecond: getRate('platform'),
			processorShare: processorMicroseconds / 1_000_000 / seconds / count,
			memoryMebibytes: endSample.hosts.reduce((sum, {memory}) => sum + memory, 0) / count / 1_048_576,
		};
	}

	async #takeSample(): Promise<FleetSample> {
		const hosts = await Promise.all(this.#fleet.hosts.map(async ({name}) =>
			await callJson('GET', `http://${this.#fleet.getProcessOrThrow(name).ready.addresses.admin}/status`) as unknown as HostSample));
		const hostNames = new Set(this.#fleet.hosts.map(({name}) => name));
		const instanceNames = new Set(this.#fleet.instances.map(({name}) => name));
		const bytes = {peer: 0, instance: 0, platform: 0};
		for (const flow of await this.#fleet.network.getTraffic()) {
			const endpoints = [flow.from, flow.to];
			const hostEndpointCount = endpoints.filter(name => hostNames.has(name)).length;
			if (hostEndpointCount === 2) {
				bytes.peer += flow.bytes;
			} else if (hostEndpointCount === 1) {
				bytes[endpoints.some(name => instanceNames.has(name)) ? 'instance' : 'platform'] += flow.bytes;
			}
		}

		return {time: performance.now(), hosts, bytes};
	}
}

function sumProcessorTime(hosts: readonly HostSample[]): number {
	return hosts.reduce((sum, {processorMicroseconds}) => sum + processorMicroseconds.user + processorMicroseconds.system, 0);
}
