import {RequestKind} from '@tarragonstack/core';
import {type SqlAnalysis, type StatementAnalysis, StatementClass} from '../../request/index.js';
import {StepKind, type Unit} from './unit.js';

/** How a unit is served. */
export type UnitPlan = {
	readonly kind: RequestKind;
	/** The unit leaves a new transaction open. */
	readonly beginsTransaction: boolean;
	/** The last transaction statement of the unit is a commit or a rollback. */
	readonly endsTransaction: boolean;
	/** The unit goes back to a savepoint. */
	readonly returnsToSavepoint: boolean;
	/** All texts of the unit end a transaction or go back to a savepoint. */
	readonly isOnlyEnd: boolean;
	/** The unit only parses and describes, and not all of its texts are reads. */
	readonly describesWrite: boolean;
	/** The entry host answers the unit. */
	readonly isLocal: boolean;
	/** Message for the caller when the unit is refused. */
	readonly refusal?: string;
	/** Distinct SQL texts of the unit. */
	readonly analyses: readonly SqlAnalysis[];
};

const endingClasses: ReadonlySet<StatementClass> = new Set([StatementClass.Commit, StatementClass.Rollback]);

/**
 * Decides how a unit is served.
 *
 * @param unit - Unit of a caller.
 * @param isInTransaction - Whether an explicit transaction is open upstream.
 */
export function planUnit(unit: Unit, isInTransaction: boolean): UnitPlan {
	const analyses = [...new Set(unit.steps.flatMap(step => step.analysis ?? []))];
	const executed = unit.steps.filter(step => step.kind === StepKind.Execute).flatMap(step => step.analysis?.statements ?? []);
	const all = analyses.flatMap(analysis => analysis.statements);
	const control = executed.findLast(statement => statement.statementClass === StatementClass.Begin || endingClasses.has(statement.statementClass));
	const isLocal = analyses.every(analysis => isLocalAnalysis(analysis, isInTransaction));
	const beginsTransaction = !isInTransaction && control?.statementClass === StatementClass.Begin;
	return {
		kind: getKind(unit, executed, isInTransaction || beginsTransaction),
		beginsTransaction,
		endsTransaction: control !== undefined && endingClasses.has(control.statementClass),
		returnsToSavepoint: executed.some(statement => statement.statementClass === StatementClass.RollbackToSavepoint),
		isOnlyEnd: analyses.every(analysis => analysis.statements.length === 1) && all.every(statement => isEnd(statement)),
		describesWrite: executed.length === 0 && all.some(statement => statement.statementClass !== StatementClass.Read),
		isLocal,
		refusal: getRefusal(all, isLocal),
		analyses,
	};
}

function isEnd({statementClass}: StatementAnalysis): boolean {
	return endingClasses.has(statementClass) || statementClass === StatementClass.RollbackToSavepoint;
}

/**
 * States whether the entry host answers a text: settings, an empty text, and the end of a transaction that is not open.
 *
 * @param analysis - Analysis of the text.
 * @param isInTransaction - Whether an explicit transaction is open upstream.
 */
function isLocalAnalysis(analysis: SqlAnalysis, isInTransaction: boolean): boolean {
	return analysis.statements.every(({statementClass}) =>
		statementClass === StatementClass.SessionSetting || (!isInTransaction && analysis.statements.length === 1 && endingClasses.has(statementClass)));
}

function getKind(unit: Unit, executed: readonly StatementAnalysis[], isTransaction: boolean): RequestKind {
	if (isTransaction) {
		return RequestKind.Transaction;
	}

	// The statements of a simple query form one implicit transaction, which is not split among instances.
	const isRead = executed.every(statement => statement.statementClass === StatementClass.Read) && (!unit.isSimple || executed.length === 1);
	return isRead ? RequestKind.Read : RequestKind.Write;
}

function getRefusal(statements: readonly StatementAnalysis[], isLocal: boolean): string | undefined {
	const refused = statements.find(statement => statement.refusal !== undefined);
	if (refused) {
		return refused.refusal;
	}

	const hasSetting = statements.some(statement => statement.statementClass === StatementClass.SessionSetting);
	return hasSetting && !isLocal ? 'settings of the session must not share a unit with other statements; send them separately' : undefined;
}
