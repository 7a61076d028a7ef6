import {type Contract} from '@tarragonstack/core';
import {BackendMessageCode} from 'pg-gateway';
import {err, ok, Result} from 'neverthrow';
import {
	SessionAction, type SqlAnalysis, type StatementAnalysis, StatementClass,
} from '../../request/index.js';
import {
	encodeCommandComplete, encodeEmptyMessage, encodeEmptyParameterDescription, encodeTextRowDescription, encodeTextDataRow,
} from './backend-messages.js';
import {type CallerError} from './caller-error.js';
import {type SessionState} from './session-state.js';
import {type UnitStep, UnitStepKind, type StatementUnit} from './statement-unit.js';

/** State of the connection on which a local response depends. */
export type LocalResponseContext = {
	readonly session: SessionState;
	readonly contract: Contract;
	/** True if the transaction has failed, in which case COMMIT is answered as ROLLBACK. */
	readonly isTransactionFailed: boolean;
};

type StepHandler = (step: UnitStep, context: LocalResponseContext) => Result<Buffer, CallerError>;

const handlers: Readonly<Record<UnitStepKind, StepHandler>> = {
	[UnitStepKind.Parse]: (step, context) => checkStatements(step.analysis, context).map(() => encodeEmptyMessage(BackendMessageCode.ParseComplete)),
	[UnitStepKind.Bind]: () => ok(encodeEmptyMessage(BackendMessageCode.BindComplete)),
	[UnitStepKind.DescribeStatement]: step => ok(Buffer.concat([encodeEmptyParameterDescription(), describeStatement(step.analysis?.statements[0])])),
	[UnitStepKind.DescribePortal]: step => ok(describeStatement(step.analysis?.statements[0])),
	[UnitStepKind.Execute]: (step, context) => executeStep(step, context, false),
	[UnitStepKind.Close]: () => ok(encodeEmptyMessage(BackendMessageCode.CloseComplete)),
};

/**
 * Answers a statement unit that needs no upstream, because all of its statements concern only the entry host.
 *
 * @param unit - Unit of the caller.
 * @param context - Session, contract and transaction state.
 * @returns The backend messages without ReadyForQuery, or an error, after which no statement has taken effect.
 */
export function respondLocally(unit: StatementUnit, context: LocalResponseContext): Result<Buffer, CallerError> {
	const messages: Buffer[] = [];
	for (const step of unit.steps) {
		const checked = checkStatements(step.analysis, context);
		if (checked.isErr()) {
			return err(checked.error);
		}
	}

	for (const step of unit.steps) {
		const response = unit.isSimple ? executeStep(step, context, true) : handlers[step.kind](step, context);
		if (response.isErr()) {
			return err(response.error);
		}

		messages.push(response.value);
	}

	return ok(Buffer.concat(messages));
}

function checkStatements(analysis: SqlAnalysis | undefined, {session, contract}: LocalResponseContext): Result<void, CallerError> {
	for (const statement of analysis?.statements ?? []) {
		const checked = statement.session ? session.check(statement.session, contract) : ok();
		if (checked.isErr()) {
			return checked;
		}
	}

	return ok();
}

function executeStep(step: UnitStep, context: LocalResponseContext, withRowDescription: boolean): Result<Buffer, CallerError> {
	const statements = step.analysis?.statements ?? [];
	if (statements.length === 0) {
		return ok(encodeEmptyMessage(BackendMessageCode.EmptyQuery));
	}

	return Result.combine(statements.map(statement => executeStatement(statement, context, withRowDescription))).map(parts => Buffer.concat(parts));
}

function executeStatement(
	statement: StatementAnalysis,
	{session, contract, isTransactionFailed}: LocalResponseContext,
	withRowDescription: boolean,
): Result<Buffer, CallerError> {
	if (!statement.session) {
		const isCommit = statement.statementClass === StatementClass.Commit && !isTransactionFailed;
		return ok(encodeCommandComplete(isCommit ? 'COMMIT' : 'ROLLBACK'));
	}

	return session.apply(statement.session, contract).map(({tag, row}) => Buffer.concat([
		...(row && withRowDescription ? [encodeTextRowDescription(row[0])] : []),
		...(row ? [encodeTextDataRow(row[1])] : []),
		encodeCommandComplete(tag),
	]));
}

function describeStatement(statement: StatementAnalysis | undefined): Buffer {
	return statement?.session?.action === SessionAction.Show
		? encodeTextRowDescription(statement.session.name)
		: encodeEmptyMessage(BackendMessageCode.NoData);
}
