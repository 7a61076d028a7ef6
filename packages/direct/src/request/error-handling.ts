import {StatementErrorCode} from './statement-error-code.js';

/** What a host does after an error of the first statement that it sent to an instance. */
export enum ErrorAction {
	/** Passes the error on to the client. */
	Return = 'return',
	/** Tries another instance if running the statement again does no harm; otherwise passes the error on. */
	RepeatIfHarmless = 'repeat-if-harmless',
	/** Tries another instance, or the same one later. */
	TryElsewhere = 'try-elsewhere',
	/** Tries the same instance after a short delay. */
	TryLater = 'try-later',
	/** Closes the connection, whose state is not as expected, and tries again. */
	ReplaceConnection = 'replace-connection',
}

/** Actions by the code of the error. Codes that do not state "not run" are tried again only where that does no harm. */
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
