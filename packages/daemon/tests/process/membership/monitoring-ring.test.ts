import {describe, expect, it} from 'vitest';
import {chooseMonitoredPeers, getHeartbeatInterval} from '../../../src/process/membership/monitoring-ring.js';

const getNames = (count: number) => Array.from({length: count}, (_, index) => `host-${index}`);

describe('chooseMonitoredPeers', () => {
	it.each([
		{hosts: 1, peers: 0, steps: 0, scenario: 'a host without peers'},
		{hosts: 2, peers: 1, steps: 1, scenario: 'a pair'},
		{hosts: 7, peers: 4, steps: 1, scenario: 'a fleet of the current size'},
		{hosts: 480, peers: 4, steps: 10, scenario: 'a fleet of the target capacity (guards against slow propagation)'},
	])('assigns $peers peers to each of $hosts hosts and reaches all hosts in $steps steps: $scenario', ({hosts, peers, steps}) => {
		const names = getNames(hosts);
		const links = new Map(names.map(name => [name, new Set<string>()]));
		const monitoring = new Map(names.map(name => [name, 0]));
		for (const name of names) {
			const chosen = chooseMonitoredPeers(name, names);
			expect(chosen).toHaveLength(peers);
			expect(chosen).not.toContain(name);
			for (const peer of chosen) {
				links.get(name)!.add(peer);
				links.get(peer)!.add(name);
				monitoring.set(peer, monitoring.get(peer)! + 1);
			}
		}

		expect([...monitoring.values()].every(count => count === peers)).toBe(true);
		let reached = new Set([names[0]!]);
		for (let step = 0; step < steps; step++) {
			reached = new Set([...reached].flatMap(name => [name, ...links.get(name)!]));
		}

		expect(reached.size).toBe(hosts);
	});
});

describe('getHeartbeatInterval', () => {
	it.each([
		{hosts: 7, milliseconds: 100, guards: 'slow detection in a fleet of the current size'},
		{hosts: 48, milliseconds: 100, guards: 'slow detection in a fleet of a few dozen hosts'},
		{hosts: 480, milliseconds: 1200, guards: 'control traffic above 3 KB/s'},
	])('is $milliseconds ms for $hosts hosts, against $guards', ({hosts, milliseconds}) => {
		expect(getHeartbeatInterval(hosts)).toBeCloseTo(milliseconds);
	});
});
