#!/usr/bin/env node
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Rank, SystemTimerService} from '@tarragonstack/core';
import {
	binary, command, flag, number, oneOf, option, run, string,
} from 'cmd-ts';
import {
	DeploymentName, deployments, Fleet, loadContracts,
} from '../fleet/index.js';
import {ConnectionPools, LoadGenerator, type RankLoad} from '../load/index.js';
import {formatErrors, formatRanks} from './report.js';

/** Time from the start of the load until a primary is killed. */
const killAfterMilliseconds = 4000;

/** Number of caller connections per host and group. */
const connectionsPerPool = 16;
const warmConnections = 4;

const loads: readonly RankLoad[] = [
	{
		rank: Rank.Urgent, requestsPerSecond: 80, readShare: 0.4, serviceMilliseconds: 5, sessionCount: 60,
	},
	{
		rank: Rank.Middle, requestsPerSecond: 60, readShare: 0.6, serviceMilliseconds: 5, sessionCount: 60,
	},
	{
		rank: Rank.Least, requestsPerSecond: 120, readShare: 1, serviceMilliseconds: 5, sessionCount: 120,
	},
];

const timerService = new SystemTimerService();

/**
 * Runs a load against the fleet, kills the primary of the first group meanwhile, and prints a report.
 *
 * @param fleet - Running fleet.
 * @param seed - Seed of the load.
 * @param durationMilliseconds - Duration of the load.
 */
async function runDemo(fleet: Fleet, seed: number, durationMilliseconds: number): Promise<void> {
	await using pools = new ConnectionPools((host, group) => fleet.getConnectionString(host, group), connectionsPerPool);
	const {groups} = fleet.deployment;
	const hosts = fleet.hosts.map(({name}) => name);
	await pools.warmUp(hosts, groups, warmConnections);
	const generator = new LoadGenerator({
		loads, durationMilliseconds, seed, contract: fleet.configuration.contracts[0]!, hosts, groups, pools, timerService,
	});
	const running = generator.run();
	await timerService.sleep(killAfterMilliseconds);
	const group = groups[0]!;
	const primary = (await fleet.getPrimary(group))!;
	const countsBeforeKill = await fleet.getStatementCounts();
	const killTime = timerService.now();
	await fleet.kill(primary.name);
	process.stdout.write(`killed ${primary.name}, the primary of ${group}\n\n`);
	const result = await running;
	const counts = await fleet.getStatementCounts();
	const killedCounts = countsBeforeKill.get(primary.name)!;
	let {primaryReads} = killedCounts;
	let {replicaReads} = killedCounts;
	for (const count of counts.values()) {
		primaryReads += count.primaryReads;
		replicaReads += count.replicaReads;
	}

	const newPrimary = await fleet.getPrimary(group);
	process.stdout.write(`${formatRanks(result)}\n\n`);
	process.stdout.write(`errors by code: ${formatErrors(result)}\n`);
	process.stdout.write(`reads that missed an own write: ${[...result.ranks.values()].reduce((sum, rank) => sum + rank.missedOwnWrites, 0)}\n`);
	process.stdout.write(`reads at replicas: ${(100 * replicaReads / Math.max(1, primaryReads + replicaReads)).toFixed(1)} %\n`);
	process.stdout.write(`gap in writes of ${group}: ${result.writeGaps.getLongestGap(group, result.endTime, killTime).toFixed(0)} ms`
		+ ` (new primary: ${newPrimary?.name ?? 'none'})\n`);
	for (const other of groups.slice(1)) {
		process.stdout.write(`gap in writes of ${other}: ${result.writeGaps.getLongestGap(other, result.endTime, killTime).toFixed(0)} ms\n`);
	}
}

/**
 * Prints the processes of the fleet as JSON and waits for SIGINT or SIGTERM.
 *
 * @param fleet - Running fleet.
 */
async function waitForSignal(fleet: Fleet): Promise<void> {
	const processes = fleet.readyLines.map(({role, name, pid, addresses}) => ({
		role, name, pid, addresses, ...(role === 'host' && {connectionString: fleet.getConnectionString(name)}),
	}));
	process.stdout.write(`${JSON.stringify({event: 'holding', processes})}\n`);
	await new Promise<void>(resolve => {
		process.once('SIGINT', resolve);
		process.once('SIGTERM', resolve);
	});
}

const demo = command({
	name: 'demo',
	description: 'Starts a fleet with stand-ins, runs a load against it, kills a primary and prints a report.',
	args: {
		deployment: option({
			long: 'deployment', type: oneOf(Object.values(DeploymentName)), defaultValue: () => DeploymentName.Ronquido, description: 'example deployment',
		}),
		examples: option({
			long: 'examples',
			type: string,
			defaultValue: () => fileURLToPath(new URL('../../../../examples', import.meta.url)),
			description: 'directory with one subdirectory of contracts per deployment',
		}),
		seed: option({
			long: 'seed', type: number, defaultValue: () => 1, description: 'seed of the load',
		}),
		duration: option({
			long: 'duration', type: number, defaultValue: () => 12, description: 'duration of the load in seconds',
		}),
		hold: flag({long: 'hold', description: 'keep the fleet running until Ctrl-C, without a load'}),
	},
	async handler(options) {
		const deployment = deployments[options.deployment];
		await using fleet = await Fleet.start({
			deployment,
			contracts: await loadContracts(path.join(options.examples, deployment.name)),
			clientDelayMilliseconds: 1,
		});
		if (options.hold) {
			await waitForSignal(fleet);
		} else {
			process.stdout.write(`${deployment.name}: ${fleet.hosts.length} hosts, ${fleet.instances.length} instances, seed ${options.seed}\n`);
			await runDemo(fleet, options.seed, options.duration * 1000);
		}
	},
});

await run(binary(demo), process.argv);
process.exit(0);
