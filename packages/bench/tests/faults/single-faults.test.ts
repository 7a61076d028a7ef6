import {SystemTimerService} from '@tarragonstack/core';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {type Fleet} from '../../src/fleet/index.js';
import {FaultKind, FleetObserver, injectFault, runScenario, SessionCaller} from '../../src/fuzz/index.js';
import {startFaultFleet} from './fault-fleet.js';

const timerService = new SystemTimerService();

type Case = {
	readonly faults: readonly FaultKind[];
	/** Failure that the case guards against, with the invariant. */
	readonly guards: string;
	readonly durationMilliseconds: number;
	/** Whether the fault must lead to a promotion, must not, or may. */
	readonly promotes?: boolean;
};

const cases: readonly Case[] = [
	{faults: [FaultKind.KillPrimary], guards: 'I2: loss of acknowledged writes with the primary', durationMilliseconds: 1500, promotes: true},
	{faults: [FaultKind.KillHost], guards: 'I3: a transaction of a dead host that stays open or is committed in part', durationMilliseconds: 1200},
	{faults: [FaultKind.KillPrimaryOwner], guards: 'I5, I6: work of a dead owner that is reported as not run, or is run again', durationMilliseconds: 1500, promotes: false},
	{faults: [FaultKind.PauseHost], guards: 'I6: work that a paused host runs after its caller was refused elsewhere', durationMilliseconds: 1500, promotes: false},
	{faults: [FaultKind.PausePrimaryOwner], guards: 'I2, I6: an owner that answers from its old knowledge after a pause', durationMilliseconds: 1500, promotes: false},
	{faults: [FaultKind.PausePrimary], guards: 'I2: a primary that acknowledges after its pause although it was replaced', durationMilliseconds: 1500, promotes: true},
	{faults: [FaultKind.IsolatePrimary], guards: 'I2: writes that an isolated primary accepts', durationMilliseconds: 2000, promotes: true},
	{faults: [FaultKind.IsolatePrimaryOneWay], guards: 'I2, I5: writes that arrive at a primary whose answers are lost', durationMilliseconds: 2000},
	{faults: [FaultKind.PartitionPrimaryZone], guards: 'I2: acknowledgement inside the zone of the old primary', durationMilliseconds: 2500, promotes: true},
	{faults: [FaultKind.PartitionPrimaryWithHosts], guards: 'I1, I2: a primary that goes on believing it leads, together with hosts that see it', durationMilliseconds: 2500, promotes: true},
	{faults: [FaultKind.PartitionZoneOneWay], guards: 'I4, I6: requests whose answers are lost between zones', durationMilliseconds: 2000},
	{faults: [FaultKind.StallPrimary], guards: 'promotion because of a stalled but living primary; I5 for requests that were sent', durationMilliseconds: 1500, promotes: false},
	{faults: [FaultKind.LoseResponses], guards: 'I6: a second run after the connection was cut between effect and answer', durationMilliseconds: 700, promotes: false},
	{faults: [FaultKind.CutResponses], guards: 'I4: an incomplete or foreign response after a cut', durationMilliseconds: 1000},
	{faults: [FaultKind.ResetConnections], guards: 'I3, I4: a dirty connection that returns to the pool', durationMilliseconds: 700},
	{faults: [FaultKind.LagReplicas], guards: 'I1: a read at a replica that is behind', durationMilliseconds: 1500, promotes: false},
	{faults: [FaultKind.KeyValueDown], guards: 'work that depends on the key-value service', durationMilliseconds: 700, promotes: false},
	{faults: [FaultKind.KeyValueHangs], guards: 'work that waits for the key-value service', durationMilliseconds: 700, promotes: false},
	{faults: [FaultKind.DeregisterHost], guards: 'I3, I6: two owners of an instance because of a wrong list', durationMilliseconds: 2500, promotes: false},
	{faults: [FaultKind.MembershipDown], guards: 'work that depends on the membership list', durationMilliseconds: 700, promotes: false},
];

describe('one fault under load', () => {
	let fleet: Fleet;

	beforeAll(async () => {
		fleet = await startFaultFleet();
	});

	afterAll(async () => {
		await fleet?.[Symbol.asyncDispose]();
	});

	it.each(cases.map((entry, index) => ({...entry, index, name: entry.faults.join(' and ')})))('$name guards against $guards', async ({faults, durationMilliseconds, promotes, index}) => {
		const result = await runScenario({
			fleet, group: fleet.deployment.groups[0]!, prefix: `f${index}`, seed: 100 + index, choice: index, faults, durationMilliseconds,
		});
		console.log(`${faults.join('+')}: ${JSON.stringify({...result, violations: result.violations.length})}`);
		expect(result.violations).toEqual([]);
		expect(result.acknowledged).toBeGreaterThan(20);
		if (promotes !== undefined) {
			expect(result.promotions > 0).toBe(promotes);
		}
	});

	it('answers a write at a cut-off primary as unknown soon after the promotion, which guards against callers that wait for the time limit', async () => {
		const group = fleet.deployment.groups[0]!;
		const observer = new FleetObserver(fleet);
		const before = (await observer.getPrimary(group))!;
		const caller = new SessionCaller(fleet, fleet.hosts[0]!.name, group);
		await caller.query('SELECT 1');
		const sentAt = timerService.now();
		const write = caller.query('INSERT INTO items (id, owner) VALUES (\'held\', \'held\') /*service_ms=300*/');
		const rejected = expect(write).rejects.toMatchObject({code: '08007'});
		await timerService.sleep(50);
		const heal = await injectFault(FaultKind.IsolatePrimary, {observer, group, choice: 0});
		await rejected;
		const milliseconds = timerService.now() - sentAt;
		await heal();
		caller.close();
		const {primary} = await observer.waitUntilReplicated(group, 12_000);
		expect(primary!.name).not.toBe(before.name);
		// Detection and promotion take about 0.6 s, the grace of running work 0.3 s; the time limit of the rank is 4 s.
		expect(milliseconds).toBeLessThan(2500);
	});
});
