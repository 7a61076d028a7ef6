import {SystemTimerService} from '@tarragonstack/core';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {DeploymentName, type Fleet} from '../../src/fleet/index.js';
import {platformZone} from '../../src/fleet/network-control.js';
import {
	checkGroup, createCounters, Effect, FleetObserver, getErrorCode, getZonePairs, SessionCaller, VersionMonitor, Workload,
} from '../../src/fuzz/index.js';
import {startFaultFleet} from './fault-fleet.js';

const timerService = new SystemTimerService();

/** Delay between the partition and the checks. Failure detection and promotion take less time. */
const failoverMilliseconds = 2000;

/** Staleness that the contract permits for the rank `least`. After this time, every earlier read index is too old. */
const stalenessMilliseconds = 5000;

/** Request timeout. It is shorter than that of the example contract so that refused requests do not slow down the test. */
const timeoutMilliseconds = 1500;

/** Outcome of a request for its caller. */
enum Outcome {
	Served = 'served',
	Refused = 'refused',
	/** Refused, or with an unknown outcome. */
	NotAcknowledged = 'not acknowledged',
	/** Answered without the row that was written before. */
	Wrong = 'wrong',
}

type Observation = {readonly outcome: Outcome; readonly detail: string};

type Expectation = {readonly inside: Outcome; readonly outside: Outcome};

type Isolation = {
	readonly name: string;
	readonly fromZones: boolean;
	readonly fromPlatform: boolean;
	/** Expected outcomes for the group whose primary is inside the zone. */
	readonly primaryInside: Readonly<Record<'staleRead' | 'sessionRead' | 'write', Expectation>>;
	/** Expected outcomes for the group whose primary is in another zone. */
	readonly primaryOutside: Readonly<Record<'staleRead' | 'sessionRead' | 'write', Expectation>>;
	/** Whether a configuration change that is accepted outside comes into force. */
	readonly configuration: Expectation;
	/** Whether the primary inside the zone is replaced. */
	readonly promotes: boolean;
};

const servedEverywhere: Expectation = {inside: Outcome.Served, outside: Outcome.Served};
const notAcknowledgedInside: Expectation = {inside: Outcome.NotAcknowledged, outside: Outcome.Served};
const refusedInside: Expectation = {inside: Outcome.Refused, outside: Outcome.Served};
const isolatedOutcomes = {staleRead: servedEverywhere, sessionRead: refusedInside, write: notAcknowledgedInside};
const unaffectedOutcomes = {staleRead: servedEverywhere, sessionRead: servedEverywhere, write: servedEverywhere};

const isolations: readonly Isolation[] = [
	{
		name: 'the other zones', fromZones: true, fromPlatform: false, primaryInside: isolatedOutcomes, primaryOutside: isolatedOutcomes, configuration: servedEverywhere, promotes: true,
	},
	{
		name: 'the platform', fromZones: false, fromPlatform: true, primaryInside: unaffectedOutcomes, primaryOutside: unaffectedOutcomes, configuration: servedEverywhere, promotes: false,
	},
	{
		name: 'the other zones and the platform', fromZones: true, fromPlatform: true, primaryInside: isolatedOutcomes, primaryOutside: isolatedOutcomes, configuration: refusedInside, promotes: true,
	},
];

describe.each(isolations)('a zone partitioned from $name', ({name, fromZones, fromPlatform, primaryInside, primaryOutside, configuration, promotes}) => {
	let fleet: Fleet;
	let observer: FleetObserver;
	let monitor: VersionMonitor;
	let workload: Workload;
	let zone: string;
	let hosts: Readonly<Record<'inside' | 'outside', string>>;
	let groups: Readonly<Record<'primaryInside' | 'primaryOutside', string>>;
	const tokens = new Map<string, string>();
	const partitions: AsyncDisposable[] = [];

	beforeAll(async () => {
		fleet = await startFaultFleet(DeploymentName.Ronquido, timeoutMilliseconds);
		observer = new FleetObserver(fleet);
		zone = fleet.deployment.availabilityZones[0]!;
		hosts = {
			inside: fleet.hosts.find(({availabilityZone}) => availabilityZone === zone)!.name,
			outside: fleet.hosts.find(({availabilityZone}) => availabilityZone !== zone)!.name,
		};
		// Initially, the primary of the nth group is in the nth zone.
		groups = {primaryInside: fleet.deployment.groups[0]!, primaryOutside: fleet.deployment.groups[1]!};
		await createCounters(fleet, groups.primaryOutside);
		workload = new Workload({fleet, group: groups.primaryInside, prefix: 'z', seed: 400, workersPerHost: 1});
		for (const group of Object.values(groups)) {
			const caller = new SessionCaller(fleet, hosts.outside, group, 'before');
			const {token} = await workload.operations.insert(caller);
			tokens.set(group, token);
			caller.close();
		}

		monitor = new VersionMonitor(observer);
		workload.start();
		await timerService.sleep(300);
		// A stale read requires a read index that the host obtained before the partition.
		await Promise.all(cells.map(async ({where, place}) => readEarlierRow(place, groups[where], false)));
		const pairs = [...fromZones ? getZonePairs({observer}, zone) : [], ...fromPlatform ? [[{zone}, {zone: platformZone}] as const] : []];
		for (const [source, destination] of pairs) {
			partitions.push(await fleet.network.partition(source, destination));
		}

		await timerService.sleep(failoverMilliseconds);
	});

	afterAll(async () => {
		await workload?.[Symbol.asyncDispose]();
		await monitor?.[Symbol.asyncDispose]();
		await fleet?.[Symbol.asyncDispose]();
	});

	/** Reads the row that was written before the partition. A served read must return it. */
	async function readEarlierRow(place: 'inside' | 'outside', group: string, isStaleTolerant: boolean): Promise<Observation> {
		const caller = new SessionCaller(fleet, hosts[place], group, isStaleTolerant ? undefined : 'before');
		const token = tokens.get(group)!;
		try {
			const {rows} = await caller.query(`SELECT id FROM items WHERE id = '${token}'${isStaleTolerant ? ' /*rank=\'least\'*/' : ''}`);
			const detail = JSON.stringify(rows);
			return {outcome: detail === JSON.stringify([{id: token}]) ? Outcome.Served : Outcome.Wrong, detail};
		} catch (error) {
			const code = getErrorCode(error);
			return {outcome: code.startsWith('TS') ? Outcome.Refused : Outcome.NotAcknowledged, detail: `${code} ${String(error)}`};
		} finally {
			caller.close();
		}
	}

	const cells = (['primaryInside', 'primaryOutside'] as const).flatMap(where => (['inside', 'outside'] as const).map(place => ({where, place})));
	const expectations = {primaryInside, primaryOutside};

	/** Sends the requests of one column concurrently and compares their outcomes with the expected ones. */
	async function expectColumn(column: 'staleRead' | 'sessionRead' | 'write', sendRequest: (place: 'inside' | 'outside', group: string) => Promise<Observation>): Promise<void> {
		const observations = await Promise.all(cells.map(async ({where, place}) => sendRequest(place, groups[where])));
		for (const [index, {where, place}] of cells.entries()) {
			console.log(`${name} / ${column} / ${where} / caller ${place}: ${observations[index]!.detail}`);
		}

		expect(observations.map(({outcome}) => outcome)).toEqual(cells.map(({where, place}) => expectations[where][column][place]));
	}

	it('serves reads within the permitted staleness, which guards against an outage of reads that need no majority', async () => {
		await expectColumn('staleRead', async (place, group) => readEarlierRow(place, group, true));
	});

	it('refuses session reads without a majority (I1)', async () => {
		await expectColumn('sessionRead', async (place, group) => readEarlierRow(place, group, false));
	});

	it('acknowledges writes only with a majority (I2)', async () => {
		await expectColumn('write', async (place, group) => {
			const caller = new SessionCaller(fleet, hosts[place], group);
			const record = await workload.operations.insert(caller);
			caller.close();
			const outcome = record.effect === Effect.Acknowledged ? Outcome.Served : Outcome.NotAcknowledged;
			return {outcome, detail: record.responses.join(' | ')};
		});
	});

	it('brings a configuration change into force on the hosts that it can reach (I9)', async () => {
		const version = (await observer.changeConfiguration(`during ${name}`, () => ({author: 'operator'})))!;
		const isInForce = async (place: 'inside' | 'outside') => {
			const names = fleet.hosts.filter(host => (host.availabilityZone === zone) === (place === 'inside')).map(host => host.name);
			return observer.waitFor(async () => names.every(host => monitor.getVersion(host) === version), place === 'inside' ? 4000 : 9000);
		};

		expect(await isInForce('outside')).toBe(configuration.outside === Outcome.Served);
		expect(await isInForce('inside')).toBe(configuration.inside === Outcome.Served);
		const status = await observer.getHostStatus(hosts.inside);
		expect(status?.configuration?.version).toBe(configuration.inside === Outcome.Served ? version : version - 1);
	});

	it('replaces the primary inside only if it is partitioned from the other zones (I2)', async () => {
		const primary = (await observer.getPrimary(groups.primaryInside))!;
		const other = (await observer.getPrimary(groups.primaryOutside))!;
		const promotions = fleet.hosts.flatMap(host => fleet.getProcessOrThrow(host.name).errorLines.filter(line => line.includes('promot')));
		expect(primary.availabilityZone !== zone, promotions.join('\n')).toBe(promotes);
		expect(other.availabilityZone, promotions.join('\n')).not.toBe(zone);
	});

	it('refuses stale reads inside after the permitted staleness, and serves them otherwise', async () => {
		await timerService.sleep(fromZones ? stalenessMilliseconds : 0);
		const caller = new SessionCaller(fleet, hosts.inside, groups.primaryOutside);
		const read = caller.query('SELECT count(*) FROM items /*rank=\'least\'*/');
		if (fromZones) {
			await expect(read).rejects.toMatchObject({code: 'TS003'});
		} else {
			const {rows} = await read;
			expect(rows).toHaveLength(1);
		}

		caller.close();
	});

	it('recovers with all invariants after the partition has ended', async () => {
		for (const cut of partitions) {
			await cut[Symbol.asyncDispose]();
		}

		await timerService.sleep(500);
		await workload.stop();
		const violations = [...await checkGroup(observer, groups.primaryInside, workload), ...monitor.violations];
		expect(violations).toEqual([]);
	});
});
