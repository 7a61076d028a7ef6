import {SystemTimerService} from '@tarragonstack/core';
import pg from 'pg';
import {type Fleet} from '../fleet/index.js';
import {getErrorCode} from '../load/index.js';

/** Query timeout of a caller. It exceeds all timeouts of the example contracts. */
const queryTimeoutMilliseconds = 7000;
const connectTimeoutMilliseconds = 2000;

const timerService = new SystemTimerService();

/** Error of a caller that could not connect, so that no request was sent. */
export class NotConnectedError extends Error {
	readonly code = 'not connected';

	/** @param cause - Error of the connection attempt. */
	constructor(cause: unknown) {
		super(`no connection: ${getErrorCode(cause)}`, {cause});
	}
}

/** Driver connection of a caller to a host. It is reopened after a connection error. */
export class SessionCaller {
	readonly #fleet: Fleet;
	readonly #options: string;
	#client: pg.Client | undefined;

	/**
	 * @param fleet - Fleet.
	 * @param host - Name of the host.
	 * @param group - Group.
	 * @param session - Identifier of a session that may span several hosts. If omitted, the session is the connection.
	 */
	constructor(fleet: Fleet, readonly host: string, readonly group: string, readonly session?: string) {
		this.#fleet = fleet;
		this.#options = session === undefined ? '' : `-c tarragon.session=${session}`;
	}

	/** Whether a connection is open that the next statement will use. */
	get isConnected(): boolean {
		return this.#client !== undefined;
	}

	/**
	 * Runs a statement.
	 *
	 * @param text - Statement.
	 * @param values - Parameters. If given, the extended query protocol is used.
	 */
	async query(text: string, values?: readonly unknown[]): Promise<pg.QueryResult<Record<string, string | null>>> {
		const client = await this.#connect();
		try {
			// A host processes the simple and the extended query protocol differently, so both are exercised.
			return await (values ? client.query<Record<string, string | null>>(text, [...values]) : client.query<Record<string, string | null>>(text));
		} catch (error) {
			const code = getErrorCode(error);
			if (!/^[A-Z\d]{5}$/v.test(code) || code === '57P01') {
				this.close();
			}

			throw error;
		}
	}

	/** Closes the connection without waiting for the host. */
	close(): void {
		const client = this.#client;
		this.#client = undefined;
		if (client) {
			void client.end().catch(() => {});
		}
	}

	async #connect(): Promise<pg.Client> {
		if (this.#client) {
			return this.#client;
		}

		const client = new pg.Client({
			connectionString: this.#fleet.getConnectionString(this.host, this.group),
			options: this.#options,
			query_timeout: queryTimeoutMilliseconds,
			connectionTimeoutMillis: connectTimeoutMilliseconds,
		});
		client.on('error', () => {
			if (this.#client === client) {
				this.#client = undefined;
			}
		});
		try {
			await client.connect();
		} catch (error) {
			void client.end().catch(() => {});
			await timerService.sleep(20);
			throw new NotConnectedError(error);
		}

		this.#client = client;
		return client;
	}
}
