import {Rank, RefusalReason} from '@tarragonstack/core';
import {describe, expect, it} from 'vitest';
import {SchedulingPolicy} from '../../../src/request/scheduling/scheduling-policy.js';
import {simulate, type Stream, type StreamOutcome} from './slot-simulation.js';

const slots = 3;
const durationMilliseconds = 4000;
const serviceMilliseconds = 5;

/** Statements of 5 ms per second that three slots can serve. */
const capacityPerSecond = 600;

/** Load of 70% of the capacity in the three ranks. The floors leave 35% of the capacity to the order by refund. */
const steadyStreams: readonly Stream[] = [
	{
		name: 'urgent', rank: Rank.Urgent, perSecond: 170, serviceMilliseconds, targetMilliseconds: 60, lateRefund: 50, floorShare: 0.4,
	},
	{
		name: 'middle', rank: Rank.Middle, perSecond: 130, serviceMilliseconds, targetMilliseconds: 200, lateRefund: 5, floorShare: 0.15,
	},
	{
		name: 'least', rank: Rank.Least, perSecond: 120, serviceMilliseconds, targetMilliseconds: 500, lateRefund: 1, floorShare: 0.1,
	},
];

function replaceRate(name: string, perSecond: number): Stream[] {
	return steadyStreams.map(stream => stream.name === name ? {...stream, perSecond} : stream);
}

function getOnTimeShare(outcome: StreamOutcome | undefined): number {
	return outcome ? outcome.onTime / outcome.sent : 0;
}

/** Returns exponentially distributed service times from a linear congruential generator with a fixed seed. */
function createExponentialSampler(): (milliseconds: number) => number {
	let state = 1;
	return milliseconds => {
		state = (state * 48_271) % 2_147_483_647;
		return -Math.log(1 - (state / 2_147_483_647)) * milliseconds;
	};
}

describe('SchedulingPolicy.RefundPerSlotTime', () => {
	it.each([
		{
			flood: 'nothing', streams: steadyStreams, urgent: 0.999, middle: 0.999, guards: 'refusals below capacity',
		},
		{
			flood: 'least at 10 times capacity', streams: replaceRate('least', 10 * capacityPerSecond), urgent: 0.995, middle: 0.99,
			guards: 'cheap work that makes valuable work late',
		},
		{
			flood: 'middle at 4 times capacity', streams: replaceRate('middle', 4 * capacityPerSecond), urgent: 0.995, middle: 0,
			guards: 'middle work that makes urgent work late',
		},
	].flatMap(row => [{...row, isVaried: false}, {...row, isVaried: true}]))('keeps higher ranks on time in a flood of $flood (varied: $isVaried; guards against $guards)', async row => {
		const {streams, urgent, middle, isVaried} = row;
		const {outcomes, maximumRunning} = await simulate({
			policy: SchedulingPolicy.RefundPerSlotTime, slots, durationMilliseconds, streams,
			...(isVaried && {varyService: createExponentialSampler()}),
		});
		expect(maximumRunning).toBeLessThanOrEqual(slots);
		expect(getOnTimeShare(outcomes.urgent)).toBeGreaterThanOrEqual(urgent);
		expect(getOnTimeShare(outcomes.middle)).toBeGreaterThanOrEqual(middle);
	});

	it('serves a flooded least rank on time with at least 90% of the remaining capacity', async () => {
		const {outcomes} = await simulate({
			policy: SchedulingPolicy.RefundPerSlotTime, slots, durationMilliseconds, streams: replaceRate('least', 6000),
		});
		const remaining = (slots * durationMilliseconds) - outcomes.urgent!.slotMilliseconds - outcomes.middle!.slotMilliseconds;
		expect(outcomes.least!.onTime * serviceMilliseconds).toBeGreaterThanOrEqual(0.9 * remaining);
	});

	// Guards against a flood of urgent work that makes even the accepted urgent work late.
	it('maintains the floors in a flood of urgent work, and serves the accepted urgent work on time', async () => {
		const {outcomes} = await simulate({
			policy: SchedulingPolicy.RefundPerSlotTime, slots, durationMilliseconds, streams: replaceRate('urgent', 3 * capacityPerSecond),
		});
		const capacity = slots * durationMilliseconds;
		expect(outcomes.middle!.onTime * serviceMilliseconds).toBeGreaterThanOrEqual(0.9 * 0.15 * capacity);
		expect(outcomes.least!.onTime * serviceMilliseconds).toBeGreaterThanOrEqual(0.9 * 0.1 * capacity);
		expect(outcomes.urgent!.onTime * serviceMilliseconds).toBeGreaterThanOrEqual(0.9 * 0.75 * capacity);
		expect(outcomes.urgent!.late).toBeLessThanOrEqual(0.01 * outcomes.urgent!.onTime);
	});

	it('refuses the surplus of a flood as overload (guards against work that waits until it times out)', async () => {
		const {outcomes} = await simulate({
			policy: SchedulingPolicy.RefundPerSlotTime, slots, durationMilliseconds, streams: replaceRate('urgent', 1800),
		});
		expect([...outcomes.urgent!.reasons.keys()]).toEqual([RefusalReason.Overloaded]);
	});

	it('serves cheap work that would become late before urgent work that can wait', async () => {
		const streams: Stream[] = [
			{
				name: 'burst', rank: Rank.Urgent, perSecond: 1000, serviceMilliseconds: 10, targetMilliseconds: 2000, lateRefund: 50,
			},
			{
				name: 'cheap', rank: Rank.Least, perSecond: 20, serviceMilliseconds: 10, targetMilliseconds: 60, lateRefund: 1, startsAt: 20,
			},
		];
		// 100 urgent statements arrive within 100 ms. They need about 330 ms of their target of 2 s.
		const {outcomes} = await simulate({
			policy: SchedulingPolicy.RefundPerSlotTime, slots, durationMilliseconds: 100, streams,
		});
		expect(outcomes.burst!.onTime).toBe(outcomes.burst!.sent);
		expect(outcomes.cheap!.onTime).toBe(outcomes.cheap!.sent);
	});

	it.each([
		{weight: 1, expected: 0.5, guards: 'a customer that gets less service because another one sends more requests'},
		{weight: 3, expected: 0.75, guards: 'weights that have no effect'},
	])('divides a rank between customers by weight $weight : 1 (guards against $guards)', async ({weight, expected}) => {
		const stream = {
			rank: Rank.Urgent, serviceMilliseconds, targetMilliseconds: 100, lateRefund: 10,
		};
		const {outcomes} = await simulate({
			policy: SchedulingPolicy.RefundPerSlotTime, slots, durationMilliseconds, streams: [
				{
					...stream, name: 'a', customer: 'a', customerWeight: weight, perSecond: 800,
				},
				{
					...stream, name: 'b', customer: 'b', perSecond: 2000,
				},
			],
		});
		const share = outcomes.a!.slotMilliseconds / (outcomes.a!.slotMilliseconds + outcomes.b!.slotMilliseconds);
		expect(share).toBeGreaterThan(expected - 0.05);
		expect(share).toBeLessThan(expected + 0.05);
	});

	it('serves late work only after work that is on time, and does not refuse it if a refusal costs more', async () => {
		const {outcomes} = await simulate({
			policy: SchedulingPolicy.RefundPerSlotTime, slots: 1, durationMilliseconds: 1000, streams: [
				{
					name: 'impossible', rank: Rank.Urgent, perSecond: 20, serviceMilliseconds: 10, targetMilliseconds: 5,
					timeoutMilliseconds: 5000, lateRefund: 10, refusedRefund: 100,
				},
				{
					name: 'possible', rank: Rank.Least, perSecond: 80, serviceMilliseconds: 10, targetMilliseconds: 50, lateRefund: 1,
				},
			],
		});
		expect(outcomes.impossible).toMatchObject({refused: 0, onTime: 0});
		expect(getOnTimeShare(outcomes.possible)).toBeGreaterThan(0.97);
	});

	it('corrects an estimate that is too high (guards against endless refusals after a slow start)', async () => {
		let served = 0;
		const {outcomes} = await simulate({
			policy: SchedulingPolicy.RefundPerSlotTime,
			slots: 1,
			durationMilliseconds: 10_000,
			streams: [{
				name: 'urgent', rank: Rank.Urgent, perSecond: 50, serviceMilliseconds: 5, targetMilliseconds: 60, lateRefund: 10,
			}],
			varyService: milliseconds => served++ < 20 ? 200 : milliseconds,
		});
		expect(outcomes.urgent!.onTime).toBeGreaterThan(0.5 * outcomes.urgent!.sent);
	});

	it.each([
		{flood: 'least', perSecond: 6000},
		{flood: 'middle', perSecond: 2400},
		{flood: 'urgent', perSecond: 1800},
	])('incurs less refund than both baselines in a flood of $flood', async ({flood, perSecond}) => {
		const refunds = new Map<SchedulingPolicy, number>();
		for (const policy of Object.values(SchedulingPolicy)) {
			const {refund} = await simulate({
				policy, slots, durationMilliseconds: 2000, streams: replaceRate(flood, perSecond),
			});
			refunds.set(policy, refund);
		}

		const own = refunds.get(SchedulingPolicy.RefundPerSlotTime)!;
		expect(own).toBeLessThan(refunds.get(SchedulingPolicy.FirstInFirstOut)!);
		expect(own).toBeLessThan(refunds.get(SchedulingPolicy.StrictPriority)!);
	});
});

describe('baselines', () => {
	it.each([
		{
			policy: SchedulingPolicy.FirstInFirstOut, urgentInTime: false, guards: 'a baseline that prioritizes urgent work',
		},
		{
			policy: SchedulingPolicy.StrictPriority, urgentInTime: true, guards: 'a baseline that ignores priorities',
		},
	])('$policy behaves as named in a flood of least work (guards against $guards)', async ({policy, urgentInTime}) => {
		const {outcomes} = await simulate({
			policy, slots, durationMilliseconds: 2000, streams: replaceRate('least', 1200),
		});
		expect(getOnTimeShare(outcomes.urgent) > 0.99).toBe(urgentInTime);
	});
});
