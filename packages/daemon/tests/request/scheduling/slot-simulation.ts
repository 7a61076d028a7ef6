import {
	ManualTimerService, type Rank, type RefusalReason, RequestKind,
} from '@tarragonstack/core';
import {type SchedulingPolicy} from '../../../src/request/scheduling/scheduling-policy.js';
import {SlotQueue, type SlotRequest} from '../../../src/request/scheduling/slot-queue.js';

/** Stream of identical requests at a constant rate. */
export type Stream = {
	readonly name: string;
	readonly rank: Rank;
	readonly customer?: string;
	readonly customerWeight?: number;
	readonly perSecond: number;
	readonly serviceMilliseconds: number;
	readonly targetMilliseconds: number;
	readonly timeoutMilliseconds?: number;
	readonly lateRefund: number;
	readonly refusedRefund?: number;
	readonly floorShare?: number;
	readonly startsAt?: number;
};

export type StreamOutcome = {
	sent: number;
	onTime: number;
	late: number;
	refused: number;
	slotMilliseconds: number;
	readonly reasons: Map<RefusalReason, number>;
};

export type SimulationOptions = {
	readonly policy: SchedulingPolicy;
	readonly slots: number;
	readonly durationMilliseconds: number;
	readonly streams: readonly Stream[];
	/** Returns the actual service time of each statement. By default, service times are constant. */
	readonly varyService?: (milliseconds: number) => number;
};

export type SimulationResult = {
	readonly outcomes: Readonly<Record<string, StreamOutcome>>;
	readonly refund: number;
	readonly maximumRunning: number;
	readonly maximumWaiting: number;
};

/** Runs streams of requests against a slot queue in simulated time. */
export async function simulate(options: SimulationOptions): Promise<SimulationResult> {
	const timerService = new ManualTimerService();
	const queue = new SlotQueue({
		timerService, policy: options.policy, slots: options.slots, maximumEntries: 2000, maximumBytes: 10_000_000,
	});
	const outcomes: Record<string, StreamOutcome> = {};
	let refund = 0;
	let running = 0;
	let maximumRunning = 0;
	let maximumWaiting = 0;
	const runRequest = async (stream: Stream, outcome: StreamOutcome) => {
		const sentAt = timerService.now();
		const lateAt = sentAt + stream.targetMilliseconds;
		outcome.sent++;
		const slot = await queue.acquire(createRequest(stream, sentAt), new AbortController().signal);
		maximumWaiting = Math.max(maximumWaiting, queue.waitingCount);
		if (slot.isErr()) {
			outcome.refused++;
			outcome.reasons.set(slot.error.reason, (outcome.reasons.get(slot.error.reason) ?? 0) + 1);
			refund += stream.refusedRefund ?? stream.lateRefund;
			return;
		}

		running++;
		maximumRunning = Math.max(maximumRunning, running);
		const service = options.varyService?.(stream.serviceMilliseconds) ?? stream.serviceMilliseconds;
		await timerService.sleep(service);
		running--;
		outcome.slotMilliseconds += service;
		slot.value.release(true);
		if (timerService.now() <= lateAt) {
			outcome.onTime++;
		} else {
			outcome.late++;
			refund += stream.lateRefund;
		}
	};

	const requests: Array<Promise<void>> = [];
	for (const stream of options.streams) {
		const outcome: StreamOutcome = {
			sent: 0, onTime: 0, late: 0, refused: 0, slotMilliseconds: 0, reasons: new Map(),
		};
		outcomes[stream.name] = outcome;
		timerService.schedule(stream.startsAt ?? 0, () => {
			const subscription = timerService.subscribe(1000 / stream.perSecond, now => {
				if (now <= options.durationMilliseconds) {
					requests.push(runRequest(stream, outcome));
				} else {
					subscription[Symbol.dispose]();
				}
			});
		});
	}

	await timerService.advance(options.durationMilliseconds + 20_000);
	await Promise.all(requests);
	return {
		outcomes, refund, maximumRunning, maximumWaiting,
	};
}

function createRequest(stream: Stream, now: number): SlotRequest {
	return {
		customer: stream.customer ?? 'a',
		customerWeight: stream.customerWeight ?? 1,
		rank: stream.rank,
		kind: RequestKind.Read,
		floorShare: stream.floorShare ?? 0,
		lateRefund: stream.lateRefund,
		refusedRefund: stream.refusedRefund ?? stream.lateRefund,
		bytes: 100,
		lateAt: now + stream.targetMilliseconds,
		timeoutAt: now + (stream.timeoutMilliseconds ?? 4 * stream.targetMilliseconds),
		isInTransaction: false,
	};
}
