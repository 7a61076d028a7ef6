import {describe, expect, it} from 'vitest';
import {FakeFleet} from './fake-fleet.js';

/** Hosts of the largest deployment that is played. */
const hostCount = 84;

/** Time between the starts of two hosts, in milliseconds. */
const startIntervalMilliseconds = 25;

/** Time that a fleet without changes is watched, in milliseconds. */
const calmMilliseconds = 10_000;

function getWatchCalls(fleet: FakeFleet): number[] {
	return fleet.hosts.map(({store}) => store.calls.get('watch') ?? 0);
}

describe('calls to the store', () => {
	// Guards against one priced call per host for each other host that registers.
	it('do not grow with the hosts that start at the same time', async () => {
		const fleet = new FakeFleet(0);
		for (let index = 0; index < hostCount; index++) {
			fleet.addHost(`host-${index}`, `zone-${'abc'[index % 3]!}`);
			await fleet.timer.advance(startIntervalMilliseconds);
		}

		await fleet.settle();
		expect(Math.max(...getWatchCalls(fleet))).toBeLessThan(hostCount / 3);
	});

	// Guards against watches that poll; one without changes must still end in time to notice that its connection is silent.
	it('are one watch in two seconds while nothing changes and a configuration has to be in force within three', async () => {
		const fleet = new FakeFleet(6);
		await fleet.settle();
		const before = getWatchCalls(fleet);
		await fleet.timer.advance(calmMilliseconds);
		for (const [index, calls] of getWatchCalls(fleet).entries()) {
			expect(calls - before[index]!).toBeGreaterThanOrEqual(4);
			expect(calls - before[index]!).toBeLessThanOrEqual(6);
		}
	});

	// Guards against a suspicion that is learnt of late because its host had just registered.
	it('report a suspicion at once', async () => {
		const fleet = new FakeFleet(6);
		await fleet.settle();
		const writers = fleet.startWriters();
		fleet.group.instances[0]!.isDown = true;
		await fleet.timer.advance(1000);
		writers.stop();
		const [first] = fleet.getEvents('primary-suspected').toSorted((left, right) => left.at - right.at);
		const [released] = fleet.getEvents('primary-released').toSorted((left, right) => left.at - right.at);
		expect(released!.at - first!.at).toBeLessThan(400);
	});
});
