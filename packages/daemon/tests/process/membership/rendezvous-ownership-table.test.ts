import {fc, test} from '@fast-check/vitest';
import {describe, expect, it} from 'vitest';
import {
	HostState, IndexedConfigurationSnapshot, RendezvousOwnershipTable,
	type ConfigurationSnapshot, type ConfigurationStore, type Host, type HostDirectory,
} from '../../../src/index.js';

const zones = ['uy-sur-a', 'uy-sur-b', 'uy-sur-c'];
const configuration = {
	version: 1,
	changeIdentifier: 'change',
	author: 'test',
	time: '2026-01-01T00:00:00Z',
	contracts: [],
	groups: Array.from({length: 6}, (_, group) => ({
		name: `subs-core-${group}`,
		instances: zones.map((availabilityZone, index) => ({
			name: `subs-core-${group}-${index}`, address: '127.0.0.1:5432', availabilityZone, slots: 3, connectionLimit: 20, leaving: false,
		})),
	})),
};
const instances = configuration.groups.flatMap(group => group.instances);

/** Directory whose hosts are set by the test. */
class FakeDirectory implements HostDirectory {
	#listener: (() => void) | undefined;

	constructor(readonly ownName: string, public hosts: readonly Host[]) {}

	getHosts(): readonly Host[] {
		return this.hosts;
	}

	getHost(name: string): Host | undefined {
		return this.hosts.find(host => host.name === name);
	}

	subscribe(listener: () => void): Disposable {
		this.#listener = listener;
		return {[Symbol.dispose]() {}};
	}

	change(hosts: readonly Host[]): void {
		this.hosts = hosts;
		this.#listener?.();
	}
}

function createStore(current: ConfigurationSnapshot | undefined = new IndexedConfigurationSnapshot(configuration)): ConfigurationStore {
	return {getCurrent: () => current, subscribe: () => ({[Symbol.dispose]() {}})};
}

function createHost(index: number, state = HostState.Live): Host {
	return {
		name: `host-${index}`, availabilityZone: zones[index % zones.length]!, peerAddress: `127.0.0.${index + 1}:7000`, state, configurationVersion: 1,
	};
}

const hostSets = fc.uniqueArray(fc.integer({min: 0, max: 20}), {minLength: 1, maxLength: 12});

const shuffledHostSets = hostSets.chain(set => fc.tuple(fc.constant(set), fc.shuffledSubarray(set, {minLength: set.length})));

describe('RendezvousOwnershipTable', () => {
	test.prop([shuffledHostSets])('determines the same owners and a consistent promotion order on all hosts with the same live hosts', ([set, shuffled]) => {
		const orders = new Map<string, number[]>();
		const reference = new RendezvousOwnershipTable(new FakeDirectory(`host-${set[0]!}`, set.map(index => createHost(index))), createStore());
		for (const index of set) {
			const table = new RendezvousOwnershipTable(new FakeDirectory(`host-${index}`, shuffled.map(other => createHost(other))), createStore());
			for (const {name} of instances) {
				expect(table.getOwner(name)).toBe(reference.getOwner(name));
			}

			expect(table.getOwnedInstances()).toEqual(instances.map(({name}) => name).filter(name => reference.getOwner(name) === `host-${index}`));
			for (const {name} of configuration.groups) {
				const order = table.getPromotionOrder(name);
				orders.set(name, [...orders.get(name) ?? [], ...(order === undefined ? [] : [order])]);
			}
		}

		for (const group of configuration.groups) {
			const owners = new Set(group.instances.map(({name}) => reference.getOwner(name)));
			expect(orders.get(group.name)!.toSorted((left, right) => left - right)).toEqual([...owners].map((_, index) => index));
		}
	});

	test.prop([hostSets.filter(set => set.length > 1)])('moves only the instances of a removed host while its zone keeps a host', set => {
		const hosts = set.map(index => createHost(index));
		const directory = new FakeDirectory(hosts[0]!.name, hosts);
		const table = new RendezvousOwnershipTable(directory, createStore());
		const before = new Map(instances.map(({name}) => [name, table.getOwner(name)]));
		const removed = hosts.at(-1)!;
		directory.change(hosts.slice(0, -1));
		for (const {name, availabilityZone} of instances) {
			const zoneHasHosts = hosts.slice(0, -1).some(host => host.availabilityZone === availabilityZone);
			const hadHosts = hosts.some(host => host.availabilityZone === availabilityZone);
			if (before.get(name) === removed.name) {
				expect(table.getOwner(name)).not.toBe(removed.name);
			} else if (zoneHasHosts || !hadHosts) {
				expect(table.getOwner(name)).toBe(before.get(name));
			}
		}
	});

	it.each([
		{hosts: [createHost(0), createHost(1)], instance: 'subs-core-0-0', owner: 'host-0', guards: 'an owner in another zone although the own zone has a host'},
		{hosts: [createHost(0, HostState.Leaving), createHost(1)], instance: 'subs-core-0-0', owner: 'host-1', guards: 'a leaving host as owner'},
		{hosts: [createHost(0, HostState.Unreachable), createHost(1)], instance: 'subs-core-0-0', owner: 'host-1', guards: 'an unreachable host as owner'},
		{hosts: [createHost(0, HostState.Unreachable)], instance: 'subs-core-0-0', owner: undefined, guards: 'an owner in a fleet without live hosts'},
		{hosts: [createHost(0)], instance: 'unknown', owner: undefined, guards: 'an owner of an unknown instance'},
	])('assigns $owner, against $guards', ({hosts, instance, owner}) => {
		const table = new RendezvousOwnershipTable(new FakeDirectory('host-0', hosts), createStore());
		expect(table.getOwner(instance)).toBe(owner);
	});

	it('notifies listeners only when the owned instances change', () => {
		const directory = new FakeDirectory('host-0', [createHost(0), createHost(1), createHost(2)]);
		const table = new RendezvousOwnershipTable(directory, createStore());
		let changes = 0;
		using _ = table.subscribe(() => {
			changes++;
		});
		directory.change([createHost(0), createHost(1)]);
		expect(changes).toBe(1);
		directory.change([createHost(0), {...createHost(1), configurationVersion: 7}]);
		expect(changes).toBe(1);
	});
});
