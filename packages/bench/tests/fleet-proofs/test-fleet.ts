import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {SystemTimerService, type Contract} from '@tarragonstack/core';
import {
	callJson, DeploymentName, deployments, Fleet, loadContracts, ManagedProcess, type Deployment, type FleetOptions,
} from '../../src/fleet/index.js';
import {getCompiledPath} from '../../src/fleet/compiled-path.js';

/** Compiled entry point of `tarragond`. */
export const daemonScript = getCompiledPath('@tarragonstack/daemon', 'main.js');

const timerService = new SystemTimerService();

/**
 * Starts a fleet with the Ronquido deployment and 7 hosts.
 *
 * @param options - Options that override the defaults.
 */
export async function startTestFleet(options: Partial<FleetOptions> = {}): Promise<Fleet> {
	return Fleet.start({
		deployment: {...deployments[DeploymentName.Ronquido], hostCount: 7},
		contracts: await loadRonquidoContracts(),
		...options,
	});
}

/**
 * Starts the stand-ins of a deployment with one group, without hosts.
 */
export async function startSingleGroupPlatform(): Promise<Fleet> {
	const groups = ['subs-core-1'];
	const deployment: Deployment = {...deployments[DeploymentName.Ronquido], groups};
	const contracts = await loadRonquidoContracts();
	return Fleet.start({deployment, contracts: contracts.map(contract => ({...contract, groups})), startHosts: false});
}

async function loadRonquidoContracts(): Promise<Contract[]> {
	return loadContracts(fileURLToPath(new URL('../../../../examples/ronquido', import.meta.url)));
}

/** Temporary directory of a test, removed on disposal. */
export class TemporaryDirectory implements AsyncDisposable {
	/** Creates a directory. */
	static async create(): Promise<TemporaryDirectory> {
		return new TemporaryDirectory(await mkdtemp(path.join(os.tmpdir(), 'tarragon-proof-')));
	}

	private constructor(readonly path: string) {}

	/**
	 * Writes a file.
	 *
	 * @param name - Name of the file.
	 * @param text - Contents of the file.
	 * @returns The path of the file.
	 */
	async write(name: string, text: string): Promise<string> {
		const file = path.join(this.path, name);
		await writeFile(file, text);
		return file;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await rm(this.path, {recursive: true, force: true});
	}
}

/** Settings of a daemon that a test starts in addition to the hosts of a fleet. */
export type DaemonSettings = {
	readonly name: string;
	readonly availabilityZone: string;
	readonly address: string;
	readonly peerTls?: Readonly<Record<'certificateFile' | 'keyFile' | 'authorityFile', string>>;
	readonly metrics?: {readonly address: string; readonly port: number};
};

/**
 * Creates the contents of a settings file.
 *
 * @param fleet - Fleet whose key-value service and membership list the daemon uses.
 * @param settings - Settings that differ between daemons.
 */
export function createSettings(fleet: Fleet, {name, availabilityZone, address, peerTls, metrics}: DaemonSettings): Record<string, unknown> {
	return {
		host: {name, availabilityZone, region: fleet.deployment.region},
		address,
		callers: {port: 5432},
		peers: {port: 7000, ...(peerTls && {tls: peerTls})},
		admin: {port: 8080},
		keyValueService: {url: fleet.keyValueUrl},
		membershipList: {url: fleet.membershipUrl},
		// Credentials that the instances of a fleet accept.
		upstreams: {user: 'tarragon', password: 'upstream-of-the-fleet'},
		...(metrics && {metrics}),
	};
}

/** Daemon that a test starts in addition to the hosts of a fleet. */
export class TestDaemon implements AsyncDisposable {
	/**
	 * Registers a daemon in the membership list and starts it, without waiting until it accepts work.
	 *
	 * @param fleet - Fleet whose key-value service and membership list the daemon uses.
	 * @param directory - Directory for the settings file.
	 * @param settings - Settings of the daemon.
	 */
	static async start(fleet: Fleet, directory: TemporaryDirectory, settings: DaemonSettings): Promise<TestDaemon> {
		await callJson('PUT', `${fleet.membershipUrl}/v1/agent/service/register`, {
			ID: settings.name,
			Name: 'tarragon-host',
			Address: settings.address,
			Port: 7000,
			Meta: {availability_zone: settings.availabilityZone, state: 'live'},
		});
		const file = await directory.write(`${settings.name}.json`, JSON.stringify(createSettings(fleet, settings)));
		const managed = new ManagedProcess(settings.name, daemonScript, ['--settings', file]);
		await managed.start();
		return new TestDaemon(fleet, settings, managed);
	}

	private constructor(private readonly fleet: Fleet, readonly settings: DaemonSettings, readonly process: ManagedProcess) {}

	/** Returns the status code and the body of `GET /health`. */
	async getHealth(): Promise<{readonly status: number; readonly body: Readonly<Record<string, unknown>>}> {
		const response = await fetch(`http://${this.settings.address}:8080/health`);
		return {status: response.status, body: await response.json() as Record<string, unknown>};
	}

	/** Returns the body of `GET /status`. */
	async getStatus(): Promise<HostStatus> {
		return await callJson('GET', `http://${this.settings.address}:8080/status`) as HostStatus;
	}

	/**
	 * Returns the connection string of the fleet's customer.
	 *
	 * @param group - Group.
	 */
	getConnectionString(group: string): string {
		const {user} = this.fleet.deployment;
		return `postgresql://${user}:${user}-of-the-fleet@${this.settings.address}:5432/${group}`;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.process.kill();
		await callJson('PUT', `${this.fleet.membershipUrl}/v1/agent/service/deregister/${this.settings.name}`);
	}
}

/** Properties of the response to `GET /status` that the tests read. */
export type HostStatus = Readonly<Record<string, unknown>> & {
	readonly configuration?: {readonly version: number; readonly changeIdentifier: string; readonly author: string; readonly inForceForMilliseconds: number};
	readonly memory: number;
	readonly hosts: ReadonlyArray<{readonly name: string; readonly state: string}>;
	readonly ownedInstances: readonly string[];
};

/**
 * Waits until a condition holds.
 *
 * @param timeoutMilliseconds - Maximum time to wait.
 * @param condition - Condition. An error counts as false.
 * @returns The time until the condition held, in milliseconds.
 */
export async function waitUntil(timeoutMilliseconds: number, condition: () => Promise<boolean>): Promise<number> {
	const start = timerService.now();
	let failure: unknown;
	while (timerService.now() - start < timeoutMilliseconds) {
		try {
			if (await condition()) {
				return timerService.now() - start;
			}
		} catch (error) {
			failure = error;
		}

		await timerService.sleep(20);
	}

	throw new Error(`the condition did not hold within ${timeoutMilliseconds} ms`, {cause: failure});
}
