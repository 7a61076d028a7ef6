import {type LoadRequest, type LoadSession} from './load-request.js';
import {type RankLoad} from './rank-load.js';
import {type SeededRandom} from './seeded-random.js';

/** Name of the table that a load uses. */
export const loadTable = 'load_entries';

/** Settings of a `RequestSource`. */
export type RequestSourceOptions = {
	readonly load: RankLoad;
	readonly random: SeededRandom;
	readonly groups: readonly string[];
	/** Names of the hosts among which requests are spread, as a load balancer does. */
	readonly hosts: readonly string[];
	/** Prefix of keys and session names that tells the loads of one fleet apart. */
	readonly prefix: string;
};

/** Generates the requests of one rank with their arrival times. */
export class RequestSource {
	readonly #options: RequestSourceOptions;
	readonly #sessions: readonly LoadSession[];
	#nextKey = 1;
	#time: number;

	/**
	 * @param options - Load, groups and hosts.
	 * @param startTime - Time at which the load begins.
	 */
	constructor(options: RequestSourceOptions, startTime: number) {
		this.#options = options;
		this.#time = startTime;
		const {load, groups, prefix} = options;
		this.#sessions = Array.from({length: load.sessionCount}, (_, index) => ({
			name: `${prefix}-${load.rank}-${index}`, group: groups[index % groups.length]!, lastKey: undefined,
		}));
		this.#advance();
	}

	/** Arrival time of the next request. */
	get nextTime(): number {
		return this.#time;
	}

	/** Returns the next request. Reads ask for the session's own last write, so that a missing one is noticed. */
	next(): LoadRequest {
		const {load, random, hosts, prefix} = this.#options;
		const session = this.#sessions[random.integer(this.#sessions.length)]!;
		const isRead = random.uniform() < load.readShare;
		const service = load.exponentialService ? random.exponential(load.serviceMilliseconds) : load.serviceMilliseconds;
		const comment = `/*rank='${load.rank}',session='${session.name}',service_ms='${service.toFixed(3)}'*/`;
		const key = isRead ? session.lastKey ?? `${prefix}-none` : `${prefix}-${load.rank}-${this.#nextKey++}`;
		const request: LoadRequest = {
			rank: load.rank,
			group: session.group,
			host: hosts[random.integer(hosts.length)]!,
			isRead,
			statement: isRead
				? `${comment} SELECT id, session FROM ${loadTable} WHERE id = '${key}'`
				: `${comment} INSERT INTO ${loadTable} (id, session) VALUES ('${key}', '${session.name}')`,
			intendedTime: this.#time,
			session,
			key,
			expectsRow: isRead && session.lastKey !== undefined,
		};
		this.#advance();
		return request;
	}

	#advance(): void {
		this.#time += this.#options.random.exponential(1000 / this.#options.load.requestsPerSecond);
	}
}
