import {SystemTimerService, type Contract} from '@tarragonstack/core';
import pg from 'pg';
import {Fleet, type Deployment} from '../fleet/index.js';
import {Dimension} from './dimension.js';
import {HostUsageMeter, type HostUsage} from './host-usage.js';
import {fitLine, type LinearFit} from './linear-fit.js';

const timerService = new SystemTimerService();

/** Delay between the start of a fleet and the measurement, in milliseconds, to exclude startup work. */
const settleMilliseconds = 6000;

/** Duration of a measurement, in milliseconds. */
const measurementMilliseconds = 8000;

/** Number of connections that are opened concurrently. */
const connectionBatchSize = 50;

/** Maximum number of load clients; each of them runs one statement at a time. */
const maximumLoadClients = 24;

/** Point of a series. */
export type SlopePoint = HostUsage & {
	readonly x: number;
	/** Total processor time of all hosts per statement, in microseconds; only for the dimension `statements`. */
	readonly processorMicrosecondsPerStatement?: number;
	readonly statementsPerSecond?: number;
};

/** Series of measurements with the fitted lines. */
export type SlopeSeries = {
	readonly dimension: Dimension;
	readonly points: readonly SlopePoint[];
	/** Linear fit of each usage value as a function of x. */
	readonly fits: Readonly<Record<keyof HostUsage, LinearFit>>;
};

/** Options of a series. */
export type SlopeOptions = {
	readonly deployment: Deployment;
	readonly contracts: readonly Contract[];
};

type Measurement = (options: SlopeOptions, x: number) => Promise<SlopePoint>;

const measurements: Readonly<Record<Dimension, {readonly values: readonly number[]; readonly measure: Measurement}>> = {
	[Dimension.Hosts]: {values: [6, 12, 24, 48], measure: measureHosts},
	[Dimension.Groups]: {values: [1, 3, 6, 9], measure: measureGroups},
	[Dimension.Connections]: {values: [0, 2000, 5000, 10_000], measure: measureConnections},
	[Dimension.Contracts]: {values: [1, 100, 300], measure: measureContracts},
	[Dimension.Statements]: {values: [1, 8, 24], measure: measureStatements},
};

/**
 * Measures one series.
 *
 * @param dimension - Quantity to vary.
 * @param options - Deployment and its contracts.
 */
export async function measureSlopes(dimension: Dimension, options: SlopeOptions): Promise<SlopeSeries> {
	const {values, measure} = measurements[dimension];
	const points: SlopePoint[] = [];
	for (const value of values) {
		points.push(await measure(options, value));
	}

	const fit = (key: keyof HostUsage) => fitLine(points.map(point => ({x: point.x, y: point[key]})));
	return {
		dimension,
		points,
		fits: {
			peerBytesPerSecond: fit('peerBytesPerSecond'),
			instanceBytesPerSecond: fit('instanceBytesPerSecond'),
			platformBytesPerSecond: fit('platformBytesPerSecond'),
			processorShare: fit('processorShare'),
			memoryMebibytes: fit('memoryMebibytes'),
		},
	};
}

async function measureHosts(options: SlopeOptions, hostCount: number): Promise<SlopePoint> {
	await using fleet = await Fleet.start({...options, deployment: {...options.deployment, hostCount}});
	return await measureWithoutLoad(fleet, hostCount);
}

async function measureGroups({deployment, contracts}: SlopeOptions, groupCount: number): Promise<SlopePoint> {
	const groups = Array.from({length: groupCount}, (_, index) => `group-${index + 1}`);
	await using fleet = await Fleet.start({
		deployment: {...deployment, groups},
		contracts: contracts.map(contract => ({...contract, groups})),
	});
	return await measureWithoutLoad(fleet, groupCount);
}

async function measureContracts(options: SlopeOptions, contractCount: number): Promise<SlopePoint> {
	const [template] = options.contracts;
	const contracts = Array.from({length: contractCount}, (_, index) => ({
		...template!,
		customer: `${template!.customer}-${index}`,
		users: template!.users.map(user => ({...user, name: index === 0 ? user.name : `${user.name}-${index}`})),
	}));
	await using fleet = await Fleet.start({...options, contracts});
	return await measureWithoutLoad(fleet, contractCount);
}

async function measureConnections(options: SlopeOptions, connectionCount: number): Promise<SlopePoint> {
	await using fleet = await Fleet.start({...options, deployment: {...options.deployment, hostCount: 1}});
	const clients: pg.Client[] = [];
	const connectionString = fleet.getConnectionString('host-1');
	while (clients.length < connectionCount) {
		clients.push(...await Promise.all(Array.from({length: connectionBatchSize}, async () => connect(connectionString))));
	}

	const point = await measureWithoutLoad(fleet, connectionCount);
	await Promise.all(clients.map(async client => client.end()));
	return point;
}

/** Measures a fleet without load, after a delay in which the garbage of the startup can be collected. */
async function measureWithoutLoad(fleet: Fleet, x: number): Promise<SlopePoint> {
	await timerService.sleep(settleMilliseconds);
	const meter = new HostUsageMeter(fleet);
	await meter.start();
	await timerService.sleep(measurementMilliseconds);
	return {x, ...await meter.finish()};
}

async function measureStatements(options: SlopeOptions, clientCount: number): Promise<SlopePoint> {
	await using fleet = await Fleet.start({...options, serviceMilliseconds: 0});
	const [group] = options.deployment.groups;
	for (const instance of fleet.instances) {
		// Enough slots for all clients, so that the hosts rather than the instances limit the rate.
		await fleet.controlInstance(instance.name, {slots: maximumLoadClients});
	}

	await using writer = await connectDisposable(fleet.getConnectionString('host-1', group));
	await writer.client.query('INSERT INTO orders (id, state) VALUES (\'slope\', \'new\')');
	const meter = new HostUsageMeter(fleet);
	const end = timerService.now() + measurementMilliseconds;
	await meter.start();
	const counts = await Promise.all(Array.from({length: clientCount}, async (_, index) => {
		const host = fleet.hosts[index % fleet.hosts.length]!.name;
		await using reader = await connectDisposable(fleet.getConnectionString(host, group));
		let count = 0;
		for (; timerService.now() < end; count++) {
			await reader.client.query('SELECT state FROM orders WHERE id = \'slope\'');
		}

		return count;
	}));
	const usage = await meter.finish();
	const statementsPerSecond = counts.reduce((sum, count) => sum + count, 0) / measurementMilliseconds * 1000;
	return {
		x: clientCount,
		...usage,
		statementsPerSecond,
		processorMicrosecondsPerStatement: usage.processorShare * fleet.hosts.length * 1_000_000 / statementsPerSecond,
	};
}

async function connect(connectionString: string): Promise<pg.Client> {
	const client = new pg.Client({connectionString});
	// Stopping the fleet closes the connections, which the client reports as errors.
	client.on('error', () => {});
	await client.connect();
	return client;
}

async function connectDisposable(connectionString: string): Promise<AsyncDisposable & {readonly client: pg.Client}> {
	const client = await connect(connectionString);
	return {
		client,
		async [Symbol.asyncDispose]() {
			await client.end();
		},
	};
}
