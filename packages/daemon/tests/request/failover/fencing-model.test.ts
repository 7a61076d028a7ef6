import process from 'node:process';
import {ManualTimerService} from '@tarragonstack/core';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {InstanceRole} from '../../../src/index.js';
import {QueuedTransport} from './queued-transport.js';
import {SimulatedGroup, type SimulatedInstance} from './simulated-group.js';
import {createGroupDefinition, SimulatedHost} from './simulated-host.js';

const groupName = 'group-1';
const hostCount = 3;
const settleStepMilliseconds = 10;
const interleavings = Number(process.env.TARRAGON_MODEL_RUNS ?? 600);

enum Action {
	Deliver = 'deliver',
	DeliverAll = 'deliver-all',
	Drop = 'drop',
	Advance = 'advance',
	Replicate = 'replicate',
	WriteFenced = 'write-fenced',
	WriteReplicated = 'write-replicated',
	PromoteManually = 'promote-manually',
	CrashInstance = 'crash-instance',
	RestartInstance = 'restart-instance',
	PauseHost = 'pause-host',
	ResumeHost = 'resume-host',
	RestartHost = 'restart-host',
	Partition = 'partition',
	Heal = 'heal',
}

type Step = {
	readonly action: Action;
	readonly first: number;
	readonly second: number;
};

type Acknowledgement = {
	readonly number: number;
	readonly identifier: string;
	readonly term: number;
	readonly replicated: boolean;
	/** Event number at which the confirmation began. */
	readonly checkEventNumber: number;
};

const weights: Readonly<Record<Action, number>> = {
	[Action.Deliver]: 30,
	[Action.DeliverAll]: 8,
	[Action.Drop]: 2,
	[Action.Advance]: 14,
	[Action.Replicate]: 12,
	[Action.WriteFenced]: 4,
	[Action.WriteReplicated]: 8,
	[Action.PromoteManually]: 3,
	[Action.CrashInstance]: 1,
	[Action.RestartInstance]: 2,
	[Action.PauseHost]: 1,
	[Action.ResumeHost]: 2,
	[Action.RestartHost]: 1,
	[Action.Partition]: 1,
	[Action.Heal]: 2,
};

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
	action: fc.oneof(...Object.values(Action).map(action => ({arbitrary: fc.constant(action), weight: weights[action]}))),
	first: fc.nat(1000),
	second: fc.nat(1000),
});

class FencingModel {
	readonly timerService = new ManualTimerService();
	readonly acknowledgements: Acknowledgement[] = [];
	readonly group;
	readonly transport;
	readonly hosts: SimulatedHost[];
	readonly #definition;
	#writes = 0;

	/**
	 * @param members - Number of instances.
	 * @param leavingMember - Index of the leaving instance; an index outside the group means none.
	 */
	constructor(members: number, leavingMember: number) {
		const definition = createGroupDefinition(members);
		this.#definition = {
			...definition,
			instances: definition.instances.map((instance, index) => ({...instance, leaving: index === leavingMember})),
		};
		this.group = new SimulatedGroup(this.#definition, this.timerService);
		this.group.initialize();
		this.transport = new QueuedTransport(this.group, this.timerService);
		this.hosts = Array.from({length: hostCount}, (_, order) => this.#createHost(order));
	}

	async run(steps: readonly Step[]): Promise<void> {
		await this.settle();
		for (const step of steps) {
			await this.#apply(step);
			await this.timerService.advance(0);
		}
	}

	/** Advances the time while all messages are delivered and all replicas replicate. */
	async settle(milliseconds = 100): Promise<void> {
		for (let elapsed = 0; elapsed < milliseconds; elapsed += settleStepMilliseconds) {
			await this.timerService.advance(settleStepMilliseconds);
			for (const instance of this.group.instances) {
				this.group.replicate(instance, 100);
			}

			this.transport.deliverAll();
			await this.timerService.advance(0);
			this.transport.deliverAll();
		}
	}

	/** Removes all faults. In groups of three or more, the given member remains dead. */
	async recover(deadMember: number): Promise<void> {
		this.transport.partitions.clear();
		this.group.blockedReplication.clear();
		for (const [index, instance] of this.group.instances.entries()) {
			instance.alive = this.group.instances.length < 3 || index !== deadMember;
		}

		for (const host of this.hosts) {
			host.timerService.resume();
		}
	}

	/** Returns whether a new write is acknowledged within the given time. */
	async waitForWrite(milliseconds: number): Promise<boolean> {
		const firstWrite = this.#writes + 1;
		const end = this.timerService.now() + milliseconds;
		while (this.timerService.now() < end) {
			void this.#write(this.#pick(this.hosts, 0), true);
			await this.settle(100);
			if (this.acknowledgements.some(({number}) => number >= firstWrite)) {
				return true;
			}
		}

		return false;
	}

	/** Describes the instances for failure messages. */
	describe(): string {
		return this.group.instances.map(({definition, term, role, alive, following}) =>
			`${definition.name} term ${term} role ${role} alive ${alive} following ${following}`).join('; ');
	}

	async stop(): Promise<void> {
		for (const host of this.hosts) {
			await host.stop();
		}
	}

	#createHost(order: number): SimulatedHost {
		return new SimulatedHost({
			name: `host-${order + 1}`,
			order,
			timerService: this.timerService,
			definition: this.#definition,
			group: this.group,
			transport: this.transport,
			random: () => (order + 1) / 4,
		});
	}

	#pick<Value>(values: readonly Value[], choice: number): Value {
		const value = values[choice % values.length];
		if (value === undefined) {
			throw new Error('nothing to choose from');
		}

		return value;
	}

	async #apply(step: Step): Promise<void> {
		const host = this.#pick(this.hosts, step.first);
		const instance = this.#pick(this.group.instances, step.second);
		const link = `${host.name} ${instance.definition.name}`;
		const handlers: Readonly<Record<Action, () => Promise<void> | void>> = {
			[Action.Deliver]: () => {
				this.transport.dequeue(step.first)?.();
			},
			[Action.DeliverAll]: () => {
				this.transport.deliverAll();
			},
			[Action.Drop]: () => {
				this.transport.dequeue(step.first);
			},
			[Action.Advance]: () => this.timerService.advance(step.first % 120),
			[Action.Replicate]: () => {
				this.group.replicate(instance, 1 + (step.first % 3));
			},
			[Action.WriteFenced]: () => {
				void this.#write(host, false);
			},
			[Action.WriteReplicated]: () => {
				void this.#write(host, true);
			},
			[Action.PromoteManually]() {
				void host.promoter.promoteManually(groupName, step.first % 2 === 0 ? instance.definition.name : undefined);
			},
			[Action.CrashInstance]() {
				instance.alive = false;
			},
			[Action.RestartInstance]() {
				instance.alive = true;
			},
			[Action.PauseHost]() {
				host.timerService.paused = true;
			},
			[Action.ResumeHost]() {
				host.timerService.resume();
			},
			[Action.RestartHost]: async () => {
				await host.stop();
				const order = this.hosts.indexOf(host);
				this.hosts[order] = this.#createHost(order);
			},
			[Action.Partition]: () => {
				this.#partition(link, instance, step.first);
			},
			[Action.Heal]: () => {
				this.transport.partitions.clear();
				this.group.blockedReplication.clear();
			},
		};
		await handlers[step.action]();
	}

	#partition(link: string, instance: SimulatedInstance, choice: number): void {
		this.transport.partitions.add(link);
		const other = this.#pick(this.group.instances, choice);
		this.group.blockedReplication.add(`${instance.definition.name} ${other.definition.name}`);
	}

	async #write(host: SimulatedHost, replicated: boolean): Promise<void> {
		const primary = host.monitor.getPrimary(groupName);
		if (!primary) {
			return;
		}

		this.#writes++;
		const number = this.#writes;
		const identifier = `write-${number}`;
		const written = await this.transport.call(
			host.name,
			primary.instance,
			instance => this.group.write(instance, identifier),
			{timeoutMilliseconds: 1000},
		);
		await host.timerService.waitUntilResumed();
		if (!written.unwrapOr(false)) {
			return;
		}

		this.group.eventCount++;
		const checkEventNumber = this.group.eventCount;
		const confirmed = await host.confirmation.confirm(groupName, primary.instance, {
			expectedTerm: primary.term, replicated, timeoutMilliseconds: 1000,
		});
		if (confirmed.isOk()) {
			this.acknowledgements.push({
				number, identifier, term: primary.term, replicated, checkEventNumber,
			});
		}
	}
}

function checkSafety({group, acknowledgements}: FencingModel): void {
	const terms = group.promotions.map(promotion => promotion.term);
	expect(new Set(terms).size, 'at most one primary for each term').toBe(terms.length);
	for (const acknowledgement of acknowledgements) {
		const newer = group.promotions.filter(promotion => promotion.term > acknowledgement.term);
		expect(
			newer.filter(promotion => promotion.eventNumber < acknowledgement.checkEventNumber),
			`I2: ${acknowledgement.identifier} was acknowledged although a newer primary existed when its confirmation began`,
		).toEqual([]);
		if (acknowledgement.replicated) {
			expect(
				newer.filter(promotion => !promotion.entries.has(acknowledgement.identifier)),
				`${acknowledgement.identifier} was acknowledged as replicated and lost by a promotion`,
			).toEqual([]);
		}
	}
}

function checkConvergence(model: FencingModel): void {
	const alive = model.group.instances.filter(instance => instance.alive);
	expect(new Set(alive.map(instance => instance.term)).size, `terms differ: ${model.describe()}`).toBe(1);
	const primaries = alive.filter(instance => instance.role === InstanceRole.Primary);
	expect(primaries, `not exactly one primary: ${model.describe()}`).toHaveLength(1);
	const [primary] = primaries;
	const allLeaving = alive.every(instance => instance.definition.leaving);
	expect(primary?.definition.leaving && !allLeaving, `a leaving instance remains primary: ${model.describe()}`).toBe(false);
	for (const instance of alive) {
		expect(instance === primary || instance.following === primary?.definition.address, model.describe()).toBe(true);
	}
}

describe('fencing model', () => {
	it.each([
		{members: 3, share: 0.7},
		{members: 2, share: 0.15},
		{members: 5, share: 0.15},
	])('keeps I2, replicated writes, one primary for each term, and recovers, in groups of $members', async ({members, share}) => {
		const {seed} = fc.readConfigureGlobal();
		const numRuns = Math.ceil(interleavings * share);
		let acknowledged = 0;
		let promoted = 0;
		process.stdout.write(`fencing model: ${members} members, seed ${seed}, ${numRuns} interleavings\n`);
		await fc.assert(fc.asyncProperty(
			fc.array(stepArbitrary, {minLength: 40, maxLength: 160, size: 'max'}),
			fc.nat(members - 1),
			fc.nat(members * 2),
			async (steps, deadMember, leavingMember) => {
				const model = new FencingModel(members, leavingMember);
				await model.run(steps);
				checkSafety(model);
				await model.recover(deadMember);
				const recovered = await model.waitForWrite(5000);
				expect(recovered, `the majority is reachable, but no write succeeds: ${model.describe()}`).toBe(true);
				await model.settle(2000);
				checkSafety(model);
				checkConvergence(model);
				expect(await model.waitForWrite(100), `writes stop after the recovery: ${model.describe()}`).toBe(true);
				await model.stop();
				acknowledged += model.acknowledgements.length;
				promoted += model.group.promotions.length - 1;
			},
		), {seed, numRuns, endOnFailure: true});
		process.stdout.write(`fencing model: ${acknowledged} acknowledged writes, ${promoted} promotions\n`);
		// Guards against a model that never acknowledges or promotes, so that its checks are vacuous.
		expect(acknowledged).toBeGreaterThan(numRuns);
		expect(promoted).toBeGreaterThan(numRuns / 4);
	}, 60_000);
});
