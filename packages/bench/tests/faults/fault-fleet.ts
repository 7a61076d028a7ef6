import {fileURLToPath} from 'node:url';
import {type Contract} from '@tarragonstack/core';
import {DeploymentName, deployments, Fleet, loadContracts} from '../../src/fleet/index.js';
import {createCounters} from '../../src/fuzz/index.js';

/**
 * Starts a fleet and creates the rows that the workload changes in its first group.
 *
 * @param name - Name of the deployment.
 * @param timeoutMilliseconds - Timeout of the ranks `middle` and `least`. Defaults to the timeouts of the contract.
 */
export async function startFaultFleet(name = DeploymentName.Ronquido, timeoutMilliseconds?: number): Promise<Fleet> {
	const contracts = await loadContracts(fileURLToPath(new URL(`../../../../examples/${name}`, import.meta.url)));
	const fleet = await Fleet.start({
		deployment: deployments[name],
		contracts: timeoutMilliseconds === undefined ? contracts : contracts.map(contract => limitTime(contract, timeoutMilliseconds)),
	});
	await createCounters(fleet, fleet.deployment.groups[0]!);
	return fleet;
}

function limitTime(contract: Contract, timeoutMilliseconds: number): Contract {
	const {urgent, middle, least} = contract.ranks;
	return {...contract, ranks: {urgent, middle: {...middle, timeoutMilliseconds}, least: {...least, timeoutMilliseconds}}};
}
