import {SystemTimerService} from '@tarragonstack/core';
import {type Fleet} from '../fleet/index.js';
import {SeededRandom} from '../load/index.js';
import {CallerOperations, counterCount} from './caller-operations.js';
import {History, WriteKind} from './history.js';
import {SessionCaller} from './session-caller.js';

/** Delay of a worker between two requests. */
const pauseMilliseconds = 4;

const timerService = new SystemTimerService();

/** Options of a `Workload`. */
export type WorkloadOptions = {
	readonly fleet: Fleet;
	readonly group: string;
	/** Prefix of all tokens in the history. */
	readonly prefix: string;
	readonly seed: number;
	/** Number of workers per host. Defaults to 2. */
	readonly workersPerHost?: number;
	/** Names of the hosts that callers use. Defaults to all hosts. */
	readonly hosts?: readonly string[];
};

/** Sends requests of all kinds through all hosts until stopped. Half of the workers have a session that spans all hosts. */
export class Workload implements AsyncDisposable {
	readonly history: History;
	readonly operations: CallerOperations;
	readonly #options: WorkloadOptions;
	readonly #hosts: readonly string[];
	readonly #random: SeededRandom;
	readonly #workers: Array<Promise<void>> = [];
	readonly #callers = new Map<string, SessionCaller>();
	#isStopped = false;

	/** @param options - Options. */
	constructor(options: WorkloadOptions) {
		this.#options = options;
		this.#hosts = options.hosts ?? options.fleet.hosts.map(({name}) => name);
		this.#random = new SeededRandom(options.seed);
		this.history = new History(options.prefix);
		this.operations = new CallerOperations(this.history);
	}

	/** Starts the workers. */
	start(): void {
		for (const [index, host] of this.#hosts.entries()) {
			for (let worker = 0; worker < (this.#options.workersPerHost ?? 2); worker++) {
				this.#workers.push(this.#run(host, worker % 2 === 0 ? `${this.#options.prefix}-s${index}` : undefined));
			}
		}
	}

	/** Stops the workers after their current requests. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		await Promise.all(this.#workers);
	}

	/** Stops the workers and closes the connections. */
	async [Symbol.asyncDispose](): Promise<void> {
		await this.stop();
		for (const caller of this.#callers.values()) {
			caller.close();
		}
	}

	async #run(fixedHost: string, session: string | undefined): Promise<void> {
		const worker = this.#workers.length;
		while (!this.#isStopped) {
			const caller = this.#getCaller(worker, session === undefined ? fixedHost : this.#pickHost(), session);
			await this.#sendRandomRequest(worker, caller);
			await timerService.sleep(pauseMilliseconds);
		}
	}

	async #sendRandomRequest(worker: number, caller: SessionCaller): Promise<void> {
		const {operations} = this;
		const counter = this.#random.integer(counterCount);
		const choices: ReadonlyArray<readonly [weight: number, run: () => Promise<unknown>]> = [
			[20, () => operations.insert(caller)],
			[25, () => operations.readOwnWrites(caller, this.#random.integer(2) === 0)],
			[10, () => operations.append(caller, counter)],
			[10, () => operations.appendWithKey([caller, this.#getCaller(worker, this.#pickHost(), caller.session)], counter)],
			[8, () => operations.writePair(caller)],
			[2, () => operations.writePair(caller, 'ROLLBACK')],
			[3, () => operations.writePair(caller, 'close')],
			[10, () => operations.readPair(caller, this.#pickPair())],
			[7, () => operations.readConstant(caller)],
			[7, () => operations.readConstant(caller, true)],
		];
		let remainingWeight = this.#random.integer(choices.reduce((sum, [weight]) => sum + weight, 0));
		for (const [weight, run] of choices) {
			remainingWeight -= weight;
			if (remainingWeight < 0) {
				await run();
				return;
			}
		}
	}

	#pickHost(): string {
		return this.#hosts[this.#random.integer(this.#hosts.length)]!;
	}

	#pickPair(): string {
		const recent = this.history.records.slice(-200).filter(({kind}) => kind === WriteKind.Pair);
		return recent.length === 0 ? 'none' : recent[this.#random.integer(recent.length)]!.token;
	}

	#getCaller(worker: number, host: string, session: string | undefined): SessionCaller {
		const key = `${worker}/${host}`;
		let caller = this.#callers.get(key);
		if (!caller) {
			caller = new SessionCaller(this.#options.fleet, host, this.#options.group, session);
			this.#callers.set(key, caller);
		}

		return caller;
	}
}
