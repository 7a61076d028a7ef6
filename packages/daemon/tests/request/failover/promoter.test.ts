import {ManualTimerService} from '@tarragonstack/core';
import {describe, expect, it} from 'vitest';
import {
	InstanceRole, PromotionError, statusPollBudgetBytesPerSecond, statusPollBytes,
} from '../../../src/index.js';
import {LinkState, SimulatedGroup, TimedTransport} from './simulated-group.js';
import {createGroupDefinition, SimulatedHost} from './simulated-host.js';

const groupName = 'group-1';

class Scenario {
	readonly timerService = new ManualTimerService();
	readonly definition;
	readonly group;
	readonly transport;
	readonly hosts: SimulatedHost[];
	readonly #otherGroups: number;

	constructor(members: number, options: {readonly hosts?: number; readonly leaving?: readonly string[]; readonly otherGroups?: number} = {}) {
		this.#otherGroups = options.otherGroups ?? 0;
		const definition = createGroupDefinition(members);
		this.definition = {
			...definition,
			instances: definition.instances.map(instance =>
				({...instance, leaving: options.leaving?.includes(instance.name) ?? false})),
		};
		this.group = new SimulatedGroup(this.definition, this.timerService);
		this.transport = new TimedTransport(this.group, this.timerService);
		this.group.initialize();
		this.timerService.subscribe(10, () => {
			for (const instance of this.group.instances) {
				this.group.replicate(instance, 100);
			}
		});
		this.hosts = Array.from({length: options.hosts ?? 2}, (_, order) => this.createHost(order));
	}

	createHost(order: number): SimulatedHost {
		return new SimulatedHost({
			name: `host-${order + 1}`,
			order,
			timerService: this.timerService,
			definition: this.definition,
			group: this.group,
			transport: this.transport,
			random: () => (order + 1) / 4,
			otherGroups: this.#otherGroups,
		});
	}

	getHost(order: number): SimulatedHost {
		const host = this.hosts[order];
		if (!host) {
			throw new Error(`host ${order} does not exist`);
		}

		return host;
	}

	/** Isolates an instance from all hosts and from replication. */
	partition(name: string): void {
		for (const host of this.hosts) {
			this.transport.links.set(`${host.name} ${name}`, LinkState.Partitioned);
		}

		for (const {definition} of this.group.instances) {
			this.group.blockedReplication.add(`${definition.name} ${name}`);
			this.group.blockedReplication.add(`${name} ${definition.name}`);
		}
	}

	heal(): void {
		this.transport.links.clear();
		this.group.blockedReplication.clear();
	}

	getPromotions(): Array<[string, number]> {
		return this.group.promotions.slice(1).map(({instance, term}) => [instance, term]);
	}

	getFollowers(primary: string): string[] {
		const {address} = this.group.getInstance(primary).definition;
		return this.group.instances.filter(instance => instance.following === address).map(({definition}) => definition.name);
	}

	/** Advances the time until the next promotion or up to the limit. Returns the elapsed time. */
	async waitForPromotion(limit: number): Promise<number> {
		const start = this.timerService.now();
		const before = this.group.promotions.length;
		while (this.group.promotions.length === before && this.timerService.now() - start < limit) {
			await this.timerService.advance(5);
		}

		return this.timerService.now() - start;
	}
}

describe('Promoter', () => {
	it.each([
		{members: 3, limit: 350, guards: 'a killed primary that is detected only by the suspicion timeout'},
		{members: 5, limit: 350, guards: 'a majority of three among four reachable members'},
	])('replaces a killed primary of $members within $limit ms ($guards)', async ({members, limit}) => {
		const scenario = new Scenario(members);
		await scenario.timerService.advance(1000);
		scenario.group.getInstance('db-1').alive = false;
		expect(await scenario.waitForPromotion(3000)).toBeLessThan(limit);
		await scenario.timerService.advance(2000);
		expect(scenario.getPromotions()).toEqual([['db-2', 2]]);
		expect(scenario.hosts.map(host => host.monitor.getPrimary(groupName))).toEqual([
			{instance: 'db-2', term: 2}, {instance: 'db-2', term: 2},
		]);
		expect(scenario.getFollowers('db-2')).toContain('db-3');
	});

	it('replaces a partitioned primary within 1 s and truncates its extra entries when it returns (split brain)', async () => {
		const scenario = new Scenario(3);
		await scenario.timerService.advance(1000);
		scenario.partition('db-1');
		const old = scenario.group.getInstance('db-1');
		scenario.group.write(old, 'lost-1');
		scenario.group.write(old, 'lost-2');
		expect(await scenario.waitForPromotion(3000)).toBeLessThan(1000);
		scenario.heal();
		await scenario.timerService.advance(3000);
		expect(old.role).toBe(InstanceRole.Replica);
		expect(old.following).toBe(scenario.group.getInstance('db-2').definition.address);
		expect(old.log).toHaveLength(0);
		const lost = scenario.hosts.map(host => host.metrics.counts.get('promotion.lost_entries') ?? 0);
		expect(lost.reduce((sum, value) => sum + value)).toBe(2);
		expect(scenario.getPromotions()).toHaveLength(1);
	});

	it('keeps the poll budget at the target size and still replaces a partitioned primary within 9 s', async () => {
		const scenario = new Scenario(3, {otherGroups: 366});
		await scenario.timerService.advance(10_000);
		const countArrivals = () => [...scenario.transport.arrivals.values()].reduce((sum, value) => sum + value, 0);
		const before = countArrivals();
		await scenario.timerService.advance(60_000);
		const pollsPerSecondAndHost = (countArrivals() - before) / 60 / scenario.hosts.length;
		expect(pollsPerSecondAndHost * statusPollBytes).toBeLessThan(statusPollBudgetBytesPerSecond * 1.05);
		scenario.partition('db-1');
		expect(await scenario.waitForPromotion(20_000)).toBeLessThan(4000);
		expect(scenario.getPromotions()).toEqual([['db-2', 2]]);
	});

	it('keeps a stalled primary from which the replicas still receive (a slow host has not failed)', async () => {
		const scenario = new Scenario(3);
		await scenario.timerService.advance(1000);
		scenario.group.getInstance('db-1').stalled = true;
		await scenario.timerService.advance(10_000);
		expect(scenario.getPromotions()).toEqual([]);
	});

	it('keeps a primary that only this host cannot reach', async () => {
		const scenario = new Scenario(3, {hosts: 1});
		await scenario.timerService.advance(1000);
		scenario.transport.links.set('host-1 db-1', LinkState.Partitioned);
		await scenario.timerService.advance(10_000);
		expect(scenario.getPromotions()).toEqual([]);
	});

	it('keeps a primary that a newly started host cannot reach (a host without observations must not promote)', async () => {
		const scenario = new Scenario(3, {hosts: 0});
		scenario.transport.links.set('host-1 db-1', LinkState.Partitioned);
		scenario.hosts.push(scenario.createHost(0));
		await scenario.timerService.advance(10_000);
		expect(scenario.getPromotions()).toEqual([]);
	});

	it.each([{pause: 300}, {pause: 5000}])('promotes nothing after its own pause of $pause ms (unread responses look like failures)', async ({pause}) => {
		const scenario = new Scenario(3, {hosts: 1});
		await scenario.timerService.advance(1000);
		const host = scenario.getHost(0);
		host.timerService.paused = true;
		await scenario.timerService.advance(pause);
		host.timerService.resume();
		await scenario.timerService.advance(2000);
		expect(scenario.getPromotions()).toEqual([]);
	});

	it('promotes nothing when a short partition ends during its own pause (outdated observations look like a failure)', async () => {
		const scenario = new Scenario(3, {hosts: 1});
		await scenario.timerService.advance(1000);
		const host = scenario.getHost(0);
		scenario.partition('db-1');
		await scenario.timerService.advance(450);
		host.timerService.paused = true;
		scenario.heal();
		await scenario.timerService.advance(300);
		host.timerService.resume();
		await scenario.timerService.advance(2000);
		expect(scenario.getPromotions()).toEqual([]);
	});

	it('promotes from the second host when the first one does not (a crashed promoter must not block the group)', async () => {
		const scenario = new Scenario(3);
		await scenario.timerService.advance(1000);
		await scenario.getHost(0).stop();
		scenario.group.getInstance('db-1').alive = false;
		expect(await scenario.waitForPromotion(3000)).toBeLessThan(500);
		expect(scenario.getPromotions()).toEqual([['db-2', 2]]);
	});

	it('results in one primary when two promoters start at the same time (competing raises)', async () => {
		const scenario = new Scenario(3, {hosts: 0});
		scenario.hosts.push(scenario.createHost(0), new SimulatedHost({
			name: 'host-b',
			order: 0,
			timerService: scenario.timerService,
			definition: scenario.definition,
			group: scenario.group,
			transport: scenario.transport,
			random: () => 0.9,
		}));
		await scenario.timerService.advance(1000);
		scenario.group.getInstance('db-1').alive = false;
		await scenario.timerService.advance(4000);
		const primaries = scenario.group.instances.filter(instance => instance.alive && instance.role === InstanceRole.Primary);
		expect(primaries).toHaveLength(1);
		const terms = scenario.group.promotions.map(promotion => promotion.term);
		expect(new Set(terms).size).toBe(terms.length);
	});

	it('promotes at a greater term after a promoter crashed between raise and promote (a raised term without a primary)', async () => {
		const scenario = new Scenario(3);
		await scenario.timerService.advance(1000);
		scenario.group.getInstance('db-1').alive = false;
		scenario.group.raise(scenario.group.getInstance('db-2'), 2, 'dead-promoter');
		scenario.group.raise(scenario.group.getInstance('db-3'), 2, 'dead-promoter');
		expect(await scenario.waitForPromotion(3000)).toBeLessThan(1000);
		expect(scenario.getPromotions()).toEqual([['db-2', 3]]);
	});

	it('promotes after a promoter crashed that had also raised the healthy primary', async () => {
		const scenario = new Scenario(3);
		await scenario.timerService.advance(1000);
		for (const instance of scenario.group.instances) {
			scenario.group.raise(instance, 2, 'dead-promoter');
		}

		expect(await scenario.waitForPromotion(3000)).toBeLessThan(1000);
		expect(scenario.getPromotions()).toEqual([['db-1', 3]]);
	});

	it('restores a replica that a crashed promoter raised and keeps the primary (the replica no longer replicates)', async () => {
		const scenario = new Scenario(3);
		await scenario.timerService.advance(1000);
		scenario.group.raise(scenario.group.getInstance('db-3'), 2, 'dead-promoter');
		await scenario.timerService.advance(500);
		expect(scenario.getPromotions()).toEqual([]);
		await scenario.timerService.advance(2000);
		expect(scenario.getPromotions()).toEqual([['db-1', 3]]);
		expect(scenario.getFollowers('db-1')).toEqual(['db-2', 'db-3']);
	});

	it('promotes the replica with the greatest position (promoting the other one would lose entries)', async () => {
		const scenario = new Scenario(3);
		await scenario.timerService.advance(1000);
		scenario.group.blockedReplication.add('db-1 db-2');
		scenario.group.write(scenario.group.getInstance('db-1'), 'write-1');
		await scenario.timerService.advance(50);
		scenario.group.getInstance('db-1').alive = false;
		await scenario.waitForPromotion(3000);
		expect(scenario.getPromotions()).toEqual([['db-3', 2]]);
	});

	it.each([
		{behind: false, expected: [['db-3', 2]], guards: 'a leaving instance preferred over one with an equal position'},
		{behind: true, expected: [['db-2', 2], ['db-3', 3]], guards: 'entries lost because the instance that has them is leaving'},
	])('handles a leaving candidate ($guards)', async ({behind, expected}) => {
		const scenario = new Scenario(3, {leaving: ['db-2']});
		await scenario.timerService.advance(1000);
		if (behind) {
			scenario.group.blockedReplication.add('db-1 db-3');
			scenario.group.write(scenario.group.getInstance('db-1'), 'write-1');
			await scenario.timerService.advance(50);
		}

		scenario.group.getInstance('db-1').alive = false;
		await scenario.timerService.advance(4000);
		expect(scenario.getPromotions()).toEqual(expected);
		expect(scenario.group.getInstance('db-3').log).toHaveLength(behind ? 1 : 0);
	});

	it('replaces a leaving primary by a planned switchover without loss and with little unavailability', async () => {
		const scenario = new Scenario(3, {leaving: ['db-1']});
		let accepted = 0;
		let unavailableMilliseconds = 0;
		scenario.timerService.subscribe(1, () => {
			const primary = scenario.group.instances.find(instance => instance.role === InstanceRole.Primary);
			if (primary && scenario.group.write(primary, `write-${accepted}`)) {
				accepted++;
			} else {
				unavailableMilliseconds++;
			}
		});
		await scenario.timerService.advance(3000);
		expect(scenario.getPromotions()).toEqual([['db-2', 2]]);
		expect(scenario.group.getInstance('db-2').log).toHaveLength(accepted);
		expect(unavailableMilliseconds).toBeLessThan(100);
	});

	it.each([
		{members: 1, guards: 'a group of one'},
		{members: 2, guards: 'a group of two'},
	])('does not promote without a majority in $guards, and keeps the primary when it comes back', async ({members}) => {
		const scenario = new Scenario(members);
		await scenario.timerService.advance(1000);
		const primary = scenario.group.getInstance('db-1');
		primary.alive = false;
		await scenario.timerService.advance(5000);
		expect(scenario.getPromotions()).toEqual([]);
		primary.alive = true;
		await scenario.timerService.advance(2000);
		expect(scenario.getHost(0).monitor.getPrimary(groupName)).toEqual({instance: 'db-1', term: 1});
	});

	it('switches over a group of two on request (two members are a majority while both work)', async () => {
		const scenario = new Scenario(2);
		await scenario.timerService.advance(1000);
		const result = scenario.getHost(0).promoter.promoteManually(groupName, 'db-2');
		await scenario.timerService.advance(1000);
		const promoted = await result;
		expect(promoted._unsafeUnwrap()).toEqual({instance: 'db-2', term: 2});
		expect(scenario.getFollowers('db-2')).toEqual(['db-1']);
	});

	it.each([
		{group: 'group-9', instance: undefined, error: PromotionError.UnknownGroup},
		{group: groupName, instance: 'db-9', error: PromotionError.UnknownGroup},
		{group: groupName, instance: 'db-3', error: PromotionError.CandidateBehind},
	])('reports $error for a manual promotion of $instance in $group', async ({group, instance, error}) => {
		const scenario = new Scenario(3);
		scenario.group.blockedReplication.add('db-1 db-3');
		scenario.group.write(scenario.group.getInstance('db-1'), 'write-1');
		await scenario.timerService.advance(1000);
		const result = scenario.getHost(0).promoter.promoteManually(group, instance);
		await scenario.timerService.advance(1000);
		const promoted = await result;
		expect(promoted._unsafeUnwrapErr()).toBe(error);
	});

	it('promotes an instance in a group that has never had a primary', async () => {
		const scenario = new Scenario(3, {hosts: 0});
		for (const instance of scenario.group.instances) {
			instance.term = 0;
			instance.primaryTerm = 0;
			instance.following = '';
		}

		scenario.hosts.push(scenario.createHost(0));
		await scenario.timerService.advance(2000);
		expect(scenario.getPromotions()).toEqual([['db-1', 1]]);
	});
});
