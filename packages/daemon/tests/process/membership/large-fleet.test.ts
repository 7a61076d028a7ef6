import {encodeFrame, MemberKind, MemberState, type MembershipList} from '@tarragonstack/core';
import {ok} from 'neverthrow';
import {describe, expect, it} from 'vitest';
import {
	FleetDirectory, HostState, PeerMessageKind, type HostSeed,
} from '../../../src/index.js';
import {FakePeerBus, logger} from './fake-peer-bus.js';

const headerBytes = 52;
const tlsBytes = 22;
const targetBytesPerSecond = 3000;

function createSeed(index: number): HostSeed {
	return {name: `entry-${String(index).padStart(3, '0')}.uy-sur`, availabilityZone: `uy-sur-${index % 7}`, peerAddress: `10.20.${index % 7}.${Math.floor(index / 7)}:7000`};
}

/** Starts hosts that find each other through the membership list, connected by a bus that counts the bytes of heartbeats. */
function startFleet(hosts: number) {
	const bus = new FakePeerBus();
	const bytes = new Map<string, number>();
	const count = (host: string, added: number) => {
		bytes.set(host, (bytes.get(host) ?? 0) + added);
	};

	const seeds = Array.from({length: hosts}, (_, index) => createSeed(index));
	const membershipList: MembershipList = {
		async getMembers() {
			return ok(seeds.map(({name, availabilityZone, peerAddress}) => ({
				name, kind: MemberKind.Host, availabilityZone, address: peerAddress, state: MemberState.Live,
			})));
		},
		async [Symbol.asyncDispose]() {},
	};
	const directories = new Map(seeds.map((own, index) => {
		const inner = bus.connect(own.name);
		const network: typeof inner = {
			...inner,
			async call(host, kind, body, options) {
				const reply = await inner.call(host, kind, body, options);
				const request = encodeFrame([1, 100_000, PeerMessageKind.Heartbeat, body, 0]).length;
				const answer = reply.isOk() ? encodeFrame([2, 100_000, reply.value]).length : 0;
				const total = request + answer + (3 * headerBytes) + (2 * tlsBytes);
				count(own.name, total);
				count(host, total);
				return reply;
			},
		};
		const directory = new FleetDirectory({
			own, seeds: [], network, membershipList, timerService: bus.timerService, logger, random: () => index / hosts,
		});
		directory.start();
		return [own.name, directory];
	}));
	const getRate = (seconds: number) => {
		const rates = [...bytes.values()].map(value => value / seconds);
		bytes.clear();
		return {mean: rates.reduce((sum, rate) => sum + rate, 0) / hosts, greatest: Math.max(...rates)};
	};

	const measure = async (isDone: () => boolean) => {
		const startedAt = bus.timerService.now();
		while (!isDone() && bus.timerService.now() - startedAt < 120_000) {
			await bus.timerService.advance(100);
		}

		return bus.timerService.now() - startedAt;
	};

	return {
		bus, seeds, directories, getRate, measure,
	};
}

function allObserve(observers: readonly FleetDirectory[], names: Iterable<string>, state: HostState): boolean {
	const all = [...names];
	return observers.every(directory => all.every(name => directory.getHost(name)?.state === state));
}

describe('FleetDirectory in a large fleet', () => {
	it('detects a failed host and propagates a version within 9 s among 480 hosts, with less than 3 KB/s of heartbeats', async () => {
		const hosts = 480;
		const {
			bus, seeds, directories, getRate, measure,
		} = startFleet(hosts);
		await bus.timerService.advance(5000);
		getRate(5);
		await bus.timerService.advance(12_000);
		const idle = getRate(12);
		expect(idle.greatest).toBeLessThan(targetBytesPerSecond);

		const versions = new Map<string, number>();
		for (const [name, directory] of directories) {
			// A host that is informed of a version obtains it by a query to the peer, which takes a few milliseconds.
			directory.subscribe(() => {
				if (!versions.has(name) && directory.getHosts().some(host => host.configurationVersion === 7)) {
					versions.set(name, 7);
					bus.timerService.schedule(5, () => {
						directory.setConfigurationVersion(7);
					});
				}
			});
		}

		directories.get(seeds[0]!.name)!.setConfigurationVersion(7);
		versions.set(seeds[0]!.name, 7);
		const propagationMilliseconds = await measure(() => versions.size === hosts);
		expect(propagationMilliseconds).toBeLessThan(9000);

		const failed = seeds[100]!.name;
		directories.get(failed)![Symbol.dispose]();
		bus.isLost = (from, to) => from === failed || to === failed;
		directories.delete(failed);
		const detectionMilliseconds = await measure(() => allObserve([...directories.values()], [failed], HostState.Unreachable));
		expect(detectionMilliseconds).toBeLessThan(9000);
	});

	it('propagates the loss and the return of a zone among 98 hosts, although many records change at the same time', async () => {
		const {
			bus, seeds, directories, measure,
		} = startFleet(98);
		await bus.timerService.advance(5000);
		const lostZone = createSeed(3).availabilityZone;
		const lost = new Set(seeds.filter(({availabilityZone}) => availabilityZone === lostZone).map(({name}) => name));
		bus.isLost = (from, to) => lost.has(from) !== lost.has(to);
		const remaining = [...directories].filter(([name]) => !lost.has(name)).map(([, directory]) => directory);
		const separationMilliseconds = await measure(() => allObserve(remaining, lost, HostState.Unreachable));
		expect(separationMilliseconds).toBeLessThan(20_000);

		bus.isLost = () => false;
		const recoveryMilliseconds = await measure(() => allObserve([...directories.values()], directories.keys(), HostState.Live));
		expect(recoveryMilliseconds).toBeLessThan(30_000);
	});
});
