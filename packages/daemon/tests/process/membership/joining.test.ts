import {MemberKind, MemberState, type Member, type MembershipList} from '@tarragonstack/core';
import {ok} from 'neverthrow';
import {describe, expect, it} from 'vitest';
import {FleetDirectory, HostState} from '../../../src/index.js';
import {FakePeerBus, logger} from './fake-peer-bus.js';

function createMember(name: string): Member {
	return {name, kind: MemberKind.Host, availabilityZone: 'zone', address: '127.0.0.1:7000', state: MemberState.Live};
}

function createList(names: readonly string[]): MembershipList {
	return {
		getMembers: async () => ok(names.map(name => createMember(name))),
		async [Symbol.asyncDispose]() {},
	};
}

function startHost(bus: FakePeerBus, name: string, members: readonly string[]): FleetDirectory {
	const directory = new FleetDirectory({
		own: {name, availabilityZone: 'zone', peerAddress: '127.0.0.1:7000'},
		seeds: [],
		network: bus.connect(name),
		membershipList: createList(members),
		timerService: bus.timerService,
		logger,
		random: () => 0.5,
	});
	directory.start();
	return directory;
}

describe('a starting host', () => {
	it.each([
		{guards: 'a wait for peers in a fleet of one host', members: ['host-1'], hasPeer: false, afterMilliseconds: 200, expected: HostState.Live},
		{guards: 'a second owner of each instance while peers refuse the host', members: ['host-1', 'host-2'], hasPeer: false, afterMilliseconds: 2500, expected: HostState.Joining},
		{guards: 'a host that never owns instances because its peers are unreachable', members: ['host-1', 'host-2'], hasPeer: false, afterMilliseconds: 3500, expected: HostState.Live},
		{guards: 'an unnecessary wait after a peer has answered', members: ['host-1', 'host-2'], hasPeer: true, afterMilliseconds: 700, expected: HostState.Live},
	])('guards against $guards', async ({members, hasPeer, afterMilliseconds, expected}) => {
		const bus = new FakePeerBus();
		using _peer = hasPeer ? startHost(bus, 'host-2', members) : undefined;
		using directory = startHost(bus, 'host-1', members);
		await bus.timerService.advance(afterMilliseconds);
		expect(directory.getHost('host-1')?.state).toBe(expected);
	});
});
