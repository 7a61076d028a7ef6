import {type Fleet} from '../fleet/index.js';
import {callJson} from '../fleet/json-client.js';

/** Resources that one host used in an interval, as a mean over all hosts. */
export type HostUsage = {
	/** Payload that a host exchanged with other hosts, sent and received, in bytes per second. */
	readonly peerBytesPerSecond: number;
	/** Payload that a host exchanged with instances, sent and received, in bytes per second. */
	readonly instanceBytesPerSecond: number;
	/** Payload that a host exchanged with the key-value service and the membership list, in bytes per second. */
	readonly platformBytesPerSecond: number;
	/** Share of one core. */
	readonly processorShare: number;
	/** Resident memory in MiB. */
	readonly memoryMebibytes: number;
};

type HostReading = {
	readonly memory: number;
	readonly processorMicroseconds: {readonly user: number; readonly system: number};
};

type FleetReading = {
	readonly time: number;
	readonly hosts: readonly HostReading[];
	readonly bytes: {peer: number; instance: number; platform: number};
};

/** Measures what the hosts of a fleet use between two readings. */
export class HostUsageMeter {
	readonly #fleet: Fleet;
	#last: FleetReading | undefined;

	/**
	 * @param fleet - Fleet to observe.
	 */
	constructor(fleet: Fleet) {
		this.#fleet = fleet;
	}

	/** Begins an interval. */
	async start(): Promise<void> {
		this.#last = await this.#read();
	}

	/** Ends the interval and returns the usage in it. */
	async finish(): Promise<HostUsage> {
		const before = this.#last!;
		const after = await this.#read();
		const seconds = (after.time - before.time) / 1000;
		const count = after.hosts.length;
		const getRate = (kind: keyof FleetReading['bytes']) => (after.bytes[kind] - before.bytes[kind]) / seconds / count;
		const processorMicroseconds = sumProcessorTime(after.hosts) - sumProcessorTime(before.hosts);
		return {
			// A byte between two hosts is sent by one and received by the other.
			peerBytesPerSecond: 2 * getRate('peer'),
			instanceBytesPerSecond: getRate('instance'),
			platformBytesPerSecond: getRate('platform'),
			processorShare: processorMicroseconds / 1_000_000 / seconds / count,
			memoryMebibytes: after.hosts.reduce((sum, {memory}) => sum + memory, 0) / count / 1_048_576,
		};
	}

	async #read(): Promise<FleetReading> {
		const hosts = await Promise.all(this.#fleet.hosts.map(async ({name}) =>
			await callJson('GET', `http://${this.#fleet.getProcessOrThrow(name).ready.addresses.admin}/status`) as unknown as HostReading));
		const hostNames = new Set(this.#fleet.hosts.map(({name}) => name));
		const instanceNames = new Set(this.#fleet.instances.map(({name}) => name));
		const bytes = {peer: 0, instance: 0, platform: 0};
		for (const flow of await this.#fleet.network.getTraffic()) {
			const ends = [flow.from, flow.to];
			const hostEnds = ends.filter(name => hostNames.has(name)).length;
			if (hostEnds === 2) {
				bytes.peer += flow.bytes;
			} else if (hostEnds === 1) {
				bytes[ends.some(name => instanceNames.has(name)) ? 'instance' : 'platform'] += flow.bytes;
			}
		}

		return {time: performance.now(), hosts, bytes};
	}
}

function sumProcessorTime(hosts: readonly HostReading[]): number {
	return hosts.reduce((sum, {processorMicroseconds}) => sum + processorMicroseconds.user + processorMicroseconds.system, 0);
}
