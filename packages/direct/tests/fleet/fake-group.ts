import {compareLogPositions, type LogPosition} from '@tarragonstack/core/request/log-position';
import {TransactionStatus} from '@tarragonstack/core/request/transaction-status';
import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {err, ok, type Result} from 'neverthrow';
import {
	ChannelFailure, InstanceRole, SessionCommand, StatementErrorCode, StatementKind,
	type ChannelError, type InstanceEntry, type InstanceStatus, type StatementResult, type UpstreamChannel, type UpstreamStatement,
} from '../../src/index.js';

/** Duration of a promotion, in milliseconds. */
const promotionMilliseconds = 1000;

/** Commit of an instance. */
export type FakeCommit = {
	readonly position: LogPosition;
	readonly instance: string;
	readonly at: number;
	readonly identifier: string;
};

/** Statement that an instance ran, with the state of its session and the instance's log position. */
export type FakeRun = {
	readonly identifier: string;
	readonly instance: string;
	readonly values: string;
	readonly isInTransaction: boolean;
	/** Workspace that the instance was told when the connection was opened. */
	readonly workspace: string | undefined;
	readonly text: string;
	readonly position: LogPosition;
};

/** Simulated instance with a log, a role and a term. */
export class FakeInstance {
	entry: InstanceEntry;
	role: InstanceRole;
	term = 1;
	log: LogPosition[] = [];
	isDown = false;
	/** Names of hosts that cannot reach the instance. */
	readonly unreachableFrom = new Set<string>();
	/** Monotonic time before which connections were opened that have gone silent: they are not closed, but get no response. */
	silentBefore = Number.NEGATIVE_INFINITY;
	/** Whether the instance has no free slot for status requests. */
	refusesStatus = false;
	/** Whether commits of the primary are replicated to the instance. */
	receivesCommits = true;
	/** Number of batches whose responses are lost after their statements have run. */
	responsesToLose = 0;
	/** Errors that the next statements return instead of running. */
	readonly nextErrors: StatementErrorCode[] = [];
	connections = 0;
	/** Service time of a statement, in milliseconds. */
	serviceMilliseconds = 0;

	constructor(entry: InstanceEntry) {
		this.entry = entry;
		this.role = entry.role;
	}

	get position(): LogPosition {
		return this.log.at(-1) ?? {term: 0, index: 0};
	}

	/** Receives all that a leader has, and loses what the leader lacks. A replica that receives nothing only loses. */
	follow(leader: FakeInstance): void {
		this.log = this.receivesCommits ? [...leader.log] : this.log.filter(position => leader.holds(position));
		this.term = leader.term;
	}

	/** Returns whether the log contains a position. The positions of a log increase. */
	holds(position: LogPosition): boolean {
		const held = this.log.findLast(candidate => compareLogPositions(candidate, position) <= 0);
		return held !== undefined && compareLogPositions(held, position) === 0;
	}
}

/** Simulated group of instances with a record of all commits and statements. */
export class FakeGroup {
	readonly instances: FakeInstance[];
	readonly commits: FakeCommit[] = [];
	/** Statements that ran, by identifier. */
	readonly runs: FakeRun[] = [];
	promotedAt: number[] = [];
	/** Number of replicas that must hold a commit before the primary responds to it. */
	synchronousReplicas = 0;
	/** Promotions that took effect. */
	readonly promotions: Array<{readonly instance: string; readonly term: number; readonly at: number; readonly log: readonly LogPosition[]}> = [];
	readonly #timer: TimerService;

	constructor(timer: TimerService, group: string, zones: readonly string[]) {
		this.#timer = timer;
		this.instances = zones.map((availabilityZone, index) => new FakeInstance({
			id: `${group}-${index}`, group, address: `10.0.0.${index}:1`, availabilityZone, slots: 3, leaving: false, startedAt: 1, sequence: 1,
			role: index === 0 ? InstanceRole.Primary : InstanceRole.Replica,
		}));
	}

	/** Returns an instance by its identifier. */
	get(id: string): FakeInstance {
		return this.instances.find(({entry}) => entry.id === id)!;
	}

	/** Orders a promotion, which takes effect after `promotionMilliseconds`. Nothing changes for the present primary. */
	promote(id: string): void {
		const instance = this.get(id);
		if (this.#isNewestPrimary(instance)) {
			return;
		}

		this.#timer.schedule(promotionMilliseconds, () => {
			if (instance.isDown || this.#isNewestPrimary(instance)) {
				return;
			}

			instance.term = Math.max(...this.instances.map(({term}) => term)) + 1;
			instance.role = InstanceRole.Primary;
			this.promotedAt.push(this.#timer.now());
			this.promotions.push({instance: id, term: instance.term, at: this.#timer.now(), log: [...instance.log]});
			for (const other of this.instances) {
				if (other !== instance && other.role === InstanceRole.Replica) {
					other.follow(instance);
				}
			}
		});
	}

	/** Returns whether enough replicas hold a commit for the primary to respond to it. */
	isDurable(position: LogPosition): boolean {
		return this.instances.filter(({role, log, isDown}) => role === InstanceRole.Replica && !isDown && log.some(held => compareLogPositions(held, position) === 0)).length >= this.synchronousReplicas;
	}

	/** Commits on a primary and replicates the commit. */
	commit(primary: FakeInstance, identifier: string): LogPosition {
		const previous = primary.position;
		const position = {term: primary.term, index: previous.index + 1};
		primary.log.push(position);
		this.commits.push({position, instance: primary.entry.id, at: this.#timer.now(), identifier});
		for (const replica of this.instances) {
			if (replica.role === InstanceRole.Replica && replica.receivesCommits && !replica.isDown && replica.term <= primary.term) {
				// Logs that end with the same position are the same.
				if (compareLogPositions(replica.position, previous) === 0) {
					replica.log.push(position);
				} else {
					replica.log = [...primary.log];
				}

				replica.term = primary.term;
			}
		}

		return position;
	}

	#isNewestPrimary(instance: FakeInstance): boolean {
		return instance.role === InstanceRole.Primary && instance.term === Math.max(...this.instances.map(({term}) => term));
	}
}

/** Connection of a host to a simulated instance. */
export class FakeChannel implements UpstreamChannel {
	onClose: (() => void) | undefined;
	closed = false;
	lastReceivedAt: number;
	readonly #openedAt: number;
	readonly #instance: FakeInstance;
	readonly #group: FakeGroup;
	readonly #host: string;
	readonly #workspace: string | undefined;
	readonly #timer: TimerService;
	readonly #values = new Map<string, string>();
	readonly #prepared = new Map<string, boolean>();
	#status = TransactionStatus.Idle;
	#writes: string[] = [];
	#hasCommitted = false;

	constructor(instance: FakeInstance, group: FakeGroup, host: string, timer: TimerService, workspace?: string) {
		this.#workspace = workspace;
		this.#instance = instance;
		this.#group = group;
		this.#host = host;
		this.#timer = timer;
		this.#openedAt = timer.now();
		this.lastReceivedAt = this.#openedAt;
		instance.connections++;
	}

	async run(batch: readonly UpstreamStatement[], deadline: number): Promise<Result<StatementResult[], ChannelError>> {
		using _deadline = this.#timer.schedule(deadline - this.#timer.now(), () => {
			this[Symbol.dispose]();
		});
		await this.#timer.sleep(2);
		if (this.#instance.isDown) {
			this[Symbol.dispose]();
			return err({failure: ChannelFailure.Broken, message: 'reset'});
		}

		if (this.#isUnreachable()) {
			return await this.#failAtDeadline(deadline);
		}

		const results = batch.map(entry => this.#runOne(entry));
		if (this.#instance.responsesToLose > 0 && batch.some(entry => 'statement' in entry)) {
			this.#instance.responsesToLose--;
			return await this.#failAtDeadline(deadline);
		}

		await this.#timer.sleep(2 + (batch.some(entry => 'statement' in entry) ? this.#instance.serviceMilliseconds : 0));
		const {position} = this.#instance;
		while (!this.closed && this.#hasCommitted && !this.#group.isDurable(position)) {
			await this.#timer.sleep(5);
		}

		this.#hasCommitted = false;
		if (this.closed) {
			return err({failure: ChannelFailure.Broken, message: 'closed'});
		}

		this.lastReceivedAt = this.#timer.now();
		return ok(results);
	}

	async readStatus(deadline: number): Promise<Result<InstanceStatus, ChannelError>> {
		await this.#timer.sleep(2);
		if (this.#isUnreachable()) {
			return this.#failAtDeadline(deadline);
		}

		return this.#instance.refusesStatus ? err({failure: ChannelFailure.Broken, message: 'busy'}) : ok(this.#getStatus());
	}

	async demote(term: number, deadline: number): Promise<Result<InstanceStatus, ChannelError>> {
		await this.#timer.sleep(2);
		if (this.#isUnreachable()) {
			return this.#failAtDeadline(deadline);
		}

		if (this.#instance.term < term) {
			this.#instance.role = InstanceRole.Replica;
		}

		return ok(this.#getStatus());
	}

	[Symbol.dispose](): void {
		if (!this.closed) {
			this.closed = true;
			this.#instance.connections--;
			this.onClose?.();
		}
	}

	#isUnreachable(): boolean {
		return this.#instance.isDown || this.#instance.unreachableFrom.has(this.#host) || this.#openedAt < this.#instance.silentBefore;
	}

	async #failAtDeadline(deadline: number): Promise<Result<never, ChannelError>> {
		await this.#timer.sleep(deadline - this.#timer.now());
		this[Symbol.dispose]();
		return err({failure: ChannelFailure.TimedOut, message: 'no response in time'});
	}

	#getStatus(): InstanceStatus {
		const {role, term, position} = this.#instance;
		return {isPrimary: role === InstanceRole.Primary, term, received: position};
	}

	#runOne(entry: UpstreamStatement): StatementResult {
		if ('command' in entry) {
			if (entry.command === SessionCommand.Reset) {
				this.#values.clear();
				this.#prepared.clear();
			} else {
				this.#status = TransactionStatus.Idle;
				this.#writes = [];
			}

			return this.#succeed();
		}

		if ('setValue' in entry) {
			this.#values.set(entry.setValue.name, entry.setValue.value);
			return this.#succeed();
		}

		if ('prepare' in entry) {
			this.#prepared.set(entry.prepare.name, entry.prepare.definition.writes);
			return this.#succeed();
		}

		const {minimumPosition} = entry;
		if (minimumPosition && !this.#instance.holds(minimumPosition) && minimumPosition.index > 0) {
			return this.#fail(StatementErrorCode.Behind);
		}

		if ('begin' in entry) {
			if (entry.begin === 'read-write' && this.#instance.role !== InstanceRole.Primary) {
				return this.#fail(StatementErrorCode.ReadOnly);
			}

			this.#status = TransactionStatus.InTransaction;
			return this.#succeed();
		}

		return this.#runStatement(entry.statement.kind, entry.statement.identifier, entry.statement.text, entry.preparedName);
	}

	#runStatement(kind: StatementKind, identifier: string, text: string, preparedName: string | undefined): StatementResult {
		const error = this.#instance.nextErrors.shift();
		if (error) {
			return this.#fail(error);
		}

		if (preparedName !== undefined && !this.#prepared.has(preparedName)) {
			return this.#fail(StatementErrorCode.UnknownPreparedStatement);
		}

		const writes = kind === StatementKind.Write || (preparedName !== undefined && this.#prepared.get(preparedName)!);
		if (writes && this.#instance.role !== InstanceRole.Primary) {
			return this.#fail(StatementErrorCode.ReadOnly);
		}

		this.#group.runs.push({
			identifier, instance: this.#instance.entry.id, values: JSON.stringify([...this.#values]), isInTransaction: this.#status === TransactionStatus.InTransaction, workspace: this.#workspace, text,
			position: this.#instance.position,
		});
		if (kind === StatementKind.Commit) {
			const pending = this.#writes;
			this.#writes = [];
			this.#status = TransactionStatus.Idle;
			if (pending.length > 0) {
				this.#commit(identifier);
			}
		} else if (writes && this.#status === TransactionStatus.InTransaction) {
			this.#writes.push(identifier);
		} else if (writes) {
			this.#commit(identifier);
		}

		return {...this.#succeed(), completion: `proof-${identifier}`, rows: kind === StatementKind.Read ? [String(this.#instance.position.index)] : []};
	}

	#commit(identifier: string): void {
		this.#group.commit(this.#instance, identifier);
		this.#hasCommitted = true;
	}

	#succeed(): StatementResult {
		return {rows: [], completion: '-', status: this.#status, position: this.#instance.position};
	}

	#fail(code: StatementErrorCode): StatementResult {
		if (this.#status === TransactionStatus.InTransaction) {
			this.#status = TransactionStatus.Failed;
		}

		return {rows: [], error: {code, message: 'fake'}, status: this.#status, position: this.#instance.position};
	}
}
