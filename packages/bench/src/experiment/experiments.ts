import {Rank} from '@tarragonstack/core';
import {atLeast, atMost, checkFloors, checkLeftCapacity} from './checks.js';
import {type Experiment, type ExperimentContext, type Phase} from './experiment.js';
import {ExperimentName} from './experiment-name.js';
import {createLoads} from './standard-load.js';

/** Requests that arrive earlier are not counted: the hosts have no service-time estimates yet. */
export const warmUpMilliseconds = 2000;

/** Duration of every load. */
export const loadMilliseconds = 16_000;

const faultFrom = 6000;
const faultTo = 10_000;

/** Time after the end of a fault after which the service level must be normal again. */
const recoveryMilliseconds = 1000;

/** Times at which the primaries of the groups are killed, and the time after which each comes back. */
const killTimes = [3500, 7500, 11_500];
const restartAfterMilliseconds = 2500;

const faultPhases: readonly Phase[] = [
	{name: 'before', from: warmUpMilliseconds, to: faultFrom},
	{name: 'during', from: faultFrom, to: faultTo},
	{name: 'after', from: faultTo + recoveryMilliseconds, to: loadMilliseconds},
];

async function getReplica(fleet: ExperimentContext['fleet'], group: string): Promise<string> {
	const primary = await fleet.getPrimary(group);
	return fleet.instances.find(instance => instance.group === group && instance.name !== primary?.name)!.name;
}

async function changeReplicas(context: ExperimentContext, settings: Readonly<Record<string, unknown>>, restored: Readonly<Record<string, unknown>>): Promise<void> {
	const {fleet} = context;
	const replicas = await Promise.all(fleet.deployment.groups.map(async group => getReplica(fleet, group)));
	await context.waitUntil(faultFrom);
	await Promise.all(replicas.map(async replica => fleet.controlInstance(replica, settings)));
	await context.waitUntil(faultTo);
	await Promise.all(replicas.map(async replica => fleet.controlInstance(replica, restored)));
}

async function cut(context: ExperimentContext, inject: () => Promise<AsyncDisposable>): Promise<void> {
	await context.waitUntil(faultFrom);
	await using fault = await inject();
	await context.waitUntil(faultTo);
}

async function loseEachPrimary(context: ExperimentContext): Promise<void> {
	const {fleet} = context;
	for (const [index, group] of fleet.deployment.groups.entries()) {
		await context.waitUntil(killTimes[index]!);
		const primary = (await fleet.getPrimary(group))!;
		const counts = await fleet.getStatementCounts();
		context.lostCounts.push(counts.get(primary.name)!);
		context.losses.push({group, time: context.now()});
		await fleet.kill(primary.name);
		await context.waitUntil(killTimes[index]! + restartAfterMilliseconds);
		await fleet.restart(primary.name);
	}
}

/** All experiments that load a fleet. */
export const experiments: Readonly<Record<Exclude<ExperimentName, ExperimentName.Overhead>, Experiment>> = {
	[ExperimentName.Steady]: {
		description: 'the ordinary mix at 70% of capacity',
		createLoads,
		check: ({ranks, replicaReadShare}) => [
			atLeast('urgent, on-time share', ranks[Rank.Urgent]!.onTimeShare, 0.999),
			atLeast('reads at replicas', replicaReadShare, 0.95),
		],
	},
	[ExperimentName.FloodLeast]: {
		description: 'least urgent work at 10 times capacity beside the ordinary urgent and middle work',
		createLoads: deployment => createLoads(deployment, {[Rank.Least]: 10}),
		check: outcome => [
			atLeast('urgent, on-time share', outcome.ranks[Rank.Urgent]!.onTimeShare, 0.995),
			atLeast('middle, on-time share', outcome.ranks[Rank.Middle]!.onTimeShare, 0.99),
			checkLeftCapacity(outcome),
		],
	},
	[ExperimentName.FloodUrgent]: {
		description: 'urgent work at 3 times capacity beside the ordinary middle and least work',
		createLoads: deployment => createLoads(deployment, {[Rank.Urgent]: 3}),
		check: checkFloors,
	},
	[ExperimentName.Failover]: {
		description: 'the primary of each group in turn is killed at 70% load and comes back later',
		createLoads,
		phases: [
			{name: 'before', from: warmUpMilliseconds, to: killTimes[0]!},
			...killTimes.map((time, index) => ({name: `loss ${index + 1}`, from: time, to: time + restartAfterMilliseconds})),
		],
		inject: loseEachPrimary,
		check: ({writeGapsMilliseconds}) => [
			atMost('longest gap in writes in milliseconds', Math.max(...writeGapsMilliseconds), 1000),
			atMost('median gap in writes in milliseconds', writeGapsMilliseconds.toSorted((left, right) => left - right)[1] ?? 0, 500),
		],
	},
	[ExperimentName.SlowReplica]: {
		description: 'one replica of each group serves five times slower for 4 s',
		createLoads,
		phases: faultPhases,
		inject: async context => changeReplicas(context, {serviceTimeFactor: 5}, {serviceTimeFactor: 1}),
	},
	[ExperimentName.LaggingReplica]: {
		description: 'one replica of each group is 1 s behind for 4 s',
		createLoads,
		phases: faultPhases,
		inject: async context => changeReplicas(context, {lagMilliseconds: 1000}, {lagMilliseconds: 0}),
	},
	[ExperimentName.ZoneCut]: {
		description: 'one zone loses the connection to the other zones and to the platform for 4 s',
		createLoads,
		phases: faultPhases,
		inject: async context => cut(context, async () => context.fleet.network.partitionZone(context.fleet.deployment.availabilityZones[0]!)),
	},
	[ExperimentName.KeyValueOutage]: {
		description: 'the key-value service is unreachable for 4 s',
		createLoads,
		phases: faultPhases,
		inject: async context => cut(context, async () => context.fleet.network.isolate('key-value')),
	},
	[ExperimentName.RefundBound]: {
		description: 'all ranks at twice the capacity together; refunds against the offline lower bound',
		createLoads: deployment => createLoads(deployment, {
			[Rank.Urgent]: 0.5, [Rank.Middle]: 0.5, [Rank.Least]: 1,
		}),
		check: ({refundTotal, refundLowerBound}) => [atMost('refunds relative to the lower bound', refundTotal / refundLowerBound, 1.25)],
	},
};

