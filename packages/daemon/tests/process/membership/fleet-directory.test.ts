import {
	encodeFrame, MemberKind, MemberState, type Member, type MembershipList,
} from '@tarragonstack/core';
import {ok, err} from 'neverthrow';
import {describe, expect, it} from 'vitest';
import {
	FleetDirectory, HostState, PeerConnectionEvent, PeerMessageKind, type HostSeed,
} from '../../../src/index.js';
import {FakePeerBus, logger, PausableTimerService} from './fake-peer-bus.js';

const names = ['host-1', 'host-2', 'host-3', 'host-4', 'host-5', 'host-6', 'host-7'];

function createSeed(name: string): HostSeed {
	return {name, availabilityZone: `zone-${Number(name.split('-')[1]) % 3}`, peerAddress: `127.0.0.${name.split('-')[1]}:7000`};
}

/** Directories of several hosts that are connected by one bus. */
class TestFleet {
	readonly bus = new FakePeerBus();
	readonly directories = new Map<string, FleetDirectory>();
	readonly timers = new Map<string, PausableTimerService>();

	constructor(hostNames: readonly string[], membershipList?: MembershipList) {
		for (const name of hostNames) {
			this.start(name, hostNames, membershipList);
		}
	}

	start(name: string, seeds: readonly string[], membershipList?: MembershipList, own = createSeed(name)): FleetDirectory {
		this.directories.get(name)?.[Symbol.dispose]();
		const timerService = new PausableTimerService(this.bus.timerService);
		const directory = new FleetDirectory({
			own,
			seeds: seeds.map(seed => createSeed(seed)),
			network: this.bus.connect(name),
			timerService,
			logger,
			random: () => 0.5,
			...(membershipList && {membershipList}),
		});
		this.directories.set(name, directory);
		this.timers.set(name, timerService);
		directory.start();
		return directory;
	}

	/** Returns the distinct states of a host as the given hosts observe them. */
	getObservedStates(about: string, observers = [...this.directories.keys()]): Array<HostState | undefined> {
		return [...new Set(observers.map(name => this.directories.get(name)!.getHost(about)?.state))];
	}
}

function createList(members: () => readonly Member[] | undefined): MembershipList {
	return {
		async getMembers({kind}) {
			const current = members()?.filter(member => member.kind === kind);
			return current ? ok(current) : err('the agent does not answer');
		},
		async [Symbol.asyncDispose]() {},
	};
}

function createMember(name: string, overrides: Partial<Member> = {}): Member {
	const {availabilityZone, peerAddress} = createSeed(name);
	return {name, kind: MemberKind.Host, availabilityZone, address: peerAddress, state: MemberState.Live, ...overrides};
}

describe('FleetDirectory', () => {
	it('keeps all hosts live without failures', async () => {
		const fleet = new TestFleet(names);
		await fleet.bus.timerService.advance(10_000);
		for (const name of names) {
			expect(fleet.getObservedStates(name)).toEqual([HostState.Live]);
		}
	});

	it('marks a silent host unreachable on all hosts after three missed heartbeats', async () => {
		const fleet = new TestFleet(names);
		await fleet.bus.timerService.advance(1000);
		fleet.bus.isLost = (from, to) => from === 'host-4' || to === 'host-4';
		await fleet.bus.timerService.advance(200);
		const others = names.filter(name => name !== 'host-4');
		expect(fleet.getObservedStates('host-4', others)).toEqual([HostState.Live]);
		await fleet.bus.timerService.advance(600);
		expect(fleet.getObservedStates('host-4', others)).toEqual([HostState.Unreachable]);
	});

	it('marks a host unreachable without waiting for missed heartbeats when its connection is refused', async () => {
		const fleet = new TestFleet(names);
		await fleet.bus.timerService.advance(1000);
		fleet.directories.get('host-4')![Symbol.dispose]();
		fleet.bus.remove('host-4');
		await fleet.bus.timerService.advance(300);
		expect(fleet.getObservedStates('host-4', names.filter(name => name !== 'host-4'))).toEqual([HostState.Unreachable]);
	});

	it('marks a host live again on all hosts after it refuted a wrong suspicion', async () => {
		const fleet = new TestFleet(names);
		await fleet.bus.timerService.advance(1000);
		fleet.bus.isLost = (from, to) => from === 'host-4' || to === 'host-4';
		await fleet.bus.timerService.advance(1000);
		fleet.bus.isLost = () => false;
		await fleet.bus.timerService.advance(3000);
		expect(fleet.getObservedStates('host-4')).toEqual([HostState.Live]);
	});

	it('marks all hosts live on all hosts after the end of a partition between zones', async () => {
		const fleet = new TestFleet(names);
		const isInside = (name: string) => name === 'host-1' || name === 'host-4' || name === 'host-7';
		await fleet.bus.timerService.advance(1000);
		fleet.bus.isLost = (from, to) => isInside(from) !== isInside(to);
		await fleet.bus.timerService.advance(2000);
		expect(fleet.getObservedStates('host-1', ['host-2', 'host-3', 'host-5', 'host-6'])).toEqual([HostState.Unreachable]);
		expect(fleet.getObservedStates('host-2', ['host-1', 'host-4', 'host-7'])).toEqual([HostState.Unreachable]);
		fleet.bus.isLost = () => false;
		await fleet.bus.timerService.advance(10_000);
		for (const name of names) {
			expect(fleet.getObservedStates(name)).toEqual([HostState.Live]);
		}
	});

	it('keeps a host live that some peers cannot reach but that refutes their suspicion', async () => {
		const fleet = new TestFleet(names);
		await fleet.bus.timerService.advance(1000);
		let changeCount = 0;
		using _ = fleet.directories.get('host-3')!.subscribe(() => {
			changeCount++;
		});
		fleet.bus.isLost = (from, to) => (from === 'host-2' && to === 'host-4') || (from === 'host-4' && to === 'host-2');
		await fleet.bus.timerService.advance(10_000);
		fleet.bus.isLost = () => false;
		await fleet.bus.timerService.advance(3000);
		expect(fleet.getObservedStates('host-4')).toEqual([HostState.Live]);
		expect(changeCount).toBeLessThan(200);
	});

	it('propagates the leaving state, and keeps it when the host was unreachable meanwhile', async () => {
		const fleet = new TestFleet(names);
		await fleet.bus.timerService.advance(1000);
		fleet.directories.get('host-4')!.setLeaving();
		await fleet.bus.timerService.advance(300);
		expect(fleet.getObservedStates('host-4')).toEqual([HostState.Leaving]);
		fleet.bus.isLost = (from, to) => from === 'host-4' || to === 'host-4';
		await fleet.bus.timerService.advance(1000);
		fleet.bus.isLost = () => false;
		await fleet.bus.timerService.advance(3000);
		expect(fleet.getObservedStates('host-4')).toEqual([HostState.Leaving]);
	});

	it('marks a host live that restarts after leaving, although it lost its incarnation', async () => {
		const fleet = new TestFleet(names);
		await fleet.bus.timerService.advance(1000);
		fleet.directories.get('host-4')!.setLeaving();
		await fleet.bus.timerService.advance(500);
		fleet.start('host-4', names);
		await fleet.bus.timerService.advance(2000);
		expect(fleet.getObservedStates('host-4')).toEqual([HostState.Live]);
	});

	it('does not mark peers unreachable after a pause of the own process', async () => {
		const fleet = new TestFleet(names);
		await fleet.bus.timerService.advance(1000);
		const paused = fleet.directories.get('host-1')!;
		const changes: HostState[] = [];
		using _ = paused.subscribe(() => {
			changes.push(...paused.getHosts().map(host => host.state));
		});
		// The replies of all peers are delayed by the duration of the pause.
		for (let pause = 0; pause < 5; pause++) {
			fleet.bus.isLost = (from, to) => from === 'host-1' || to === 'host-1';
			await fleet.bus.timerService.advance(150);
			fleet.timers.get('host-1')!.block(1000);
			await fleet.bus.timerService.advance(50);
			fleet.bus.isLost = () => false;
			await fleet.bus.timerService.advance(500);
		}

		expect(changes).not.toContain(HostState.Unreachable);
	});

	it('checks an unmonitored host when a connection to it ends, and prefers its own observation to those of its peers', async () => {
		const many = Array.from({length: 12}, (_, index) => `host-${index + 1}`);
		const fleet = new TestFleet(many);
		await fleet.bus.timerService.advance(1000);
		fleet.bus.isLost = (from, to) => (from === 'host-1' && to === 'host-9') || (from === 'host-9' && to === 'host-1');
		for (const peer of many.slice(1)) {
			fleet.bus.report('host-1', peer, PeerConnectionEvent.Silent);
		}

		await fleet.bus.timerService.advance(500);
		expect(fleet.directories.get('host-1')!.getHost('host-9')?.state).toBe(HostState.Unreachable);
	});

	it('reports new configuration versions of peers within a few heartbeats', async () => {
		const fleet = new TestFleet(names);
		await fleet.bus.timerService.advance(1000);
		fleet.directories.get('host-1')!.setConfigurationVersion(5);
		await fleet.bus.timerService.advance(200);
		const informed = names.filter(name => fleet.directories.get(name)!.getHost('host-1')?.configurationVersion === 5);
		expect(informed.length).toBeGreaterThanOrEqual(5);
	});

	it.each([
		{
			scenario: 'a live host that is leaving in the list',
			list: () => [...names.map(name => createMember(name)).slice(1), createMember('host-1', {state: MemberState.Leaving})],
			about: 'host-1',
			state: HostState.Live,
		},
		{
			scenario: 'an unreachable host that is live in the list',
			list: () => [...names.map(name => createMember(name)), createMember('host-9')],
			about: 'host-9',
			state: HostState.Unreachable,
		},
		{scenario: 'an empty list', list: () => [], about: 'host-1', state: HostState.Live},
		{scenario: 'a list that cannot be read', list: () => undefined, about: 'host-1', state: HostState.Live},
		{
			scenario: 'an upstream in the list, which is not a host',
			list: () => [createMember('host-9', {kind: MemberKind.Upstream})],
			about: 'host-9',
			state: undefined,
		},
		{
			scenario: 'a wrong address of a known host in the list',
			list: () => names.map(name => createMember(name, {address: '127.0.0.99:1'})),
			about: 'host-1',
			state: HostState.Live,
		},
	])('prefers own observations to the membership list: $scenario', async ({list, about, state}) => {
		const fleet = new TestFleet(names, createList(list));
		await fleet.bus.timerService.advance(3000);
		expect(fleet.getObservedStates(about)).toEqual([state]);
		expect(fleet.directories.get('host-2')!.getHost('host-1')?.peerAddress).toBe('127.0.0.1:7000');
	});

	it('reads the membership list at a low rate, and earlier when an unknown host connects', async () => {
		let reads = 0;
		const fleet = new TestFleet(['host-1'], createList(() => {
			reads++;
			return [];
		}));
		await fleet.bus.timerService.advance(60_000);
		expect(reads).toBeGreaterThan(3);
		expect(reads).toBeLessThan(15);
		const before = reads;
		for (let attempt = 0; attempt < 100; attempt++) {
			fleet.directories.get('host-1')!.reportUnknownHost();
			await fleet.bus.timerService.advance(10);
		}

		expect(reads - before).toBe(1);
	});

	it('discovers the complete fleet through one seed without a membership list', async () => {
		const fleet = new TestFleet(names);
		const joiningHost = fleet.start('host-7', ['host-2']);
		await fleet.bus.timerService.advance(2000);
		expect(joiningHost.getHosts().map(host => host.name).toSorted()).toEqual(names);
	});

	it('updates the address of a host that restarted with another one', async () => {
		const fleet = new TestFleet(names, createList(() => [createMember('host-7', {address: '127.0.0.77:7000'})]));
		await fleet.bus.timerService.advance(1000);
		fleet.directories.get('host-7')![Symbol.dispose]();
		fleet.directories.delete('host-7');
		fleet.bus.remove('host-7');
		await fleet.bus.timerService.advance(1000);
		expect(fleet.getObservedStates('host-7')).toEqual([HostState.Unreachable]);
		fleet.start('host-7', names, undefined, {...createSeed('host-7'), peerAddress: '127.0.0.77:7000'});
		await fleet.bus.timerService.advance(2000);
		expect(fleet.getObservedStates('host-7')).toEqual([HostState.Live]);
		expect(names.map(name => fleet.directories.get(name)!.getHost('host-7')?.peerAddress)).toEqual(names.map(() => '127.0.0.77:7000'));
	});

	it('keeps a host live whose replies take longer than a heartbeat interval, for example under load', async () => {
		const fleet = new TestFleet(names);
		fleet.bus.delayMilliseconds = 180;
		await fleet.bus.timerService.advance(10_000);
		for (const name of names) {
			expect(fleet.getObservedStates(name)).toEqual([HostState.Live]);
		}
	});

	it('ignores a heartbeat that does not match the schema', async () => {
		const fleet = new TestFleet(names);
		const network = fleet.bus.connect('host-9');
		for (const body of [undefined, [], [0, 0, 0, [['host-1', 'zone', 'no address', 0, 2]]], [-1, 0, 0, []]]) {
			await network.call('host-2', PeerMessageKind.Heartbeat, body, {timeoutMilliseconds: 100});
		}

		expect(fleet.getObservedStates('host-1', ['host-2'])).toEqual([HostState.Live]);
	});

	it('keeps heartbeats within the sizes that the calculation of the control traffic assumes', async () => {
		const bodies: unknown[] = [];
		const fleet = new TestFleet(names);
		await fleet.bus.timerService.advance(1000);
		const network = fleet.bus.connect('host-8');
		network.handle(PeerMessageKind.Heartbeat, async body => {
			bodies.push(body);
			const acknowledged = (body as number[])[1];
			return [0, 0, acknowledged, []];
		});
		const observer = new FleetDirectory({
			own: createSeed('host-9'), seeds: [createSeed('host-8')], network: fleet.bus.connect('host-9'), timerService: fleet.bus.timerService, logger,
		});
		observer.setConfigurationVersion(1_000_000);
		observer.start();
		await fleet.bus.timerService.advance(1000);
		observer[Symbol.dispose]();
		const identifier = 100_000;
		const request = encodeFrame([1, identifier, PeerMessageKind.Heartbeat, bodies.at(-1), 0]).length;
		const reply = encodeFrame([2, identifier, bodies.at(-1)]).length;
		expect(request).toBeLessThanOrEqual(34);
		expect(reply).toBeLessThanOrEqual(24);
	});
});
