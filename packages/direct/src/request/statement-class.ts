import {StatementKind} from './statement-kind.js';

/** Kinds of work that statements cause at an instance. */
enum StatementWork {
	/** Session state and the begin and end of transactions, except commits. */
	Control = 0,
	Read = 1,
	Write = 2,
	Commit = 3,
}

const workOfKind: Readonly<Record<StatementKind, StatementWork>> = {
	[StatementKind.Begin]: StatementWork.Control,
	[StatementKind.BeginReadOnly]: StatementWork.Control,
	[StatementKind.Commit]: StatementWork.Commit,
	[StatementKind.Rollback]: StatementWork.Control,
	[StatementKind.Read]: StatementWork.Read,
	[StatementKind.Write]: StatementWork.Write,
	[StatementKind.SetValue]: StatementWork.Control,
	[StatementKind.Prepare]: StatementWork.Control,
	[StatementKind.Execute]: StatementWork.Write,
	[StatementKind.Deallocate]: StatementWork.Control,
};

/** Number of priorities that are told apart. Statements of the same kind differ in their work mostly by their route. */
const distinctPriorities = 8;

/**
 * Returns the class of a statement, a small integer. Service times are compared within a class, so that a changed mix of
 * statements is not taken for a slower instance.
 *
 * @param kind - Kind of the statement.
 * @param writes - Whether the prepared statement that is executed writes, if there is one.
 * @param priority - Priority of the route; 0 is the most urgent.
 */
export function getStatementClass(kind: StatementKind, writes: boolean | undefined, priority: number): number {
	const work = kind === StatementKind.Execute && writes === false ? StatementWork.Read : workOfKind[kind];
	return (work * distinctPriorities) + Math.max(0, Math.min(distinctPriorities - 1, Math.trunc(priority)));
}
