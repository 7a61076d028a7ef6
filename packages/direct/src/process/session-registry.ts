import {type Result} from 'neverthrow';
import {ClientSession} from '../connection/client-session.js';
import {type SessionServices} from '../connection/session-services.js';
import {type CallerCredentials, findAccess} from '../request/caller-access.js';
import {type StatementError} from '../request/statement-result.js';

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

	/** Opens a session, or returns why the client may not have one. */
	open(credentials: CallerCredentials): Result<ClientSession, StatementError> {
		return findAccess(this.#services.getConfiguration(), credentials).map(() => {
			const session = new ClientSession(credentials, this.#services);
			this.#sessions.add(session);
			return session;
		});
	}

	/** Closes a session whose client has disconnected. */
	close(session: ClientSession): void {
		this.#sessions.delete(session);
		session[Symbol.dispose]();
	}

	/**
	 * Rolls back the transactions that have been idle for longer than the configuration allows, and those whose clients may no
	 * longer use the database. Called periodically.
	 *
	 * @param now - Monotonic time, in milliseconds.
	 * @param withdrawnKeyMilliseconds - Time for which a transaction may continue after its API key was withdrawn.
	 */
	rollBackDue(now: number, withdrawnKeyMilliseconds: number): void {
		const idleTransactionMilliseconds = this.#services.getConfiguration()?.idleTransactionMilliseconds;
		if (idleTransactionMilliseconds !== undefined) {
			for (const session of this.#sessions) {
				session.rollBackIfDue(now, {idleTransactionMilliseconds, withdrawnKeyMilliseconds});
			}
		}
	}

	[Symbol.dispose](): void {
		for (const session of this.#sessions) {
			session[Symbol.dispose]();
		}
	}
}
