import {fileURLToPath} from 'node:url';
import {DeploymentName, deployments, Fleet, loadContracts} from '../../src/fleet/index.js';
import {createCounters} from '../../src/fuzz/index.js';

/**
 * Starts a fleet whose first group has the rows that the workload changes.
 *
 * @param name - Deployment.
 * @param lagMilliseconds - Replication lag.
 */
export async function startFaultFleet(name = DeploymentName.Ronquido, lagMilliseconds = 0): Promise<Fleet> {
	const fleet = await Fleet.start({
		deployment: deployments[name],
		contracts: await loadContracts(fileURLToPath(new URL(`../../../../examples/${name}`, import.meta.url))),
		lagMilliseconds,
	});
	await createCounters(fleet, fleet.deployment.groups[0]!);
	return fleet;
}
