import {describe, expect, it} from 'vitest';
import {Consistency, InstanceRole, StatementKind} from '../../src/index.js';
import {SynchronousFleet} from './synchronous-fleet.js';

/** Maximum time from the loss of a primary to the promotion of another instance, in milliseconds. The promotion takes 1 s of it. */
const promotionTargetMilliseconds = 2500;

/** Time after which an instance without an entry is no longer in use, with a margin, in milliseconds. */
const forgettingMilliseconds = 8000;

/** Losses of a primary after which no instance may be promoted that lacks an acknowledged commit. */
const losses: ReadonlyArray<{
	readonly name: string;
	/** Runs the events up to the loss of the primary. */
	readonly play: (fleet: SynchronousFleet) => Promise<void>;
	/** Instance that is promoted within the target; `undefined` if none is. */
	readonly promoted: string | undefined;
}> = [
	{
		name: 'only a leaving replica holds them',
		async play(fleet) {
			fleet.drain('orders-1');
			await fleet.timer.advance(1000);
			fleet.setDeaf('orders-2', true);
			await fleet.timer.advance(1500);
			fleet.crash('orders-0');
		},
		promoted: 'orders-1',
	},
	{
		name: 'the replica that holds them has lost its entry',
		async play(fleet) {
			fleet.setDeaf('orders-2', true);
			await fleet.timer.advance(500);
			fleet.crash('orders-1');
			await fleet.timer.advance(forgettingMilliseconds);
			fleet.crash('orders-0');
		},
		promoted: undefined,
	},
	{
		name: 'the replica that holds them loses its entry during the change',
		async play(fleet) {
			fleet.setDeaf('orders-2', true);
			await fleet.timer.advance(500);
			fleet.crash('orders-1');
			await fleet.timer.advance(1000);
			fleet.crash('orders-0');
			await fleet.timer.advance(forgettingMilliseconds);
		},
		promoted: undefined,
	},
	{
		name: 'the replica that holds them starts again without its log',
		async play(fleet) {
			fleet.setDeaf('orders-2', true);
			await fleet.timer.advance(500);
			fleet.crash('orders-1');
			fleet.crash('orders-0');
			fleet.restart('orders-1', false);
		},
		promoted: undefined,
	},
	{
		name: 'the hosts start after the replica that holds them has lost its entry',
		async play(fleet) {
			fleet.setDeaf('orders-2', true);
			await fleet.timer.advance(500);
			fleet.crash('orders-1');
			await fleet.timer.advance(forgettingMilliseconds);
			fleet.restartHosts();
			await fleet.timer.advance(1000);
			fleet.crash('orders-0');
		},
		promoted: undefined,
	},
	{
		name: 'a primary leaves and the replica that holds them does not respond',
		async play(fleet) {
			fleet.setDeaf('orders-2', true);
			await fleet.timer.advance(500);
			fleet.setUnreachable('orders-1', true);
			fleet.drain('orders-0');
		},
		promoted: undefined,
	},
	{
		name: 'a leaving primary waits for a replica that is behind',
		async play(fleet) {
			fleet.setDeaf('orders-2', true);
			await fleet.timer.advance(500);
			fleet.crash('orders-1');
			fleet.drain('orders-0');
			await fleet.timer.advance(3000);
			fleet.setDeaf('orders-2', false);
		},
		promoted: 'orders-2',
	},
	{
		name: 'a replica was lost for good and another one has received them since',
		async play(fleet) {
			fleet.crash('orders-1');
			await fleet.timer.advance(forgettingMilliseconds);
			fleet.crash('orders-0');
		},
		promoted: 'orders-2',
	},
	{
		name: 'a replica was lost while the primary had no free slot for status requests',
		async play(fleet) {
			fleet.group.get('orders-0').refusesStatus = true;
			fleet.crash('orders-1');
			await fleet.timer.advance(forgettingMilliseconds);
			fleet.crash('orders-0');
		},
		promoted: 'orders-2',
	},
	{
		name: 'a replica has just been replaced as planned',
		async play(fleet) {
			fleet.drain('orders-1');
			await fleet.timer.advance(7000);
			fleet.replace('orders-1', true);
			await fleet.timer.advance(700);
			fleet.crash('orders-0');
		},
		promoted: 'orders-2',
	},
	{
		name: 'a replica joined after another one was lost',
		async play(fleet) {
			fleet.replace('orders-1', false);
			await fleet.timer.advance(forgettingMilliseconds);
			fleet.setDeaf('orders-2', true);
			await fleet.timer.advance(500);
			fleet.crash('orders-0');
		},
		promoted: 'orders-joined-1',
	},
	{
		name: 'the replica that holds them was lost while the configuration had no synchronous replicas',
		async play(fleet) {
			fleet.setDeaf('orders-2', true);
			await fleet.timer.advance(500);
			fleet.setSynchronousReplicas(0);
			await fleet.timer.advance(500);
			fleet.crash('orders-1');
			await fleet.timer.advance(forgettingMilliseconds);
			fleet.setSynchronousReplicas(1);
			await fleet.timer.advance(500);
			fleet.crash('orders-0');
		},
		promoted: undefined,
	},
	{
		name: 'synchronous replicas have been configured for a while',
		async play(fleet) {
			fleet.setSynchronousReplicas(0);
			await fleet.timer.advance(1000);
			fleet.setSynchronousReplicas(1);
			await fleet.timer.advance(1000);
			fleet.crash('orders-0');
		},
		promoted: 'orders-1',
	},
	{
		name: 'a version of the configuration with synchronous replicas has just been written',
		async play(fleet) {
			fleet.setSynchronousReplicas(0);
			await fleet.timer.advance(1000);
			fleet.setDeaf('orders-2', true);
			await fleet.timer.advance(500);
			fleet.setSynchronousReplicas(1);
			await fleet.timer.advance(100);
			fleet.setUnreachable('orders-1', true);
			fleet.crash('orders-0');
		},
		promoted: undefined,
	},
];

async function startWriting(): Promise<{fleet: SynchronousFleet; writers: ReturnType<SynchronousFleet['startWriters']>}> {
	const fleet = new SynchronousFleet();
	await fleet.waitUntilReady();
	const writers = fleet.startWriters();
	await fleet.timer.advance(1000);
	return {fleet, writers};
}

async function isWritable(fleet: SynchronousFleet): Promise<boolean> {
	return (await fleet.run(fleet.openSession(0, Consistency.Primary), StatementKind.Write)).error === undefined;
}

describe('acknowledged commits of a group with synchronous replicas', () => {
	// Guards against the promotion of an instance that lacks an acknowledged commit, and against a wait although one holds them all.
	it.each(losses)('survive if $name', async ({play, promoted}) => {
		const {fleet, writers} = await startWriting();
		await play(fleet);
		await fleet.timer.advance(promotionTargetMilliseconds);
		const leader = fleet.group.promotions.at(-1)?.instance;
		await fleet.timer.advance(2 * forgettingMilliseconds);
		writers.stop();
		await fleet.timer.advance(1500);
		expect(fleet.getLostCommits(writers.results).slice(0, 3)).toEqual([]);
		expect(leader).toBe(promoted);
		expect(fleet.group.promotions.map(({instance}) => instance)).toEqual(promoted === undefined ? [] : expect.arrayContaining([promoted]));
	});

	// Guards against a group that never gets a primary because the one that was lost returns with its log only during the change.
	it('are served again by a lost primary that returns with its log', async () => {
		const {fleet, writers} = await startWriting();
		fleet.setDeaf('orders-2', true);
		await fleet.timer.advance(500);
		fleet.crash('orders-1');
		await fleet.timer.advance(1000);
		fleet.crash('orders-0');
		await fleet.timer.advance(10_000);
		expect(await isWritable(fleet)).toBe(false);
		fleet.restart('orders-0', true);
		await fleet.timer.advance(promotionTargetMilliseconds);
		fleet.setDeaf('orders-2', false);
		expect(await isWritable(fleet)).toBe(true);
		writers.stop();
		await fleet.timer.advance(1500);
		expect(fleet.getLostCommits(writers.results).slice(0, 3)).toEqual([]);
		expect(fleet.getLeader()).toBe('orders-0');
	});

	// Guards against a promotion that is held back because the only complete replica has left, although its log went to a new one.
	it('are served by the instance that took over the log of a leaving one', async () => {
		const {fleet, writers} = await startWriting();
		fleet.drain('orders-1');
		fleet.setDeaf('orders-2', true);
		await fleet.timer.advance(4600);
		fleet.crash('orders-0');
		await fleet.timer.advance(3000);
		expect(fleet.promotions).toEqual([]);
		const joined = fleet.replace('orders-1', true);
		await fleet.timer.advance(promotionTargetMilliseconds);
		expect(fleet.getLeader()).toBe(joined);
		writers.stop();
		await fleet.timer.advance(1500);
		expect(fleet.getLostCommits(writers.results).slice(0, 3)).toEqual([]);
	});

	// Guards against writes that are refused for good although another instance has taken over the log and the lead of the lost primary.
	it('are served by the instance that took over the lead of a lost primary', async () => {
		const {fleet, writers} = await startWriting();
		fleet.crash('orders-0');
		await fleet.timer.advance(promotionTargetMilliseconds);
		fleet.restart('orders-0', true);
		await fleet.timer.advance(forgettingMilliseconds);
		const primary = fleet.getLeader();
		const [lost, deaf] = fleet.group.instances.map(({entry: {id}}) => id).filter(id => id !== primary);
		fleet.setDeaf(deaf!, true);
		await fleet.timer.advance(500);
		fleet.crash(lost!);
		fleet.crash(primary);
		await fleet.timer.advance(forgettingMilliseconds);
		const joined = fleet.replace(primary, true);
		await fleet.timer.advance(promotionTargetMilliseconds);
		fleet.setDeaf(deaf!, false);
		expect(await isWritable(fleet)).toBe(true);
		expect(fleet.getLeader()).toBe(joined);
		writers.stop();
		await fleet.timer.advance(1500);
		expect(fleet.getLostCommits(writers.results).slice(0, 3)).toEqual([]);
	});

	// Guards against a set that a restored store or another promoter has forgotten.
	it('survive the restoration of the store from a copy without the members', async () => {
		const {fleet, writers} = await startWriting();
		fleet.setDeaf('orders-2', true);
		await fleet.timer.advance(500);
		fleet.crash('orders-1');
		const copy = fleet.state.copy();
		await fleet.timer.advance(forgettingMilliseconds);
		for (const {store} of fleet.hosts) {
			store.isUnavailable = true;
		}

		fleet.restoreStore(copy);
		for (const {store} of fleet.hosts) {
			store.isUnavailable = false;
		}

		await fleet.timer.advance(forgettingMilliseconds);
		expect(fleet.group.get('orders-0').role).toBe(InstanceRole.Primary);
		fleet.crash('orders-0');
		await fleet.timer.advance(forgettingMilliseconds);
		writers.stop();
		await fleet.timer.advance(1500);
		expect(fleet.promotions).toEqual([]);
		expect(fleet.getLostCommits(writers.results)).toEqual([]);
	});

	// Guards against an explanation that leaves out whose report is missing, or counts its time from an earlier change.
	it('name the missing report in the log while no instance can be promoted', async () => {
		const {fleet, writers} = await startWriting();
		fleet.setUnreachable('orders-1', true);
		for (let change = 0; change < 2; change++) {
			const primary = fleet.getLeader();
			fleet.crash(primary);
			await fleet.timer.advance(6000);
			const stalled = fleet.getEvents('change-stalled').at(-1)!;
			const [missing] = JSON.parse(String(stalled.fields.missingReports)) as Array<{id: string; milliseconds: number}>;
			expect(missing).toMatchObject({id: 'orders-1'});
			expect(missing!.milliseconds).toBeGreaterThan(1000);
			expect(missing!.milliseconds).toBeLessThan(6000);
			fleet.restart(primary, true);
			await fleet.timer.advance(forgettingMilliseconds);
		}

		writers.stop();
		await fleet.timer.advance(1500);
	});
});
