import {type LoadRequest, type LoadSession} from './load-request.js';
import {type RankLoad} from './rank-load.js';
import {type SeededRandom} from './seeded-random.js';

/** Name of the table that all loads read and write. */
export const loadTableName = 'load_entries';

/** Options of a `RequestSource`. */
export type RequestSourceOptions = {
	readonly load: RankLoad;
	readonly random: SeededRandom;
	readonly groups: readonly string[];
	/** Names of the hosts. Requests are distributed among them at random, as by a load balancer. */
	readonly hosts: readonly string[];
	/** Prefix of keys and session names that is unique among the loads of a fleet. */
	readonly prefix: string;
};

/** Generates the requests of one rank with their arrival times. */
export class RequestSource {
	readonly #options: RequestSourceOptions;
	readonly #sessions: readonly LoadSession[];
	#nextKey = 1;
	#nextArrivalTime: number;

	/**
	 * @param options - Load, groups and hosts.
	 * @param startTime - Start time of the load.
	 */
	constructor(options: RequestSourceOptions, startTime: number) {
		this.#options = options;
		this.#nextArrivalTime = startTime;
		const {load, groups, prefix} = options;
		this.#sessions = Array.from({length: load.sessionCount}, (_, index) => ({
			name: `${prefix}-${load.rank}-${index}`, group: groups[index % groups.length]!, lastKey: undefined,
		}));
		this.#advanceArrivalTime();
	}

	/** Arrival time of the next request. */
	get nextArrivalTime(): number {
		return this.#nextArrivalTime;
	}

	/** Returns the next request. Reads query the last acknowledged write of their session, to detect stale reads. */
	next(): LoadRequest {
		const {load, random, hosts, prefix} = this.#options;
		const session = this.#sessions[random.integer(this.#sessions.length)]!;
		const isRead = random.uniform() < load.readShare;
		const serviceTime = load.exponentialService ? random.exponential(load.serviceMilliseconds) : load.serviceMilliseconds;
		const comment = `/*rank='${load.rank}',session='${session.name}',service_ms='${serviceTime.toFixed(3)}'*/`;
		const key = isRead ? session.lastKey ?? `${prefix}-none` : `${prefix}-${load.rank}-${this.#nextKey++}`;
		const request: LoadRequest = {
			rank: load.rank,
			group: session.group,
			host: hosts[random.integer(hosts.length)]!,
			isRead,
			statement: isRead
				? `${comment} SELECT id, session FROM ${loadTableName} WHERE id = '${key}'`
				: `${comment} INSERT INTO ${loadTableName} (id, session) VALUES ('${key}', '${session.name}')`,
			intendedTime: this.#nextArrivalTime,
			session,
			key,
			expectsRow: isRead && session.lastKey !== undefined,
		};
		this.#advanceArrivalTime();
		return request;
	}

	#advanceArrivalTime(): void {
		this.#nextArrivalTime += this.#options.random.exponential(1000 / this.#options.load.requestsPerSecond);
	}
}
