import process from 'node:process';
import {fc, test} from '@fast-check/vitest';
import {describe, expect} from 'vitest';
import {Consistency, InstanceRole, StatementKind} from '../../src/index.js';
import {type FakeStoreCopy} from './fake-store.js';
import {SynchronousFleet} from './synchronous-fleet.js';

/** Time within which the events of a history happen, in milliseconds. */
const eventMilliseconds = 9000;

/** Longest duration of an event, in milliseconds. The entry of a lost instance is out of use after 7 s. */
const maximumDurationMilliseconds = 12_000;

/** Time after the last event in which instances return and every change is completed, in milliseconds. */
const recoveryMilliseconds = 20_000;

/** Maximum time from the loss of a primary to the promotion of another instance, in milliseconds. */
const promotionTargetMilliseconds = 2500;

/** Time until a configuration is in force at all hosts, in milliseconds. */
const configurationMilliseconds = 500;

enum EventKind {
	/** An instance ends, and starts again with its log. */
	Crash = 'crash',
	/** An instance ends, and starts again without its log. */
	LossOfLog = 'loss-of-log',
	/** A replica ends for good. */
	Loss = 'loss',
	/** An instance receives nothing for a while. */
	Deaf = 'deaf',
	/** No host reaches an instance for a while. */
	Unreachable = 'unreachable',
	/** An instance reports that it is about to stop, and is replaced by one with its log. */
	Release = 'release',
	/** An instance joins without a log in the place of a replica. */
	Join = 'join',
	/** The primary ends, and starts again with its log. */
	PrimaryCrash = 'primary-crash',
	/** Some hosts end and start again. */
	HostRestart = 'host-restart',
	/** The store turns some hosts away for a while. */
	StoreCut = 'store-cut',
	/** The store comes back from an older copy. */
	Restoration = 'restoration',
	/** The number of synchronous replicas changes to 0 and back. */
	Configuration = 'configuration',
}

type HistoryEvent = {
	readonly kind: EventKind;
	readonly at: number;
	readonly durationMilliseconds: number;
	/** Index of the instance that is affected. */
	readonly instance: number;
	readonly hosts: readonly number[];
};

/** Events that together leave one complete instance. */
const frequentKinds = [EventKind.Loss, EventKind.Release, EventKind.Deaf, EventKind.Deaf, EventKind.PrimaryCrash, EventKind.PrimaryCrash] as const;

const historyEvent = fc.record({
	kind: fc.constantFrom(...Object.values(EventKind), ...frequentKinds),
	at: fc.integer({min: 0, max: eventMilliseconds}),
	durationMilliseconds: fc.integer({min: 50, max: maximumDurationMilliseconds}),
	instance: fc.integer({min: 0, max: 3}),
	hosts: fc.uniqueArray(fc.integer({min: 0, max: 2}), {maxLength: 2}),
});

const history = fc.record({
	events: fc.array(historyEvent, {minLength: 1, maxLength: 7}),
	synchronousReplicas: fc.constantFrom(1, 1, 1, 2),
});

/** Plays a history. */
class HistoryRun {
	readonly fleet: SynchronousFleet;
	/** Times in which the configuration asks for no synchronous replicas. */
	readonly unprotected: Array<{readonly from: number; to: number}> = [];
	readonly #copies: Array<{readonly at: number; readonly copy: FakeStoreCopy}> = [];
	readonly #synchronousReplicas: number;
	readonly #handlers: Readonly<Record<EventKind, (event: HistoryEvent, instance: string) => Promise<void>>> = {
		[EventKind.Crash]: async (event, instance) => this.#crash(event, instance, true),
		[EventKind.LossOfLog]: async (event, instance) => this.#isReplica(instance) ? this.#crash(event, instance, false) : undefined,
		[EventKind.Loss]: async (_, instance) => {
			if (this.#isReplica(instance) && this.#runningInstances.length > 2) {
				this.fleet.crash(instance);
			}
		},
		[EventKind.Deaf]: async ({durationMilliseconds}, instance) => {
			this.fleet.setDeaf(instance, true);
			await this.fleet.timer.sleep(durationMilliseconds);
			this.fleet.setDeaf(instance, false);
		},
		[EventKind.Unreachable]: async ({durationMilliseconds}, instance) => {
			this.fleet.setUnreachable(instance, true);
			await this.fleet.timer.sleep(durationMilliseconds);
			this.fleet.setUnreachable(instance, false);
		},
		[EventKind.Release]: async (_, instance) => {
			this.fleet.drain(instance);
			await this.fleet.timer.sleep(7000);
			if (!this.fleet.group.get(instance).isDown) {
				this.fleet.replace(instance, true);
			}
		},
		[EventKind.Join]: async (_, instance) => {
			if (this.#isReplica(instance)) {
				this.fleet.replace(instance, false);
			}
		},
		[EventKind.PrimaryCrash]: async event => this.#crash(event, this.fleet.getLeader(), true),
		[EventKind.HostRestart]: async ({hosts}) => {
			this.fleet.restartHosts(hosts);
		},
		[EventKind.StoreCut]: async ({durationMilliseconds, hosts}) => {
			this.#setStoreUnavailable(hosts, true);
			await this.fleet.timer.sleep(durationMilliseconds);
			this.#setStoreUnavailable(hosts, false);
		},
		[EventKind.Restoration]: async ({durationMilliseconds}) => {
			const earliest = this.fleet.timer.now() - durationMilliseconds;
			const {copy} = this.#copies.findLast(({at}) => at <= earliest) ?? this.#copies[0]!;
			this.#setStoreUnavailable([0, 1, 2], true);
			await this.fleet.timer.sleep(100);
			this.fleet.restoreStore(copy);
			this.#setStoreUnavailable([0, 1, 2], false);
			this.#copies.splice(0, this.#copies.length, {at: this.fleet.timer.now(), copy: this.fleet.state.copy()});
		},
		[EventKind.Configuration]: async ({durationMilliseconds}) => {
			const interval = {from: this.fleet.timer.now(), to: Number.POSITIVE_INFINITY};
			this.unprotected.push(interval);
			this.fleet.setSynchronousReplicas(0);
			await this.fleet.timer.sleep(durationMilliseconds);
			this.fleet.setSynchronousReplicas(this.#synchronousReplicas);
			interval.to = this.fleet.timer.now();
		},
	};

	constructor(synchronousReplicas: number) {
		this.#synchronousReplicas = synchronousReplicas;
		this.fleet = new SynchronousFleet(3, synchronousReplicas);
	}

	/** Takes a copy of the store, from which a later restoration may start. */
	takeCopy(): void {
		this.#copies.push({at: this.fleet.timer.now(), copy: this.fleet.state.copy()});
	}

	/** Starts an event; it ends by itself. */
	async start(event: HistoryEvent): Promise<void> {
		const running = this.#runningInstances;
		const instance = running[event.instance % Math.max(1, running.length)];
		if (instance !== undefined) {
			await this.#handlers[event.kind](event, instance);
		}
	}

	/**
	 * Returns whether a commit or a promotion comes under the rule.
	 *
	 * @param at - Time of the event.
	 * @param delayMilliseconds - Time that it may have been under way when a configuration came into force.
	 */
	isProtected(at: number, delayMilliseconds: number): boolean {
		return !this.unprotected.some(({from, to}) => at >= from && at <= to + delayMilliseconds);
	}

	/** Makes every instance reachable, and lets it receive. */
	heal(): void {
		for (const {entry: {id}} of this.fleet.group.instances) {
			this.fleet.setUnreachable(id, false);
			this.fleet.setDeaf(id, false);
		}
	}

	get #runningInstances(): string[] {
		return this.fleet.group.instances.filter(({isDown}) => !isDown).map(({entry: {id}}) => id);
	}

	#isReplica(id: string): boolean {
		return this.fleet.getLeader() !== id && this.fleet.group.get(id).role === InstanceRole.Replica;
	}

	async #crash({durationMilliseconds}: HistoryEvent, instance: string, keepsLog: boolean): Promise<void> {
		if (!this.fleet.group.get(instance).isDown) {
			this.fleet.crash(instance);
			await this.fleet.timer.sleep(durationMilliseconds);
			this.fleet.restart(instance, keepsLog);
		}
	}

	#setStoreUnavailable(hosts: readonly number[], isUnavailable: boolean): void {
		for (const index of hosts) {
			this.fleet.hosts[index]!.store.isUnavailable = isUnavailable;
		}
	}
}

/** Checks that the loss of the primary for good leads to a promotion within the target, if a complete instance is left. */
async function losePrimary(fleet: SynchronousFleet): Promise<void> {
	const leader = fleet.getLeader();
	const running = fleet.group.instances.filter(({isDown, entry}) => !isDown && !entry.leaving && entry.id !== leader);
	const promotions = fleet.group.promotedAt.length;
	fleet.crash(leader);
	await fleet.timer.advance(promotionTargetMilliseconds);
	expect(fleet.group.promotedAt.length > promotions, `promoted after the loss of ${leader}: ${JSON.stringify(fleet.getEvents('change-stalled').at(-1))}`).toBe(running.length > 0);
}

describe('histories of a group with synchronous replicas', () => {
	// Guards against a leader that lacks an acknowledged commit, and against a promotion that is possible but held back. SCENARIOS and FAST_CHECK_SEED set number and seed.
	test.prop([history], {numRuns: Number(process.env.SCENARIOS ?? 60), endOnFailure: true})('lose no acknowledged commit and hold back no promotion', async ({events, synchronousReplicas}) => {
		const run = new HistoryRun(synchronousReplicas);
		const {fleet} = run;
		await fleet.waitUntilReady();
		run.takeCopy();
		const writers = fleet.startWriters();
		await fleet.timer.advance(500);
		const begin = fleet.timer.now();
		const pending = events.toSorted((left, right) => left.at - right.at);
		for (let elapsed = 0; elapsed <= eventMilliseconds + maximumDurationMilliseconds; elapsed += 50) {
			while (pending.length > 0 && pending[0]!.at <= fleet.timer.now() - begin) {
				void run.start(pending.shift()!);
			}

			await fleet.timer.advance(50);
			if (elapsed % 500 === 0) {
				run.takeCopy();
			}
		}

		run.heal();
		await fleet.timer.advance(recoveryMilliseconds);
		const receivers = fleet.group.instances.filter(({isDown, role}) => !isDown && role === InstanceRole.Replica).length;
		const write = await fleet.run(fleet.openSession(0, Consistency.Primary), StatementKind.Write);
		const explanation = `${receivers} replicas, ${JSON.stringify(write.error)}, ${JSON.stringify(fleet.getEvents('change-stalled').at(-1))}`;
		expect(write.error === undefined, explanation).toBe(receivers >= synchronousReplicas);
		// Sessions of hosts that have restarted are gone, and a loss is noticed by statements.
		const laterWriters = fleet.startWriters();
		await fleet.timer.advance(500);
		if (receivers >= synchronousReplicas) {
			await losePrimary(fleet);
		}

		writers.stop();
		laterWriters.stop();
		await fleet.timer.advance(2000);
		const lost = fleet.getLostCommits([...writers.results, ...laterWriters.results], {
			isCommitProtected: at => run.isProtected(at, configurationMilliseconds),
			isPromotionProtected: at => run.isProtected(at, promotionTargetMilliseconds),
		});
		expect(lost.slice(0, 3), JSON.stringify(fleet.group.promotions.map(({log, ...promotion}) => ({...promotion, position: log.at(-1)})))).toEqual([]);
	}, 7_200_000);
});
