import {ManualTimerService} from '@tarragonstack/core';
import {afterEach, describe, expect, it} from 'vitest';
import {ConfirmationError, type ConfirmationOptions} from '../../../src/index.js';
import {LinkState, SimulatedGroup, TimedTransport} from './simulated-group.js';
import {createGroupDefinition, SimulatedHost} from './simulated-host.js';

const groupName = 'group-1';
const hosts: SimulatedHost[] = [];

function createScenario(members: number) {
	const timerService = new ManualTimerService();
	const definition = createGroupDefinition(members);
	const group = new SimulatedGroup(definition, timerService);
	group.initialize();
	const transport = new TimedTransport(group, timerService);
	const host = new SimulatedHost({
		name: 'host-1', order: 0, timerService, definition, group, transport,
	});
	// Without the promoter, only the tests change the state of the group.
	host.promoter[Symbol.dispose]();
	hosts.push(host);
	const confirm = (options: Partial<ConfirmationOptions> = {}, primary = 'db-1') =>
		host.confirmation.confirm(groupName, primary, {
			expectedTerm: 1, replicated: false, timeoutMilliseconds: 200, ...options,
		});
	return {
		timerService, group, transport, host, confirm,
	};
}

afterEach(async () => {
	for (const host of hosts.splice(0)) {
		await host.stop();
	}
});

/** State of the group and expected outcome. */
type Case = {
	readonly scenario: string;
	readonly members: number;
	readonly unreachable?: readonly string[];
	readonly raised?: readonly string[];
	readonly expectedTerm?: number;
	readonly primary?: string;
	readonly expected: 'confirmed' | ConfirmationError;
};

const cases: readonly Case[] = [
	{scenario: 'a healthy group of three', members: 3, expected: 'confirmed'},
	{scenario: 'a group of one, which needs no other member', members: 1, expected: 'confirmed'},
	{
		scenario: 'a group of two with one member unreachable (one of two is no majority)',
		members: 2,
		unreachable: ['db-2'],
		expected: ConfirmationError.TimedOut,
	},
	{scenario: 'one of three members unreachable', members: 3, unreachable: ['db-3'], expected: 'confirmed'},
	{
		scenario: 'a primary alone in its partition, which may have been replaced',
		members: 3,
		unreachable: ['db-2', 'db-3'],
		expected: ConfirmationError.TimedOut,
	},
	{
		scenario: 'two of four members (half is no majority)',
		members: 4,
		unreachable: ['db-3', 'db-4'],
		expected: ConfirmationError.TimedOut,
	},
	{scenario: 'an unreachable primary', members: 3, unreachable: ['db-1'], expected: ConfirmationError.TimedOut},
	{scenario: 'a minority raised by a crashed promoter (writes must continue)', members: 3, raised: ['db-3'], expected: 'confirmed'},
	{
		scenario: 'a minority at a greater term while another member is unreachable (no majority is left)',
		members: 3,
		raised: ['db-3'],
		unreachable: ['db-2'],
		expected: ConfirmationError.TimedOut,
	},
	{
		scenario: 'a majority at a greater term, which may have a newer primary',
		members: 3,
		raised: ['db-2', 'db-3'],
		expected: ConfirmationError.Replaced,
	},
	{
		scenario: 'a majority at a greater term while the old primary is unreachable (the call must not wait for its time limit)',
		members: 3,
		raised: ['db-2', 'db-3'],
		unreachable: ['db-1'],
		expected: ConfirmationError.Replaced,
	},
	{scenario: 'a primary that was raised itself', members: 3, raised: ['db-1'], expected: ConfirmationError.Replaced},
	{scenario: 'a term other than the expected one', members: 3, expectedTerm: 2, expected: ConfirmationError.Replaced},
	{scenario: 'an instance that is not the primary', members: 3, primary: 'db-2', expected: ConfirmationError.Replaced},
	{scenario: 'an instance of another group', members: 3, primary: 'db-9', expected: ConfirmationError.Replaced},
];

describe('MajorityTermConfirmation', () => {
	it.each(cases)('returns $expected for $scenario', async ({members, unreachable, raised, expectedTerm, primary, expected}) => {
		const {timerService, group, transport, confirm} = createScenario(members);
		for (const name of raised ?? []) {
			group.raise(group.getInstance(name), 2, 'other');
		}

		for (const name of unreachable ?? []) {
			transport.links.set(`host-1 ${name}`, LinkState.Partitioned);
		}

		const confirmation = confirm({expectedTerm: expectedTerm ?? 1}, primary);
		await timerService.advance(300);
		const result = await confirmation;
		expect(result.match(() => 'confirmed', error => error)).toBe(expected);
	});

	it('ignores responses to requests that were sent before the call (they may precede a promotion)', async () => {
		const {timerService, group, confirm} = createScenario(3);
		await timerService.advance(20);
		const first = confirm();
		// The instances have responded to the requests of the first call, and the responses are in flight.
		await timerService.advance(1);
		for (const instance of group.instances.slice(1)) {
			group.raise(instance, 2, 'other');
		}

		group.promote(group.getInstance('db-2'), 2, 'other');
		const second = confirm();
		await timerService.advance(100);
		const [firstResult, secondResult] = await Promise.all([first, second]);
		expect(firstResult.isOk()).toBe(true);
		expect(secondResult._unsafeUnwrapErr()).toBe(ConfirmationError.Replaced);
	});

	it('serves all waiting calls with one request to each member and in little more than a round trip', async () => {
		const {timerService, transport, confirm} = createScenario(3);
		await timerService.advance(20);
		const before = new Map(transport.arrivals);
		let longest = 0;
		let served = 0;
		const call = async () => {
			const start = timerService.now();
			const result = await confirm();
			if (result.isOk()) {
				served++;
				longest = Math.max(longest, timerService.now() - start);
			}
		};

		for (let millisecond = 0; millisecond < 100; millisecond++) {
			for (let index = 0; index < 20; index++) {
				void call();
			}

			await timerService.advance(1);
		}

		await timerService.advance(20);
		expect(served).toBe(2000);
		// The round trip takes 2 ms. In addition to polls, a member gets at most one request per millisecond for 2000 calls.
		expect(longest).toBeLessThanOrEqual(4);
		expect((transport.arrivals.get('db-2') ?? 0) - (before.get('db-2') ?? 0)).toBeLessThan(160);
	});

	it('continues requests to the other members while the responses of one are lost (lost responses must not use up the limit)', async () => {
		const {timerService, transport, confirm} = createScenario(3);
		transport.links.set('host-1 db-3', LinkState.Partitioned);
		const durations: number[] = [];
		for (let index = 0; index < 20; index++) {
			const start = timerService.now();
			const confirmation = confirm();
			await timerService.advance(5);
			const result = await confirmation;
			expect(result.isOk()).toBe(true);
			durations.push(timerService.now() - start);
		}

		expect(Math.max(...durations)).toBeLessThanOrEqual(5);
	});

	it('waits until a majority has the write (a promotion must not lose a replicated write)', async () => {
		const {timerService, group, confirm} = createScenario(3);
		group.write(group.getInstance('db-1'), 'write-1');
		const replicated = confirm({replicated: true});
		const fenced = confirm();
		let done = false;
		void (async () => {
			await replicated;
			done = true;
		})();

		await timerService.advance(50);
		const fencedResult = await fenced;
		expect(fencedResult._unsafeUnwrap()).toEqual({term: 1, index: 1});
		expect(done).toBe(false);
		// Later writes do not advance the position for which the call waits.
		group.write(group.getInstance('db-1'), 'write-2');
		group.replicate(group.getInstance('db-3'), 1);
		await timerService.advance(10);
		expect(done).toBe(true);
		const result = await replicated;
		expect(result._unsafeUnwrap()).toEqual({term: 1, index: 1});
	});

	it('ignores a raised member even if it has the write (its log may be replaced)', async () => {
		const {timerService, group, transport, confirm} = createScenario(3);
		group.write(group.getInstance('db-1'), 'write-1');
		group.replicate(group.getInstance('db-3'), 1);
		group.raise(group.getInstance('db-3'), 2, 'other');
		transport.links.set('host-1 db-2', LinkState.Partitioned);
		const replicated = confirm({replicated: true});
		await timerService.advance(300);
		const result = await replicated;
		expect(result._unsafeUnwrapErr()).toBe(ConfirmationError.TimedOut);
	});

	it('retries a refused request (a lost control connection must not fail a write that the primary accepted)', async () => {
		const {timerService, transport, confirm} = createScenario(3);
		transport.links.set('host-1 db-1', LinkState.Refused);
		const confirmation = confirm();
		await timerService.advance(20);
		transport.links.clear();
		await timerService.advance(20);
		const result = await confirmation;
		expect(result.isOk()).toBe(true);
	});

	it('times out for a group that is not configured', async () => {
		const {host} = createScenario(3);
		const result = await host.confirmation.confirm('group-9', 'db-1', {replicated: false, timeoutMilliseconds: 10});
		expect(result._unsafeUnwrapErr()).toBe(ConfirmationError.TimedOut);
	});
});
