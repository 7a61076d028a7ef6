import {err, ok, type Result} from 'neverthrow';
import {analyzeSql, type SqlAnalysis} from '../../request/index.js';
import {type CallerError, SqlState} from './caller-error.js';
import {type FrontendMessage, maximumMessageBytes} from './frontend-message-reader.js';
import {encodeFrontendMessage, MessageFields} from './message-fields.js';
import {maximumStatementBytes, type PreparedStatement, type PreparedStatements} from './prepared-statements.js';
import {
	type UnitStep, UnitStepKind, type StatementChange, type StatementUnit,
} from './statement-unit.js';

/** Maximum size of a unit including inserted Parse messages, in bytes. */
const maximumUnitBytes = 2 * maximumMessageBytes;

/** State of the connection on which the building of a unit depends. */
export type UnitContext = {
	readonly statements: PreparedStatements;
	readonly portals: ReadonlyMap<string, SqlAnalysis>;
	/** Returns the SQL text to send, for example ROLLBACK in place of COMMIT in a failed transaction. */
	readonly replaceText: (analysis: SqlAnalysis) => string;
};

type StepResult = Result<void, CallerError>;

/**
 * Builds a statement unit from extended-query messages. All prepared statements are sent as the unnamed statement. A Parse
 * message is inserted wherever a message refers to a statement that is not the current unnamed statement upstream.
 */
class UnitBuilder {
	readonly #context: UnitContext;
	readonly #output: Buffer[] = [];
	readonly #hiddenParseCompletes: number[] = [];
	readonly #steps: UnitStep[] = [];
	readonly #statementChanges: Array<StatementChange | undefined> = [];
	readonly #changedStatements = new Map<string, PreparedStatement | undefined>();
	readonly #portals: Map<string, SqlAnalysis>;
	/** Unnamed statement of the upstream at this point of the unit. */
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

	build(messages: readonly FrontendMessage[], arrivedAt: number): Result<StatementUnit, CallerError> {
		for (const message of messages) {
			const added = this.#handlers[message.type]?.(message) ?? createMalformedMessageError(message);
			if (added.isErr()) {
				return err(added.error);
			}

			if (this.#outputBytes > maximumUnitBytes) {
				return err({code: SqlState.ProgramLimitExceeded, message: `a statement unit exceeds the limit of ${maximumUnitBytes} bytes; send Sync more often`});
			}
		}

		this.#push(encodeFrontendMessage('S'));
		return ok({
			isSimple: false,
			messages: Buffer.concat(this.#output),
			hiddenParseCompletes: this.#hiddenParseCompletes,
			steps: this.#steps,
			changes: this.#statementChanges,
			portals: this.#portals,
			arrivedAt,
		});
	}

	#addParse(message: FrontendMessage): StepResult {
		const fields = new MessageFields(message.bytes);
		const name = fields.readString();
		const text = fields.readString();
		if (name === undefined || text === undefined) {
			return createMalformedMessageError(message);
		}

		if (name !== '' && this.#findStatement(name)) {
			return err({code: SqlState.DuplicateStatement, message: `prepared statement "${name}" already exists`});
		}

		if (this.#context.statements.bytes + text.length > maximumStatementBytes) {
			return err({
				code: SqlState.ProgramLimitExceeded,
				message: `the prepared statements of the connection exceed ${maximumStatementBytes} bytes`,
				hint: 'close statements that are no longer used',
			});
		}

		// The parameter types are copied, because a long-lived statement would otherwise retain the whole received chunk.
		const statement = {analysis: analyzeSql(text), parameterTypes: Buffer.from(fields.getRemainingBytes())};
		this.#pushParse(statement);
		this.#changedStatements.set(name, statement);
		this.#statementChanges.push({name, statement});
		this.#steps.push({kind: UnitStepKind.Parse, analysis: statement.analysis});
		return ok();
	}

	#addBind(message: FrontendMessage): StepResult {
		const fields = new MessageFields(message.bytes);
		const portal = fields.readString();
		const name = fields.readString();
		if (portal === undefined || name === undefined) {
			return createMalformedMessageError(message);
		}

		return this.#useStatement(name).andThen(statement => {
			this.#push(encodeFrontendMessage('B', `${portal}\0\0`, fields.getRemainingBytes()));
			this.#portals.set(portal, statement.analysis);
			this.#steps.push({kind: UnitStepKind.Bind, analysis: statement.analysis});
			return ok();
		});
	}

	#addDescribe(message: FrontendMessage): StepResult {
		const fields = new MessageFields(message.bytes);
		const target = fields.readCharacter();
		const name = fields.readString();
		if (name === undefined || (target !== 'S' && target !== 'P')) {
			return createMalformedMessageError(message);
		}

		if (target === 'P') {
			return this.#usePortal(name, UnitStepKind.DescribePortal, message);
		}

		return this.#useStatement(name).andThen(statement => {
			this.#push(encodeFrontendMessage('D', 'S\0'));
			this.#steps.push({kind: UnitStepKind.DescribeStatement, analysis: statement.analysis});
			return ok();
		});
	}

	#addExecute(message: FrontendMessage): StepResult {
		const portal = new MessageFields(message.bytes).readString();
		return portal === undefined ? createMalformedMessageError(message) : this.#usePortal(portal, UnitStepKind.Execute, message);
	}

	#addClose(message: FrontendMessage): StepResult {
		const fields = new MessageFields(message.bytes);
		const target = fields.readCharacter();
		const name = fields.readString();
		if (name === undefined || (target !== 'S' && target !== 'P')) {
			return createMalformedMessageError(message);
		}

		this.#steps.push({kind: UnitStepKind.Close});
		if (target === 'P') {
			this.#portals.delete(name);
			this.#statementChanges.push(undefined);
			this.#push(message.bytes);
			return ok();
		}

		this.#changedStatements.set(name, undefined);
		this.#statementChanges.push({name});
		this.#upstreamStatement = undefined;
		this.#push(encodeFrontendMessage('C', 'S\0'));
		return ok();
	}

	#useStatement(name: string): Result<PreparedStatement, CallerError> {
		const statement = this.#findStatement(name);
		if (!statement) {
			return err({code: SqlState.InvalidStatementName, message: name === '' ? 'unnamed prepared statement does not exist' : `prepared statement "${name}" does not exist`});
		}

		if (this.#upstreamStatement !== statement) {
			this.#hiddenParseCompletes.push(this.#parseCount);
			this.#pushParse(statement);
		}

		return ok(statement);
	}

	#usePortal(name: string, kind: UnitStepKind, message: FrontendMessage): StepResult {
		const analysis = this.#portals.get(name);
		if (!analysis) {
			return err({
				code: SqlState.InvalidPortalName,
				message: `portal "${name}" does not exist`,
				hint: 'outside a transaction a portal exists only until Sync; open a transaction to fetch rows in several units',
			});
		}

		this.#push(message.bytes);
		this.#steps.push({kind, analysis});
		return ok();
	}

	#findStatement(name: string): PreparedStatement | undefined {
		return this.#changedStatements.has(name) ? this.#changedStatements.get(name) : this.#context.statements.get(name);
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
 * Builds a statement unit from extended-query messages.
 *
 * @param messages - Messages without the final Sync or Flush.
 * @param arrivedAt - Monotonic time at which the first byte was read, in milliseconds.
 * @param context - State of the connection.
 */
export function buildExtendedUnit(messages: readonly FrontendMessage[], arrivedAt: number, context: UnitContext): Result<StatementUnit, CallerError> {
	return new UnitBuilder(context).build(messages, arrivedAt);
}

/**
 * Builds a statement unit from a Query message.
 *
 * @param message - Query message.
 * @param context - State of the connection.
 */
export function buildSimpleUnit(message: FrontendMessage, context: UnitContext): Result<StatementUnit, CallerError> {
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
		steps: [{kind: UnitStepKind.Execute, analysis}],
		changes: [],
		portals: context.portals,
		arrivedAt: message.arrivedAt,
	});
}

function createMalformedMessageError(message: FrontendMessage): Result<never, CallerError> {
	return err({code: SqlState.ProtocolViolation, message: `malformed message of type "${message.type}"`});
}
