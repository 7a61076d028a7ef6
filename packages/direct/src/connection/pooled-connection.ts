import {loadCrypto} from '@tarragonstack/core/codec/load-crypto';
import {type PreparedDefinition} from '../request/statement.js';
import {SessionCommand, type UpstreamChannel, type UpstreamStatement} from './upstream-channel.js';

/** Session state of a client that a connection must have before it runs the client's statements. */
export type SessionContext = {
	readonly values: ReadonlyMap<string, string>;
	/** Name of the workspace on whose connections the statements run; `undefined` for the host's own connections. */
	readonly workspace?: string;
	/** Weight class of the workspace: each step up halves its share of an instance. */
	readonly workspacePriority?: number;
	/** Whether connections of any workspace will do, because no statement of a client is run. */
	readonly acceptsAnyWorkspace?: boolean;
};

/** Prepared statements on a connection after which it is reset; this bounds the memory use of the instance. */
const maximumPreparedStatements = 100;

/** Pooled connection to an instance, with the session state that its users have left on it. */
export class PooledConnection {
	/** Channel to the instance. */
	readonly channel: UpstreamChannel;
	/** Whether statements are sent through a gateway. */
	readonly usesGateway: boolean;
	/** Workspace that the instance was told, or `undefined` for the host's own name. */
	readonly workspace: string | undefined;
	readonly #values = new Map<string, string>();
	readonly #prepared = new Set<string>();

	/**
	 * @param channel - New channel without session state.
	 * @param options - Workspace that the instance was told, and whether statements are sent through a gateway.
	 */
	constructor(channel: UpstreamChannel, options: {readonly workspace?: string | undefined; readonly usesGateway?: boolean} = {}) {
		this.channel = channel;
		this.usesGateway = options.usesGateway ?? false;
		this.workspace = options.workspace;
	}

	/** Returns whether statements of a session may run on the connection. A gateway is told the workspace with each statement. */
	serves(context: SessionContext): boolean {
		return this.usesGateway || context.acceptsAnyWorkspace === true || this.workspace === context.workspace;
	}

	/** Monotonic time of the last response of the instance, in milliseconds. */
	get lastReceivedAt(): number {
		return this.channel.lastReceivedAt;
	}

	/** Returns whether the connection has exactly the value names of a session. */
	matchesSession(context: SessionContext): boolean {
		return this.#values.size === context.values.size && this.#hasOnlyValuesOf(context);
	}

	/**
	 * Returns the statements that apply the state of a session to the connection, and records their effect.
	 *
	 * @param context - Session state to apply.
	 * @param definition - Prepared statement that is to be executed next.
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

	/** Whether each value name on the connection exists in the session as well, perhaps with another value. */
	#hasOnlyValuesOf(context: SessionContext): boolean {
		for (const name of this.#values.keys()) {
			if (!context.values.has(name)) {
				return false;
			}
		}

		return true;
	}
}

/** Shapes that are part of the name themselves. A name is one word, so it contains neither blanks nor control characters. */
const wordShape = /^\w{1,32}$/v;

/**
 * Returns the name of a prepared statement on pooled connections. It depends on the definition alone: clients share
 * equal definitions, and the names that they choose cannot collide. The digest of a shape that is not a short word has a
 * prefix of its own, so that no word equals it.
 *
 * @param definition - Definition of the prepared statement.
 */
export function getPreparedName({writes, shape}: PreparedDefinition): string {
	return wordShape.test(shape)
		? `${writes ? 'w' : 'r'}${shape}`
		: `${writes ? 'W' : 'R'}${loadCrypto().createHash('sha256').update(shape).digest('base64url')}`;
}
