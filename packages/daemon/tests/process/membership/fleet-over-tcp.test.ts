import {describe, expect, it, vi} from 'vitest';
import {
	FleetConfigurationStore, FleetDirectory, HostState, type TcpPeerNetwork,
} from '../../../src/index.js';
import {CountingMetrics, logger, PeerFleet} from '../../connection/peer/peer-fleet.js';
import {FakeKeyValueService} from '../../version/fake-key-value-service.js';

type TestHost = {
	readonly name: string;
	readonly network: TcpPeerNetwork;
	readonly directory: FleetDirectory;
	readonly store: FleetConfigurationStore;
};

const names = ['host-1', 'host-2', 'host-3', 'host-4', 'host-5', 'host-6', 'host-7'];

/** Hosts that are connected over TCP. */
class TcpFleet implements AsyncDisposable {
	static async start(): Promise<TcpFleet> {
		const fleet = new TcpFleet(new PeerFleet());
		const directories = new Map<string, FleetDirectory>();
		const networks = await Promise.all(names.map(async name => fleet.#peers.start(name, {
			resolveAddress: host => directories.get(name)?.getHost(host)?.peerAddress,
		})));
		const seeds = names.map((name, index) => ({name, availabilityZone: `zone-${index % 3}`, peerAddress: fleet.#peers.addresses.get(name)!}));
		for (const [index, name] of names.entries()) {
			const {network} = networks[index]!;
			const {timerService} = fleet.#peers;
			const own = seeds[index]!;
			const directory = new FleetDirectory({
				own, seeds, network, timerService, logger,
			});
			directories.set(name, directory);
			const store = new FleetConfigurationStore({
				availabilityZone: own.availabilityZone, keyValueService: fleet.service, network, directory, timerService, logger, metrics: new CountingMetrics(),
			});
			store.subscribe(({version}) => {
				directory.setConfigurationVersion(version);
			});
			directory.start();
			store.start();
			fleet.hosts.push({
				name, network, directory, store,
			});
		}

		return fleet;
	}

	readonly hosts: TestHost[] = [];
	readonly service = new FakeKeyValueService();
	readonly #peers: PeerFleet;

	private constructor(peers: PeerFleet) {
		this.#peers = peers;
	}

	/** Waits until all hosts have a version, and returns the elapsed time in milliseconds. */
	async waitForVersion(version: number): Promise<number> {
		const startedAt = performance.now();
		await vi.waitFor(() => {
			expect(this.hosts.map(({store}) => store.getCurrent()?.version)).toEqual(names.map(() => version));
		}, {timeout: 10_000, interval: 5});
		return performance.now() - startedAt;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		for (const {directory} of this.hosts) {
			directory[Symbol.dispose]();
		}

		await Promise.all(this.hosts.map(({store}) => store[Symbol.asyncDispose]()));
		await this.#peers[Symbol.asyncDispose]();
	}
}

function createConfiguration(version: number): string {
	return JSON.stringify({
		version, changeIdentifier: `change-${version}`, author: 'test', time: '2026-01-01T00:00:00Z', contracts: [], groups: [],
	});
}

describe('hosts over TCP', () => {
	it('applies 20 configuration changes on 7 hosts within a second each', async () => {
		await using fleet = await TcpFleet.start();
		fleet.service.set(createConfiguration(1));
		await fleet.waitForVersion(1);
		const durations: number[] = [];
		for (let version = 2; version < 22; version++) {
			fleet.service.set(createConfiguration(version));
			durations.push(await fleet.waitForVersion(version));
		}

		expect(Math.max(...durations)).toBeLessThan(1000);
	});

	it('marks a stopped host unreachable on all hosts within half a second', async () => {
		await using fleet = await TcpFleet.start();
		fleet.service.set(createConfiguration(1));
		await fleet.waitForVersion(1);
		const stopped = fleet.hosts[3]!;
		stopped.directory[Symbol.dispose]();
		const startedAt = performance.now();
		await stopped.network[Symbol.asyncDispose]();
		const others = fleet.hosts.filter(host => host !== stopped);
		await vi.waitFor(() => {
			expect(others.map(({directory}) => directory.getHost(stopped.name)?.state)).toEqual(others.map(() => HostState.Unreachable));
		}, {timeout: 5000, interval: 5});
		const elapsed = performance.now() - startedAt;
		expect(elapsed).toBeLessThan(500);
		for (const {directory} of others) {
			expect(others.map(({name}) => directory.getHost(name)?.state)).toEqual(others.map(() => HostState.Live));
		}
	});
});
