import {type Fleet} from '../fleet/index.js';
import {SessionCaller} from './session-caller.js';

/** Pool of callers by host and session. A caller in use is not shared, because it sends one request at a time. */
export class SessionCallerPool implements Disposable {
	readonly #fleet: Fleet;
	readonly #group: string;
	readonly #idle = new Map<string, SessionCaller[]>();
	readonly #all: SessionCaller[] = [];

	/**
	 * @param fleet - Fleet.
	 * @param group - Group.
	 */
	constructor(fleet: Fleet, group: string) {
		this.#fleet = fleet;
		this.#group = group;
	}

	/**
	 * Runs a function with callers of one session and returns them to the pool afterwards.
	 *
	 * @param hosts - Hosts, one for each caller.
	 * @param session - Identifier of the session.
	 * @param work - Function that receives the callers.
	 */
	async use(hosts: readonly string[], session: string, work: (callers: readonly SessionCaller[]) => Promise<unknown>): Promise<void> {
		const callers = hosts.map(host => this.#acquire(host, session));
		try {
			await work(callers);
		} finally {
			for (const caller of callers) {
				this.#getIdle(caller.host, session).push(caller);
			}
		}
	}

	/** Closes all connections. */
	[Symbol.dispose](): void {
		for (const caller of this.#all) {
			caller.close();
		}
	}

	#getIdle(host: string, session: string): SessionCaller[] {
		const key = `${host}/${session}`;
		const idle = this.#idle.get(key) ?? [];
		this.#idle.set(key, idle);
		return idle;
	}

	#acquire(host: string, session: string): SessionCaller {
		const idle = this.#getIdle(host, session).pop();
		if (idle) {
			return idle;
		}

		const caller = new SessionCaller(this.#fleet, host, this.#group, session);
		this.#all.push(caller);
		return caller;
	}
}
