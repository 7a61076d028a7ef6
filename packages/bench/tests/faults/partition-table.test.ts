import {SystemTimerService} from '@tarragonstack/core';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {DeploymentName, type Fleet} from '../../src/fleet/index.js';
import {platformZone} from '../../src/fleet/network-control.js';
import {
	checkGroup, createCounters, Effect, FleetObserver, getErrorCode, getZonePairs, SessionCaller, VersionMonitor, Workload,
} from '../../src/fuzz/index.js';
import {startFaultFleet} from './fault-fleet.js';

const timerService = new SystemTimerService();

/** Time after which the state inside and outside is looked at; detection and promotion end earlier. */
const adaptMilliseconds = 2000;

/** Staleness that the contract permits for the rank `least`, and the time that makes every earlier read index too old. */
const stalenessMilliseconds = 5000;

/** Time limit of the requests, shorter than in the example contract so that refused requests do not take the time of the test. */
const timeoutMilliseconds = 1500;

/** What a caller gets. */
enum Answer {
	Served = 'served',
	Refused = 'refused',
	/** Not acknowledged: refused, or of unknown outcome. */
	NotAcknowledged = 'not acknowledged',
	/** Answered without what was written before. */
	Wrong = 'wrong',
}

type Reply = {readonly answer: Answer; readonly detail: string};

type Expectation = {readonly inside: Answer; readonly outside: Answer};

type Isolation = {
	readonly name: string;
	readonly fromZones: boolean;
	readonly fromPlatform: boolean;
	/** Group whose primary is inside the zone. */
	readonly primaryInside: Readonly<Record<'staleRead' | 'sessionRead' | 'write', Expectation>>;
	/** Group whose primary is in another zone. */
	readonly primaryOutside: Readonly<Record<'staleRead' | 'sessionRead' | 'write', Expectation>>;
	/** Whether a configuration that is accepted outside comes into force. */
	readonly configuration: Expectation;
	/** Whether the primary inside is replaced. */
	readonly promotes: boolean;
};

const everywhere: Expectation = {inside: Answer.Served, outside: Answer.Served};
const notInside: Expectation = {inside: Answer.NotAcknowledged, outside: Answer.Served};
const refusedInside: Expectation = {inside: Answer.Refused, outside: Answer.Served};
const cutOff = {staleRead: everywhere, sessionRead: refusedInside, write: notInside};
const undisturbed = {staleRead: everywhere, sessionRead: everywhere, write: everywhere};

const isolations: readonly Isolation[] = [
	{
		name: 'the other zones', fromZones: true, fromPlatform: false, primaryInside: cutOff, primaryOutside: cutOff, configuration: everywhere, promotes: true,
	},
	{
		name: 'the platform', fromZones: false, fromPlatform: true, primaryInside: undisturbed, primaryOutside: undisturbed, configuration: everywhere, promotes: false,
	},
	{
		name: 'the other zones and the platform', fromZones: true, fromPlatform: true, primaryInside: cutOff, primaryOutside: cutOff, configuration: refusedInside, promotes: true,
	},
];

describe.each(isolations)('a zone cut off from $name', ({name, fromZones, fromPlatform, primaryInside, primaryOutside, configuration, promotes}) => {
	let fleet: Fleet;
	let observer: FleetObserver;
	let monitor: VersionMonitor;
	let workload: Workload;
	let zone: string;
	let hosts: Readonly<Record<'inside' | 'outside', string>>;
	let groups: Readonly<Record<'primaryInside' | 'primaryOutside', string>>;
	const tokens = new Map<string, string>();
	const cuts: AsyncDisposable[] = [];

	beforeAll(async () => {
		fleet = await startFaultFleet(DeploymentName.Ronquido, timeoutMilliseconds);
		observer = new FleetObserver(fleet);
		zone = fleet.deployment.availabilityZones[0]!;
		hosts = {
			inside: fleet.hosts.find(({availabilityZone}) => availabilityZone === zone)!.name,
			outside: fleet.hosts.find(({availabilityZone}) => availabilityZone !== zone)!.name,
		};
		// The fleet starts with the primary of the group n in the zone n.
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
		// A read within the staleness needs a read index that the host obtained before the cut.
		await Promise.all(cells.map(async ({where, place}) => ask(place, groups[where], false)));
		const pairs = [...fromZones ? getZonePairs({observer}, zone) : [], ...fromPlatform ? [[{zone}, {zone: platformZone}] as const] : []];
		for (const [source, destination] of pairs) {
			cuts.push(await fleet.network.partition(source, destination));
		}

		await timerService.sleep(adaptMilliseconds);
	});

	afterAll(async () => {
		await workload?.[Symbol.asyncDispose]();
		await monitor?.[Symbol.asyncDispose]();
		await fleet?.[Symbol.asyncDispose]();
	});

	/** Reads the row that was written before the cut. A served read must return it. */
	async function ask(place: 'inside' | 'outside', group: string, isStaleTolerant: boolean): Promise<Reply> {
		const caller = new SessionCaller(fleet, hosts[place], group, isStaleTolerant ? undefined : 'before');
		const token = tokens.get(group)!;
		try {
			const {rows} = await caller.query(`SELECT id FROM items WHERE id = '${token}'${isStaleTolerant ? ' /*rank=\'least\'*/' : ''}`);
			const detail = JSON.stringify(rows);
			return {answer: detail === JSON.stringify([{id: token}]) ? Answer.Served : Answer.Wrong, detail};
		} catch (error) {
			const code = getErrorCode(error);
			return {answer: code.startsWith('TS') ? Answer.Refused : Answer.NotAcknowledged, detail: `${code} ${String(error)}`};
		} finally {
			caller.close();
		}
	}

	const cells = (['primaryInside', 'primaryOutside'] as const).flatMap(where => (['inside', 'outside'] as const).map(place => ({where, place})));
	const expectations = {primaryInside, primaryOutside};

	/** Compares all cells of one column at the same time. */
	async function expectColumn(column: 'staleRead' | 'sessionRead' | 'write', ask: (place: 'inside' | 'outside', group: string) => Promise<Reply>): Promise<void> {
		const replies = await Promise.all(cells.map(async ({where, place}) => ask(place, groups[where])));
		for (const [index, {where, place}] of cells.entries()) {
			console.log(`${name} / ${column} / ${where} / caller ${place}: ${replies[index]!.detail}`);
		}

		expect(replies.map(({answer}) => answer)).toEqual(cells.map(({where, place}) => expectations[where][column][place]));
	}

	it('reads within a permitted staleness, guards against an outage of reads that need no majority', async () => {
		await expectColumn('staleRead', async (place, group) => ask(place, group, true));
	});

	it('session reads, guards I1', async () => {
		await expectColumn('sessionRead', async (place, group) => ask(place, group, false));
	});

	it('writes, guards I2', async () => {
		await expectColumn('write', async (place, group) => {
			const caller = new SessionCaller(fleet, hosts[place], group);
			const record = await workload.operations.insert(caller);
			caller.close();
			const answer = record.effect === Effect.Acknowledged ? Answer.Served : Answer.NotAcknowledged;
			return {answer, detail: record.answers.join(' | ')};
		});
	});

	it('configuration, guards I9', async () => {
		const version = (await observer.changeConfiguration(`during ${name}`, () => ({author: 'operator'})))!;
		const isInForce = async (place: 'inside' | 'outside') => {
			const names = fleet.hosts.filter(host => (host.availabilityZone === zone) === (place === 'inside')).map(host => host.name);
			return observer.waitFor(async () => names.every(host => monitor.getVersion(host) === version), place === 'inside' ? 4000 : 9000);
		};

		expect(await isInForce('outside')).toBe(configuration.outside === Answer.Served);
		expect(await isInForce('inside')).toBe(configuration.inside === Answer.Served);
		const status = await observer.getHostStatus(hosts.inside);
		expect(status?.configuration?.version).toBe(configuration.inside === Answer.Served ? version : version - 1);
	});

	it('promotion, guards I2', async () => {
		const primary = (await observer.getPrimary(groups.primaryInside))!;
		const other = (await observer.getPrimary(groups.primaryOutside))!;
		const promotions = fleet.hosts.flatMap(host => fleet.getProcessOrThrow(host.name).errorLines.filter(line => line.includes('promot')));
		expect(primary.availabilityZone !== zone, promotions.join('\n')).toBe(promotes);
		expect(other.availabilityZone, promotions.join('\n')).not.toBe(zone);
	});

	it('refuses stale reads inside when the staleness is used up, and serves them otherwise', async () => {
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

	it('recovers, with all invariants, when the network is whole again', async () => {
		for (const cut of cuts) {
			await cut[Symbol.asyncDispose]();
		}

		await timerService.sleep(500);
		await workload.stop();
		const violations = [...await checkGroup(observer, groups.primaryInside, workload), ...monitor.violations];
		expect(violations).toEqual([]);
	});
});
