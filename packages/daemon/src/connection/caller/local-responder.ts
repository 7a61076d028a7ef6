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
import {type Step, StepKind, type Unit} from './unit.js';

/** Responder state: who asks, and how a COMMIT is answered. */
export type LocalContext = {
	readonly session: SessionState;
	readonly contract: Contract;
	/** True when the transaction failed, so that COMMIT is answered as ROLLBACK. */
	readonly isFailed: boolean;
};

type StepHandler = (step: Step, context: LocalContext) => Result<Buffer, CallerError>;

const handlers: Readonly<Record<StepKind, StepHandler>> = {
	[StepKind.Parse]: (step, context) => checkStatements(step.analysis, context).map(() => encodeEmptyMessage(BackendMessageCode.ParseComplete)),
	[StepKind.Bind]: () => ok(encodeEmptyMessage(BackendMessageCode.BindComplete)),
	[StepKind.DescribeStatement]: step => ok(Buffer.concat([encodeEmptyParameterDescription(), describe(step.analysis?.statements[0])])),
	[StepKind.DescribePortal]: step => ok(describe(step.analysis?.statements[0])),
	[StepKind.Execute]: (step, context) => executeAll(step, context, false),
	[StepKind.Close]: () => ok(encodeEmptyMessage(BackendMessageCode.CloseComplete)),
};

/**
 * Answers a unit whose statements all concern the entry host only.
 *
 * @param unit - The unit.
 * @param context - Session and contract.
 * @returns The messages without ReadyForQuery, or the error for the caller. After an error no statement took effect.
 */
export function answerLocally(unit: Unit, context: LocalContext): Result<Buffer, CallerError> {
	const parts: Buffer[] = [];
	for (const step of unit.steps) {
		const checked = checkStatements(step.analysis, context);
		if (checked.isErr()) {
			return err(checked.error);
		}
	}

	for (const step of unit.steps) {
		const answer = unit.isSimple ? executeAll(step, context, true) : handlers[step.kind](step, context);
		if (answer.isErr()) {
			return err(answer.error);
		}

		parts.push(answer.value);
	}

	return ok(Buffer.concat(parts));
}

function checkStatements(analysis: SqlAnalysis | undefined, {session, contract}: LocalContext): Result<void, CallerError> {
	for (const statement of analysis?.statements ?? []) {
		const checked = statement.session ? session.check(statement.session, contract) : ok();
		if (checked.isErr()) {
			return checked;
		}
	}

	return ok();
}

function executeAll(step: Step, context: LocalContext, withDescription: boolean): Result<Buffer, CallerError> {
	const statements = step.analysis?.statements ?? [];
	if (statements.length === 0) {
		return ok(encodeEmptyMessage(BackendMessageCode.EmptyQuery));
	}

	return Result.combine(statements.map(statement => execute(statement, context, withDescription))).map(parts => Buffer.concat(parts));
}

function execute(statement: StatementAnalysis, {session, contract, isFailed}: LocalContext, withDescription: boolean): Result<Buffer, CallerError> {
	if (!statement.session) {
		const isCommit = statement.statementClass === StatementClass.Commit && !isFailed;
		return ok(encodeCommandComplete(isCommit ? 'COMMIT' : 'ROLLBACK'));
	}

	return session.apply(statement.session, contract).map(({tag, row}) => Buffer.concat([
		...(row && withDescription ? [encodeTextRowDescription(row[0])] : []),
		...(row ? [encodeTextDataRow(row[1])] : []),
		encodeCommandComplete(tag),
	]));
}

function describe(statement: StatementAnalysis | undefined): Buffer {
	return statement?.session?.action === SessionAction.Show
		? encodeTextRowDescription(statement.session.name)
		: encodeEmptyMessage(BackendMessageCode.NoData);
}
