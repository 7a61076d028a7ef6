import {type PreparedDefinition} from '../request/statement.js';
import {SessionCommand, type UpstreamChannel, type UpstreamStatement} from './upstream-channel.js';

/** State of a client's session that has to hold on the connection on which its statements run. */
export type SessionContext = {
	readonly values: ReadonlyMap<string, string>;
};

/** Prepared statements that a connection keeps before it is reset; it bounds the memory of the instance. */
const maximumPreparedStatements = 100;

/** Pooled connection to an instance, with what it holds of the sessions that used it. */
export class PooledConnection {
	/** Connection to the instance. */
	readonly channel: UpstreamChannel;
	/** Whether a gateway runs the statements. */
	readonly isRelayed: boolean;
	readonly #values = new Map<string, string>();
	readonly #prepared = new Set<string>();

	/**
	 * @param channel - New connection that holds nothing yet.
	 * @param isRelayed - Whether a gateway runs the statements.
	 */
	constructor(channel: UpstreamChannel, isRelayed = false) {
		this.channel = channel;
		this.isRelayed = isRelayed;
	}

	/** Returns whether the connection holds exactly the values of a session. */
	matchesSession(context: SessionContext): boolean {
		return this.#values.size === context.values.size && this.#hasOnlyValuesOf(context);
	}

	/**
	 * Returns the statements that make the connection hold the context of a session, and remembers their effect.
	 *
	 * @param context - Context that has to hold.
	 * @param definition - Prepared statement that is about to run.
	 */
	synchronizeSession(context: SessionContext, definition?: PreparedDefinition): UpstreamStatement[] {
		const statements: UpstreamStatement[] = [];
		if (!this.#hasOnlyValuesOf(context) || this.#prepared.size >= maximumPreparedStatements) {
			statements.push({command: SessionCommand.Reset});
			this.#values.clear();
			this.#prepared.clear();
		}

		for (const [name, value] of context.values) {
			if (this.#values.get(name) !== value) {
				statements.push({setValue: {name, value}});
				this.#values.set(name, value);
			}
		}

		if (definition) {
			const name = getPreparedName(definition);
			if (!this.#prepared.has(name)) {
				statements.push({prepare: {name, definition}});
				this.#prepared.add(name);
			}
		}

		return statements;
	}

	/** Whether each value that the connection holds belongs to the session, perhaps with another content. */
	#hasOnlyValuesOf(context: SessionContext): boolean {
		for (const name of this.#values.keys()) {
			if (!context.values.has(name)) {
				return false;
			}
		}

		return true;
	}
}

/**
 * Returns the name under which pooled connections hold a prepared statement. Equal definitions of different clients
 * share it, so that names of clients never collide.
 *
 * @param definition - What the statement runs.
 */
export function getPreparedName(definition: PreparedDefinition): string {
	return `${definition.writes ? 'w' : 'r'}${definition.shape}`;
}
