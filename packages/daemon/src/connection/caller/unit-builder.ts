import {err, ok, type Result} from 'neverthrow';
import {analyzeSql, type SqlAnalysis} from '../../request/index.js';
import {type CallerError, SqlState} from './caller-error.js';
import {type FrontendMessage, maximumMessageBytes} from './frontend-message-reader.js';
import {encodeFrontendMessage, MessageFields} from './message-fields.js';
import {maximumStatementBytes, type PreparedStatement, type PreparedStatements} from './prepared-statements.js';
import {
	type Step, StepKind, type StatementChange, type Unit,
} from './unit.js';

/** Greatest size of a unit with the inserted Parse messages, in bytes. */
const maximumUnitBytes = 2 * maximumMessageBytes;

/** State of the connection on which a unit builds. */
export type UnitContext = {
	readonly statements: PreparedStatements;
	readonly portals: ReadonlyMap<string, SqlAnalysis>;
	/** Replaces the SQL text that is sent, for instance COMMIT by ROLLBACK in a failed transaction. */
	readonly replaceText: (analysis: SqlAnalysis) => string;
};

type StepResult = Result<void, CallerError>;

/**
 * Makes a unit of extended-protocol messages. Named statements become the unnamed one, and Parse is inserted where the
 * caller refers to a statement of an earlier unit.
 */
class UnitBuilder {
	readonly #context: UnitContext;
	readonly #output: Buffer[] = [];
	readonly #hidden: number[] = [];
	readonly #steps: Step[] = [];
	readonly #changes: Array<StatementChange | undefined> = [];
	readonly #changed = new Map<string, PreparedStatement | undefined>();
	readonly #portals: Map<string, SqlAnalysis>;
	/** Statement that the upstream holds as the unnamed one at this point of the unit. */
	#upstreamStatement?: PreparedStatement;
	#parseCount = 0;
	#outputBytes = 0;

	readonly #handlers: Readonly<Record<string, (message: FrontendMessage) => StepResult>> = {
		P: message => this.#addParse(message),
		B: message => this.#addBind(message),
		D: message => this.#addDescribe(message),
		E: message => this.#addExecute(message),
		C: message => this.#addClose(message),
	};

	constructor(context: UnitContext) {
		this.#context = context;
		this.#portals = new Map(context.portals);
	}

	build(messages: readonly FrontendMessage[], arrivedAt: number): Result<Unit, CallerError> {
		for (const message of messages) {
			const added = this.#handlers[message.type]?.(message) ?? malformed(message);
			if (added.isErr()) {
				return err(added.error);
			}

			if (this.#outputBytes > maximumUnitBytes) {
				return err({code: SqlState.ProgramLimitExceeded, message: `a unit exceeds the limit of ${maximumUnitBytes} bytes; send Sync more often`});
			}
		}

		this.#push(encodeFrontendMessage('S'));
		return ok({
			isSimple: false,
			messages: Buffer.concat(this.#output),
			hiddenParseCompletes: this.#hidden,
			steps: this.#steps,
			changes: this.#changes,
			portals: this.#portals,
			arrivedAt,
		});
	}

	#addParse(message: FrontendMessage): StepResult {
		const fields = new MessageFields(message.bytes);
		const name = fields.readString();
		const text = fields.readString();
		if (name === undefined || text === undefined) {
			return malformed(message);
		}

		if (name !== '' && this.#find(name)) {
			return err({code: SqlState.DuplicateStatement, message: `prepared statement "${name}" already exists`});
		}

		if (this.#context.statements.bytes + text.length > maximumStatementBytes) {
			return err({
				code: SqlState.ProgramLimitExceeded,
				message: `the prepared statements of the connection exceed ${maximumStatementBytes} bytes`,
				hint: 'close statements that are no longer used',
			});
		}

		// A copy, because the received chunk is larger and the statement may live long.
		const statement = {analysis: analyzeSql(text), parameterTypes: Buffer.from(fields.getRemainingBytes())};
		this.#pushParse(statement);
		this.#changed.set(name, statement);
		this.#changes.push({name, statement});
		this.#steps.push({kind: StepKind.Parse, analysis: statement.analysis});
		return ok();
	}

	#addBind(message: FrontendMessage): StepResult {
		const fields = new MessageFields(message.bytes);
		const portal = fields.readString();
		const name = fields.readString();
		if (portal === undefined || name === undefined) {
			return malformed(message);
		}

		return this.#useStatement(name).andThen(statement => {
			this.#push(encodeFrontendMessage('B', `${portal}\0\0`, fields.getRemainingBytes()));
			this.#portals.set(portal, statement.analysis);
			this.#steps.push({kind: StepKind.Bind, analysis: statement.analysis});
			return ok();
		});
	}

	#addDescribe(message: FrontendMessage): StepResult {
		const fields = new MessageFields(message.bytes);
		const target = fields.readCharacter();
		const name = fields.readString();
		if (name === undefined || (target !== 'S' && target !== 'P')) {
			return malformed(message);
		}

		if (target === 'P') {
			return this.#usePortal(name, StepKind.DescribePortal, message);
		}

		return this.#useStatement(name).andThen(statement => {
			this.#push(encodeFrontendMessage('D', 'S\0'));
			this.#steps.push({kind: StepKind.DescribeStatement, analysis: statement.analysis});
			return ok();
		});
	}

	#addExecute(message: FrontendMessage): StepResult {
		const portal = new MessageFields(message.bytes).readString();
		return portal === undefined ? malformed(message) : this.#usePortal(portal, StepKind.Execute, message);
	}

	#addClose(message: FrontendMessage): StepResult {
		const fields = new MessageFields(message.bytes);
		const target = fields.readCharacter();
		const name = fields.readString();
		if (name === undefined || (target !== 'S' && target !== 'P')) {
			return malformed(message);
		}

		this.#steps.push({kind: StepKind.Close});
		if (target === 'P') {
			this.#portals.delete(name);
			this.#changes.push(undefined);
			this.#push(message.bytes);
			return ok();
		}

		this.#changed.set(name, undefined);
		this.#changes.push({name});
		this.#upstreamStatement = undefined;
		this.#push(encodeFrontendMessage('C', 'S\0'));
		return ok();
	}

	#useStatement(name: string): Result<PreparedStatement, CallerError> {
		const statement = this.#find(name);
		if (!statement) {
			return err({code: SqlState.InvalidStatementName, message: name === '' ? 'unnamed prepared statement does not exist' : `prepared statement "${name}" does not exist`});
		}

		if (this.#upstreamStatement !== statement) {
			this.#hidden.push(this.#parseCount);
			this.#pushParse(statement);
		}

		return ok(statement);
	}

	#usePortal(name: string, kind: StepKind, message: FrontendMessage): StepResult {
		const analysis = this.#portals.get(name);
		if (!analysis) {
			return err({
				code: SqlState.InvalidPortalName,
				message: `portal "${name}" does not exist`,
				hint: 'outside a transaction a portal lives only until Sync; open a transaction to fetch rows in several units',
			});
		}

		this.#push(message.bytes);
		this.#steps.push({kind, analysis});
		return ok();
	}

	#find(name: string): PreparedStatement | undefined {
		return this.#changed.has(name) ? this.#changed.get(name) : this.#context.statements.get(name);
	}

	#pushParse(statement: PreparedStatement): void {
		this.#parseCount++;
		this.#upstreamStatement = statement;
		this.#push(encodeFrontendMessage('P', '\0', `${this.#context.replaceText(statement.analysis)}\0`, statement.parameterTypes));
	}

	#push(message: Buffer): void {
		this.#output.push(message);
		this.#outputBytes += message.length;
	}
}

/**
 * Makes a unit of extended-protocol messages.
 *
 * @param messages - Messages without Sync and Flush.
 * @param arrivedAt - Monotonic time at which the first byte was read, in milliseconds.
 * @param context - State of the connection.
 */
export function buildExtendedUnit(messages: readonly FrontendMessage[], arrivedAt: number, context: UnitContext): Result<Unit, CallerError> {
	return new UnitBuilder(context).build(messages, arrivedAt);
}

/**
 * Makes a unit of a Query message.
 *
 * @param message - Query message.
 * @param context - State of the connection.
 */
export function buildSimpleUnit(message: FrontendMessage, context: UnitContext): Result<Unit, CallerError> {
	const text = new MessageFields(message.bytes).readString();
	if (text === undefined) {
		return err({code: SqlState.ProtocolViolation, message: 'malformed Query message'});
	}

	const analysis = analyzeSql(text);
	const sentText = context.replaceText(analysis);
	return ok({
		isSimple: true,
		messages: sentText === text ? message.bytes : encodeFrontendMessage('Q', `${sentText}\0`),
		hiddenParseCompletes: [],
		steps: [{kind: StepKind.Execute, analysis}],
		changes: [],
		portals: context.portals,
		arrivedAt: message.arrivedAt,
	});
}

function malformed(message: FrontendMessage): Result<never, CallerError> {
	return err({code: SqlState.ProtocolViolation, message: `malformed message of type "${message.type}"`});
}
