import {Verdict} from '@tarragonstack/core/request/verdict';

/** Reasons for which a statement fails. */
export enum StatementErrorCode {
	/** No capacity, or no instance became available in time. */
	Overloaded = 'overloaded',
	/** The log of the instance does not contain the required position. */
	Behind = 'behind',
	/** The instance is not the primary. */
	ReadOnly = 'read-only',
	/** A different instance responds at the address. */
	WrongInstance = 'wrong-instance',
	TooManyConnections = 'too-many-connections',
	UnknownPreparedStatement = 'unknown-prepared-statement',
	/** The statement ran and failed. */
	Failed = 'failed',
	TimedOut = 'timed-out',
	/** The transaction is rolled back. */
	Aborted = 'aborted',
	/** A commit or a single write was sent and its outcome is unknown. */
	OutcomeUnknown = 'outcome-unknown',
	UnknownDatabase = 'unknown-database',
	TooLarge = 'too-large',
	Malformed = 'malformed',
	AccessDenied = 'access-denied',
}

/** Verdict, by the error code that an instance returned, on whether the statement ran. */
export const verdictOfErrorCode: Readonly<Record<StatementErrorCode, Verdict>> = {
	[StatementErrorCode.Overloaded]: Verdict.NotRun,
	[StatementErrorCode.Behind]: Verdict.NotRun,
	[StatementErrorCode.ReadOnly]: Verdict.NotRun,
	[StatementErrorCode.WrongInstance]: Verdict.NotRun,
	[StatementErrorCode.TooManyConnections]: Verdict.NotRun,
	[StatementErrorCode.UnknownPreparedStatement]: Verdict.NotRun,
	[StatementErrorCode.Failed]: Verdict.Ran,
	[StatementErrorCode.TimedOut]: Verdict.Ran,
	[StatementErrorCode.Aborted]: Verdict.NotRun,
	[StatementErrorCode.OutcomeUnknown]: Verdict.MayHaveRun,
	[StatementErrorCode.UnknownDatabase]: Verdict.NotRun,
	[StatementErrorCode.TooLarge]: Verdict.NotRun,
	[StatementErrorCode.Malformed]: Verdict.NotRun,
	[StatementErrorCode.AccessDenied]: Verdict.NotRun,
};
