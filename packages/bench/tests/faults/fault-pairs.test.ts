import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {DeploymentName, type Fleet} from '../../src/fleet/index.js';
import {FaultKind, runScenario} from '../../src/fuzz/index.js';
import {startFaultFleet} from './fault-fleet.js';

type Case = {
	readonly faults: readonly FaultKind[];
	/** Failure that the case guards against, with the invariants that it would violate. */
	readonly guards: string;
	readonly durationMilliseconds?: number;
};

const cases: readonly Case[] = [
	{faults: [FaultKind.KeyValueHangs, FaultKind.KillPrimary], guards: 'I2: a promotion that needs the key-value service'},
	{faults: [FaultKind.KillPrimaryOwner, FaultKind.KillPrimary], guards: 'I2, I6: a promotion without the host that watched the primary'},
	{faults: [FaultKind.PausePrimaryOwner, FaultKind.KillPrimary], guards: 'I2: a paused promoter that resumes after another one promoted'},
	{faults: [FaultKind.LagReplicas, FaultKind.KillPrimary], guards: 'I2: a promotion that loses writes acknowledged as replicated'},
	{faults: [FaultKind.LagReplicas, FaultKind.PartitionPrimaryWithHosts], guards: 'I1, I2: reads and writes at a replaced primary that continues, with lagging replicas'},
	{faults: [FaultKind.LagReplicas, FaultKind.LoseResponses], guards: 'I1, I6: a retry that reads an old state'},
	{faults: [FaultKind.LoseResponses, FaultKind.KillPrimaryOwner], guards: 'I6: a write that the new owner executes again'},
	{faults: [FaultKind.DeregisterHost, FaultKind.KillPrimary], guards: 'I3, I6: two owners during a promotion'},
	{faults: [FaultKind.MembershipDown, FaultKind.KillHost], guards: 'requests that wait for a dead host that is still in the membership list'},
	{faults: [FaultKind.KillReplica, FaultKind.IsolatePrimary], guards: 'I2: a promotion or an acknowledgement without a majority'},
	{faults: [FaultKind.PartitionZoneOneWay, FaultKind.KillHost], guards: 'I4, I6: lost responses while the ownership changes'},
	{faults: [FaultKind.LeavingPrimary, FaultKind.KillHost], guards: 'I2: a planned switchover whose promoter may be killed', durationMilliseconds: 3000},
	{faults: [FaultKind.IsolatePrimary, FaultKind.ResetConnections], guards: 'I3: connections that survive the loss of their primary'},
	{faults: [FaultKind.GracefulStop, FaultKind.KillPrimary], guards: 'I2, I5: a promotion while a host stops'},
];

describe('two concurrent faults under load', () => {
	let fleet: Fleet;

	beforeAll(async () => {
		fleet = await startFaultFleet(DeploymentName.Edredon);
	});

	afterAll(async () => {
		await fleet?.[Symbol.asyncDispose]();
	});

	it.each(cases.map((entry, index) => ({...entry, index, name: entry.faults.join(' and ')})))('$name guards against $guards', async ({faults, durationMilliseconds = 2000, index}) => {
		const result = await runScenario({
			fleet, group: fleet.deployment.groups[0]!, prefix: `p${index}`, seed: 200 + index, choice: index, faults, durationMilliseconds,
		});
		console.log(`${faults.join('+')}: ${JSON.stringify({...result, violations: result.violations.length})}`);
		expect(result.violations).toEqual([]);
		expect(result.acknowledged).toBeGreaterThan(20);
	});
});
