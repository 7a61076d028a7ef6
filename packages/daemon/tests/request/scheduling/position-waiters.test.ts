import {ManualTimerService, type LogPosition} from '@tarragonstack/core';
import {describe, expect, it} from 'vitest';
import {InstanceRole, PositionWaiters, type GroupView, type InstanceStatus} from '../../../src/index.js';

/** View of one replica that changes only when its status is requested. */
class ReplicaHarness {
	readonly timerService = new ManualTimerService();
	appliedPosition: LogPosition = {term: 1, index: 0};
	statusRequests = 0;
	reportedPosition: LogPosition = {term: 1, index: 0};
	readonly waiters = new PositionWaiters({
		timerService: this.timerService,
		groupView: {
			getPrimary: () => ({instance: 'primary', term: 1}),
			getStatus: (): Partial<InstanceStatus> => ({role: InstanceRole.Replica, position: this.reportedPosition}),
		} as unknown as GroupView,
		group: 'g',
		instance: 'replica',
		refreshStatus: async () => {
			this.statusRequests++;
			await this.timerService.sleep(1);
			this.reportedPosition = this.appliedPosition;
		},
	});
}

describe('PositionWaiters', () => {
	it('requests the status immediately (guards against a wait until the next regular poll)', async () => {
		const harness = new ReplicaHarness();
		harness.appliedPosition = {term: 1, index: 5};
		const wait = harness.waiters.waitFor({term: 1, index: 5}, 100);
		await harness.timerService.advance(2);
		expect(await wait).toBe(true);
	});

	it('sends one status request for all waiting requests', async () => {
		const harness = new ReplicaHarness();
		harness.appliedPosition = {term: 1, index: 5};
		const waits = Array.from({length: 50}, async () => harness.waiters.waitFor({term: 1, index: 5}, 100));
		await harness.timerService.advance(5);
		expect(await Promise.all(waits)).toEqual(Array.from({length: 50}, () => true));
		expect(harness.statusRequests).toBe(1);
	});

	it.each([
		{deadline: 10, reachedAfter: 5, expected: true, guards: 'a timeout although the replica catches up before the deadline'},
		{deadline: 10, reachedAfter: 20, expected: false, guards: 'a wait beyond the deadline'},
		{deadline: 0, reachedAfter: 20, expected: false, guards: 'a wait when the deadline has already passed'},
	])('resolves to $expected (guards against $guards)', async ({deadline, reachedAfter, expected}) => {
		const harness = new ReplicaHarness();
		harness.timerService.schedule(reachedAfter, () => {
			harness.appliedPosition = {term: 1, index: 5};
		});
		const wait = harness.waiters.waitFor({term: 1, index: 5}, deadline);
		await harness.timerService.advance(30);
		expect(await wait).toBe(expected);
	});
});
