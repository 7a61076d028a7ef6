/** Error that the entry host itself reports to a caller. */
export type CallerError = {
	readonly code: string;
	readonly message: string;
	readonly hint?: string;
};

/** SQLSTATEs that the entry host reports besides those of `sqlStates`. */
export enum SqlState {
	ProtocolViolation = '08P01',
	FeatureNotSupported = '0A000',
	InvalidParameterValue = '22023',
	FailedTransaction = '25P02',
	InvalidStatementName = '26000',
	InvalidAuthorization = '28000',
	InvalidPortalName = '34000',
	InvalidDatabase = '3D000',
	DuplicateStatement = '42P05',
	TooManyConnections = '53300',
	ProgramLimitExceeded = '54000',
	AdministratorShutdown = '57P01',
	NoConfiguration = 'TS006',
}
