import {ClientSession, type SessionServices} from '../connection/client-session.js';

/** Open sessions of a host. */
export class SessionRegistry implements Disposable {
	readonly #services: SessionServices;
	readonly #sessions = new Set<ClientSession>();

	/**
	 * @param services - Services of the host that all sessions use.
	 */
	constructor(services: SessionServices) {
		this.#services = services;
	}

	/** Number of open sessions. */
	get size(): number {
		return this.#sessions.size;
	}

	/** Opens a session, or returns `undefined` if the database has no route. */
	open(database: string): ClientSession | undefined {
		if (!this.#services.getConfiguration()?.routes.has(database)) {
			return undefined;
		}

		const session = new ClientSession(database, this.#services);
		this.#sessions.add(session);
		return session;
	}

	/** Closes a session whose client has disconnected. */
	close(session: ClientSession): void {
		this.#sessions.delete(session);
		session[Symbol.dispose]();
	}

	/** Rolls back the transactions that have been idle for longer than the configuration allows. Called periodically. */
	rollBackIdle(now: number): void {
		const limit = this.#services.getConfiguration()?.idleTransactionMilliseconds;
		if (limit !== undefined) {
			for (const session of this.#sessions) {
				session.rollBackIfIdle(now, limit);
			}
		}
	}

	[Symbol.dispose](): void {
		for (const session of this.#sessions) {
			session[Symbol.dispose]();
		}
	}
}
