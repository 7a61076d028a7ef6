import {
	ManualTimerService, Rank, RefusalReason, RequestKind,
} from '@tarragonstack/core';
import {describe, expect, it} from 'vitest';
import {SchedulingPolicy} from '../../../src/request/scheduling/scheduling-policy.js';
import {SlotQueue, type SlotRequest} from '../../../src/request/scheduling/slot-queue.js';

function createQueue(timerService: ManualTimerService, policy = SchedulingPolicy.FirstInFirstOut): SlotQueue {
	return new SlotQueue({
		timerService, policy, slots: 1, maximumEntries: 3, maximumBytes: 1000,
	});
}

function createRequest(overrides: Partial<SlotRequest> = {}): SlotRequest {
	return {
		customer: 'a',
		customerWeight: 1,
		rank: Rank.Urgent,
		kind: RequestKind.Read,
		floorShare: 0,
		lateRefund: 1,
		refusedRefund: 1,
		bytes: 100,
		lateAt: 100,
		timeoutAt: 200,
		isInTransaction: false,
		...overrides,
	};
}

const {signal} = new AbortController();

describe('SlotQueue', () => {
	it.each([
		{waiting: 3, bytes: 100, guards: 'an unbounded number of entries'},
		{waiting: 2, bytes: 900, guards: 'an unbounded total size'},
	])('refuses work with a retry hint if the queue is full (guards against $guards)', async ({waiting, bytes}) => {
		const timerService = new ManualTimerService();
		const queue = createQueue(timerService);
		await queue.acquire(createRequest(), signal);
		for (let count = 0; count < waiting; count++) {
			void queue.acquire(createRequest(), signal);
		}

		const refused = await queue.acquire(createRequest({bytes}), signal);
		expect(refused._unsafeUnwrapErr().reason).toBe(RefusalReason.Overloaded);
		expect(refused._unsafeUnwrapErr().retryAfterMilliseconds).toBeGreaterThan(0);
		queue.close();
	});

	it('admits work of an open transaction even if the queue is full, because a refusal would waste the earlier work of the transaction', async () => {
		const timerService = new ManualTimerService();
		const queue = createQueue(timerService);
		const first = await queue.acquire(createRequest(), signal);
		const waiting = [1, 2, 3].map(() => queue.acquire(createRequest(), signal));
		const continuation = queue.acquire(createRequest({isInTransaction: true}), signal);
		expect(queue.waitingCount).toBe(4);
		first._unsafeUnwrap().release(true);
		for (const slot of waiting) {
			const granted = await slot;
			granted._unsafeUnwrap().release(true);
		}

		const granted = await continuation;
		expect(granted.isOk()).toBe(true);
	});

	it.each(Object.values(SchedulingPolicy))('removes waiting work when it times out under %s (guards against work that no caller waits for)', async policy => {
		const timerService = new ManualTimerService();
		const queue = createQueue(timerService, policy);
		await queue.acquire(createRequest(), signal);
		const waiting = queue.acquire(createRequest({refusedRefund: 2}), signal);
		await timerService.advance(201);
		const result = await waiting;
		expect(result._unsafeUnwrapErr().reason).toBe(RefusalReason.DeadlineExceeded);
		expect(queue.waitingCount).toBe(0);
	});

	it.each(Object.values(SchedulingPolicy))('reports a growing wait while a statement does not finish under %s (guards against routing to a stalled instance)', async policy => {
		const timerService = new ManualTimerService();
		const queue = createQueue(timerService, policy);
		await queue.acquire(createRequest(), signal);
		await timerService.advance(1000);
		expect(queue.getLoad().expectedWaitMilliseconds[Rank.Urgent]).toBeGreaterThan(900);
	});

	it('refuses waiting and new work after it is closed', async () => {
		const queue = createQueue(new ManualTimerService());
		await queue.acquire(createRequest(), signal);
		const waiting = queue.acquire(createRequest(), signal);
		queue.close();
		const results = await Promise.all([waiting, queue.acquire(createRequest(), signal)]);
		expect(results.map(result => result._unsafeUnwrapErr().reason)).toEqual([RefusalReason.Stopping, RefusalReason.Stopping]);
	});
});
