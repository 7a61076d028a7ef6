import {ManualTimerService} from '@tarragonstack/core';
import {describe, expect, it} from 'vitest';
import {
	getStatusPollIntervalMilliseconds, type PrimaryView, statusPollBudgetBytesPerSecond, statusPollBytes,
} from '../../../src/index.js';
import {LinkState, SimulatedGroup, TimedTransport} from './simulated-group.js';
import {createGroupDefinition, SimulatedHost} from './simulated-host.js';

const groupName = 'group-1';

function createScenario() {
	const timerService = new ManualTimerService();
	const definition = createGroupDefinition(3);
	const group = new SimulatedGroup(definition, timerService);
	group.initialize();
	const transport = new TimedTransport(group, timerService);
	const host = new SimulatedHost({
		name: 'host-1', order: 0, timerService, definition, group, transport,
	});
	host.promoter[Symbol.dispose]();
	return {
		timerService, group, transport, host, monitor: host.monitor,
	};
}

describe('GroupMonitor', () => {
	it('polls every member every 50 ms and finds the primary', async () => {
		const {timerService, transport, monitor, host} = createScenario();
		await timerService.advance(1000);
		expect(monitor.getPrimary(groupName)).toEqual({instance: 'db-1', term: 1});
		for (const name of ['db-1', 'db-2', 'db-3']) {
			expect(transport.arrivals.get(name)).toBeGreaterThanOrEqual(19);
			expect(transport.arrivals.get(name)).toBeLessThanOrEqual(21);
		}

		await host.stop();
	});

	it.each([
		{
			guards: 'a late response of the same term', known: {term: 2, observedAt: 20}, late: {term: 2, observedAt: 10}, kept: 20,
		},
		{
			guards: 'a late response of an older term', known: {term: 3, observedAt: 20}, late: {term: 2, observedAt: 30}, kept: 20,
		},
		{
			guards: 'a newer term that was requested earlier', known: {term: 2, observedAt: 20}, late: {term: 3, observedAt: 10}, kept: 10,
		},
		{
			guards: 'a newer response', known: {term: 2, observedAt: 20}, late: {term: 2, observedAt: 30}, kept: 30,
		},
	])('keeps the newest status after $guards', async ({known, late, kept}) => {
		const {group, monitor, host} = createScenario();
		const status = group.getInstance('db-2').getStatus(0, 0);
		monitor.recordStatus(groupName, {...status, ...known});
		monitor.recordStatus(groupName, {...status, ...late});
		expect(monitor.getStatus('db-2')?.observedAt).toBe(kept);
		await host.stop();
	});

	it('keeps the primary of the greatest term, whether polled or learned, and reports changes once', async () => {
		const {timerService, monitor, host} = createScenario();
		const changes: PrimaryView[] = [];
		const subscription = monitor.subscribe((_, primary) => {
			changes.push(primary);
		});
		await timerService.advance(60);
		monitor.learnPrimary(groupName, {instance: 'db-2', term: 2});
		monitor.learnPrimary(groupName, {instance: 'db-3', term: 1});
		// The polls still return the old primary.
		await timerService.advance(200);
		subscription[Symbol.dispose]();
		monitor.learnPrimary(groupName, {instance: 'db-3', term: 3});
		expect(changes).toEqual([{instance: 'db-1', term: 1}, {instance: 'db-2', term: 2}]);
		expect(monitor.getPrimary(groupName)).toEqual({instance: 'db-3', term: 3});
		await host.stop();
	});

	it('knows only the announced primary of a group in which this host owns no member', async () => {
		const {monitor, host} = createScenario();
		expect(monitor.getPrimary('group-2')).toBeUndefined();
		monitor.learnPrimary('group-2', {instance: 'other', term: 4});
		expect(monitor.getPrimary('group-2')).toEqual({instance: 'other', term: 4});
		expect(monitor.getStatus('other')).toBeUndefined();
		await host.stop();
	});

	it('measures the time without a response and counts refused attempts, and resets both on a response', async () => {
		const {timerService, transport, monitor, host} = createScenario();
		await timerService.advance(100);
		transport.links.set('host-1 db-1', LinkState.Refused);
		await timerService.advance(400);
		const reachability = monitor.getReachability('db-1');
		expect(reachability?.refusedAttempts).toBeGreaterThanOrEqual(2);
		expect(reachability?.getUnansweredMilliseconds(timerService.now())).toBeGreaterThan(340);
		transport.links.clear();
		await timerService.advance(60);
		expect(reachability?.refusedAttempts).toBe(0);
		expect(reachability?.getUnansweredMilliseconds(timerService.now())).toBeLessThan(50);
		await host.stop();
	});
});

describe('getStatusPollIntervalMilliseconds', () => {
	it.each([
		{
			polled: 5, configured: 9, least: 50, most: 50, guards: 'slow detection in the current deployments',
		},
		{
			polled: 9, configured: 9, least: 50, most: 50, guards: 'slow detection on a host that owns a member of every group',
		},
		{
			polled: 6, configured: 100, least: 150, most: 250, guards: 'a jump of the interval between the two sizes',
		},
		{
			polled: 7, configured: 1100, least: 2000, most: 3000, guards: 'control traffic beyond the budget at the target size',
		},
	])('stays between $least and $most ms for $polled of $configured instances ($guards)', ({polled, configured, least, most}) => {
		const interval = getStatusPollIntervalMilliseconds(polled, configured);
		expect(interval).toBeGreaterThanOrEqual(least);
		expect(interval).toBeLessThanOrEqual(most);
		if (configured >= 1100) {
			expect(polled * statusPollBytes * 1000 / interval).toBeLessThanOrEqual(statusPollBudgetBytesPerSecond);
		}
	});
});
