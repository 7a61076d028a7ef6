import {Rank} from '@tarragonstack/core';
import {createMinimumCheck, createMaximumCheck, checkFloors, checkRemainingCapacity} from './checks.js';
import {type Experiment, type ExperimentContext, type Phase} from './experiment.js';
import {ExperimentName} from './experiment-name.js';
import {createStandardLoads} from './standard-load.js';

/** Warm-up time. Requests that arrive earlier are not counted, because the hosts have no service-time estimates yet. */
export const warmUpMilliseconds = 2000;

/** Duration of the load of each experiment, including the warm-up. */
export const loadMilliseconds = 16_000;

const faultStartMilliseconds = 6000;
const faultEndMilliseconds = 10_000;

/** Time from the end of a fault until the `after` phase starts, in which the service level must have recovered. */
const recoveryMilliseconds = 1000;

/** Times at which the primaries of the groups are killed, and the time until each one is restarted. */
const killTimesMilliseconds = [3500, 7500, 11_500];
const restartAfterMilliseconds = 2500;

const faultPhases: readonly Phase[] = [
	{name: 'before', from: warmUpMilliseconds, to: faultStartMilliseconds},
	{name: 'during', from: faultStartMilliseconds, to: faultEndMilliseconds},
	{name: 'after', from: faultEndMilliseconds + recoveryMilliseconds, to: loadMilliseconds},
];

async function getReplica(fleet: ExperimentContext['fleet'], group: string): Promise<string> {
	const primary = await fleet.getPrimary(group);
	return fleet.instances.find(instance => instance.group === group && instance.name !== primary?.name)!.name;
}

async function reconfigureReplicas(context: ExperimentContext, faultSettings: Readonly<Record<string, unknown>>, restoredSettings: Readonly<Record<string, unknown>>): Promise<void> {
	const {fleet} = context;
	const replicas = await Promise.all(fleet.deployment.groups.map(async group => getReplica(fleet, group)));
	await context.waitUntil(faultStartMilliseconds);
	await Promise.all(replicas.map(async replica => fleet.controlInstance(replica, faultSettings)));
	await context.waitUntil(faultEndMilliseconds);
	await Promise.all(replicas.map(async replica => fleet.controlInstance(replica, restoredSettings)));
}

async function partitionDuringFault(context: ExperimentContext, createPartition: () => Promise<AsyncDisposable>): Promise<void> {
	await context.waitUntil(faultStartMilliseconds);
	await using fault = await createPartition();
	await context.waitUntil(faultEndMilliseconds);
}

async function killEachPrimary(context: ExperimentContext): Promise<void> {
	const {fleet} = context;
	for (const [index, group] of fleet.deployment.groups.entries()) {
		await context.waitUntil(killTimesMilliseconds[index]!);
		const primary = (await fleet.getPrimary(group))!;
		const counts = await fleet.getStatementCounts();
		context.killedInstanceCounts.push(counts.get(primary.name)!);
		context.primaryFailures.push({group, time: context.now()});
		await fleet.kill(primary.name);
		await context.waitUntil(killTimesMilliseconds[index]! + restartAfterMilliseconds);
		await fleet.restart(primary.name);
	}
}

/** Definitions of all experiments that load a fleet. */
export const experiments: Readonly<Record<Exclude<ExperimentName, ExperimentName.Overhead>, Experiment>> = {
	[ExperimentName.Steady]: {
		description: 'the standard mix of requests at 70% of capacity',
		createLoads: createStandardLoads,
		createChecks: ({ranks, replicaReadShare}) => [
			createMinimumCheck('urgent, on-time share', ranks[Rank.Urgent]!.onTimeShare, 0.999),
			createMinimumCheck('reads at replicas', replicaReadShare, 0.95),
		],
	},
	[ExperimentName.FloodLeast]: {
		description: 'least urgent requests at 10 times the capacity, with the standard load of urgent and middle requests',
		createLoads: deployment => createStandardLoads(deployment, {[Rank.Least]: 10}),
		createChecks: outcome => [
			createMinimumCheck('urgent, on-time share', outcome.ranks[Rank.Urgent]!.onTimeShare, 0.995),
			createMinimumCheck('middle, on-time share', outcome.ranks[Rank.Middle]!.onTimeShare, 0.99),
			checkRemainingCapacity(outcome),
		],
	},
	[ExperimentName.FloodUrgent]: {
		description: 'urgent requests at 3 times the capacity, with the standard load of middle and least urgent requests',
		createLoads: deployment => createStandardLoads(deployment, {[Rank.Urgent]: 3}),
		createChecks: checkFloors,
	},
	[ExperimentName.Failover]: {
		description: 'the primary of each group in turn is killed at 70% of capacity and restarted later',
		createLoads: createStandardLoads,
		phases: [
			{name: 'before', from: warmUpMilliseconds, to: killTimesMilliseconds[0]!},
			...killTimesMilliseconds.map((time, index) => ({name: `loss ${index + 1}`, from: time, to: time + restartAfterMilliseconds})),
		],
		injectFault: killEachPrimary,
		createChecks: ({writeGapsMilliseconds}) => [
			createMaximumCheck('longest gap in writes in milliseconds', Math.max(...writeGapsMilliseconds), 1000),
			createMaximumCheck('median gap in writes in milliseconds', writeGapsMilliseconds.toSorted((left, right) => left - right)[1] ?? 0, 500),
		],
	},
	[ExperimentName.SlowReplica]: {
		description: 'one replica of each group has five times its service time for 4 s',
		createLoads: createStandardLoads,
		phases: faultPhases,
		injectFault: async context => reconfigureReplicas(context, {serviceTimeFactor: 5}, {serviceTimeFactor: 1}),
	},
	[ExperimentName.LaggingReplica]: {
		description: 'one replica of each group has a replication lag of 1 s for 4 s',
		createLoads: createStandardLoads,
		phases: faultPhases,
		injectFault: async context => reconfigureReplicas(context, {lagMilliseconds: 1000}, {lagMilliseconds: 0}),
	},
	[ExperimentName.ZoneCut]: {
		description: 'one zone is partitioned from the other zones and from the platform services for 4 s',
		createLoads: createStandardLoads,
		phases: faultPhases,
		injectFault: async context => partitionDuringFault(context, async () => context.fleet.network.partitionZone(context.fleet.deployment.availabilityZones[0]!)),
	},
	[ExperimentName.KeyValueOutage]: {
		description: 'the key-value service is unreachable for 4 s',
		createLoads: createStandardLoads,
		phases: faultPhases,
		injectFault: async context => partitionDuringFault(context, async () => context.fleet.network.isolate('key-value')),
	},
	[ExperimentName.RefundBound]: {
		description: 'total load of all ranks at twice the capacity; compares refunds with the offline lower bound',
		createLoads: deployment => createStandardLoads(deployment, {
			[Rank.Urgent]: 0.5, [Rank.Middle]: 0.5, [Rank.Least]: 1,
		}),
		createChecks: ({refundTotal, refundLowerBound}) => [createMaximumCheck('refunds relative to the lower bound', refundTotal / refundLowerBound, 1.25)],
	},
};

