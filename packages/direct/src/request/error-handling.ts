import {StatementErrorCode} from './statement-error-code.js';

/** How a host handles an error of the first statement that it sent to an instance. */
export enum ErrorAction {
	/** Returns the error to the client. */
	Return = 'return',
	/** Retries on another instance if the statement is safe to run again; otherwise returns the error. */
	RepeatIfHarmless = 'repeat-if-harmless',
	/** Retries on another instance, or on the same one later. */
	TryElsewhere = 'try-elsewhere',
	/** Retries on the same instance after a short delay. */
	TryLater = 'try-later',
	/** Closes the connection, whose state is not as expected, and retries on a new one. */
	ReplaceConnection = 'replace-connection',
}

/** Actions by error code. Statements that may have run are retried only if they are safe to run again. */
export const actionOfErrorCode: Readonly<Record<StatementErrorCode, ErrorAction>> = {
	[StatementErrorCode.Overloaded]: ErrorAction.TryLater,
	[StatementErrorCode.Behind]: ErrorAction.TryElsewhere,
	[StatementErrorCode.ReadOnly]: ErrorAction.TryLater,
	[StatementErrorCode.WrongInstance]: ErrorAction.ReplaceConnection,
	[StatementErrorCode.TooManyConnections]: ErrorAction.ReplaceConnection,
	[StatementErrorCode.UnknownPreparedStatement]: ErrorAction.ReplaceConnection,
	[StatementErrorCode.Failed]: ErrorAction.RepeatIfHarmless,
	[StatementErrorCode.TimedOut]: ErrorAction.RepeatIfHarmless,
	[StatementErrorCode.Aborted]: ErrorAction.Return,
	[StatementErrorCode.OutcomeUnknown]: ErrorAction.Return,
	[StatementErrorCode.UnknownDatabase]: ErrorAction.Return,
	[StatementErrorCode.TooLarge]: ErrorAction.Return,
	[StatementErrorCode.Malformed]: ErrorAction.Return,
	[StatementErrorCode.AccessDenied]: ErrorAction.Return,
};
