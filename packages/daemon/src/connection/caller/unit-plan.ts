import {RequestKind} from '@tarragonstack/core';
import {type SqlAnalysis, type StatementAnalysis, StatementClass} from '../../request/index.js';
import {UnitStepKind, type StatementUnit} from './statement-unit.js';

/** Plan of how a statement unit is served. */
export type UnitPlan = {
	readonly kind: RequestKind;
	/** The unit begins a transaction and leaves it open. */
	readonly beginsTransaction: boolean;
	/** The last transaction control statement of the unit is a commit or a rollback. */
	readonly endsTransaction: boolean;
	/** The unit rolls back to a savepoint. */
	readonly returnsToSavepoint: boolean;
	/** Every SQL text of the unit is a single statement that ends a transaction or rolls back to a savepoint. */
	readonly hasOnlyTransactionExits: boolean;
	/** The unit executes nothing, and not all of its statements are reads. */
	readonly describesWrite: boolean;
	/** The entry host itself answers the unit. */
	readonly isLocal: boolean;
	/** Error message for the caller if the unit is refused. */
	readonly refusal?: string;
	/** Distinct SQL texts of the unit. */
	readonly analyses: readonly SqlAnalysis[];
};

const transactionEndClasses: ReadonlySet<StatementClass> = new Set([StatementClass.Commit, StatementClass.Rollback]);

/**
 * Determines how a statement unit is served.
 *
 * @param unit - Unit of a caller.
 * @param isInTransaction - Whether an explicit transaction is open upstream.
 */
export function planUnit(unit: StatementUnit, isInTransaction: boolean): UnitPlan {
	const analyses = [...new Set(unit.steps.flatMap(step => step.analysis ?? []))];
	const executedStatements = unit.steps.filter(step => step.kind === UnitStepKind.Execute).flatMap(step => step.analysis?.statements ?? []);
	const allStatements = analyses.flatMap(analysis => analysis.statements);
	const controlStatement = executedStatements.findLast(statement =>
		statement.statementClass === StatementClass.Begin || transactionEndClasses.has(statement.statementClass));
	const isLocal = analyses.every(analysis => isLocalAnalysis(analysis, isInTransaction));
	const beginsTransaction = !isInTransaction && controlStatement?.statementClass === StatementClass.Begin;
	return {
		kind: getKind(unit, executedStatements, isInTransaction || beginsTransaction),
		beginsTransaction,
		endsTransaction: controlStatement !== undefined && transactionEndClasses.has(controlStatement.statementClass),
		returnsToSavepoint: executedStatements.some(statement => statement.statementClass === StatementClass.RollbackToSavepoint),
		hasOnlyTransactionExits: analyses.every(analysis => analysis.statements.length === 1)
			&& allStatements.every(statement => isTransactionExit(statement)),
		describesWrite: executedStatements.length === 0 && allStatements.some(statement => statement.statementClass !== StatementClass.Read),
		isLocal,
		refusal: getRefusal(allStatements, isLocal),
		analyses,
	};
}

function isTransactionExit({statementClass}: StatementAnalysis): boolean {
	return transactionEndClasses.has(statementClass) || statementClass === StatementClass.RollbackToSavepoint;
}

/**
 * Returns whether the entry host answers a text: session settings, an empty text, or a commit or rollback without an open
 * transaction.
 *
 * @param analysis - Analysis of the text.
 * @param isInTransaction - Whether an explicit transaction is open upstream.
 */
function isLocalAnalysis(analysis: SqlAnalysis, isInTransaction: boolean): boolean {
	return analysis.statements.every(({statementClass}) =>
		statementClass === StatementClass.SessionSetting
		|| (!isInTransaction && analysis.statements.length === 1 && transactionEndClasses.has(statementClass)));
}

function getKind(unit: StatementUnit, executedStatements: readonly StatementAnalysis[], isTransaction: boolean): RequestKind {
	if (isTransaction) {
		return RequestKind.Transaction;
	}

	// The statements of a simple query form one implicit transaction, which must run on a single instance.
	const isRead = executedStatements.every(statement => statement.statementClass === StatementClass.Read)
		&& (!unit.isSimple || executedStatements.length === 1);
	return isRead ? RequestKind.Read : RequestKind.Write;
}

function getRefusal(statements: readonly StatementAnalysis[], isLocal: boolean): string | undefined {
	const refused = statements.find(statement => statement.refusal !== undefined);
	if (refused) {
		return refused.refusal;
	}

	const hasSetting = statements.some(statement => statement.statementClass === StatementClass.SessionSetting);
	return hasSetting && !isLocal ? 'statements on session settings cannot be combined with other statements; send them separately' : undefined;
}
