import {type Fleet} from '../fleet/index.js';
import {SessionCaller} from './session-caller.js';

/** Connections by host and session. One that is in use is given to nobody else, because a caller sends one request at a time. */
export class SessionCallers implements Disposable {
	readonly #fleet: Fleet;
	readonly #group: string;
	readonly #free = new Map<string, SessionCaller[]>();
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
	 * Lends connections of one session for a piece of work.
	 *
	 * @param hosts - Hosts, one for each connection.
	 * @param session - Identifier of the session.
	 * @param work - Receives the connections.
	 */
	async use(hosts: readonly string[], session: string, work: (callers: readonly SessionCaller[]) => Promise<unknown>): Promise<void> {
		const callers = hosts.map(host => this.#take(host, session));
		try {
			await work(callers);
		} finally {
			for (const caller of callers) {
				this.#getFree(caller.host, session).push(caller);
			}
		}
	}

	/** Closes all connections. */
	[Symbol.dispose](): void {
		for (const caller of this.#all) {
			caller.close();
		}
	}

	#getFree(host: string, session: string): SessionCaller[] {
		const key = `${host}/${session}`;
		const free = this.#free.get(key) ?? [];
		this.#free.set(key, free);
		return free;
	}

	#take(host: string, session: string): SessionCaller {
		const free = this.#getFree(host, session).pop();
		if (free) {
			return free;
		}

		const caller = new SessionCaller(this.#fleet, host, this.#group, session);
		this.#all.push(caller);
		return caller;
	}
}
