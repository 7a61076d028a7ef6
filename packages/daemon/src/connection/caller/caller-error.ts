/** Error that originates at the entry host and is reported to a caller. */
export type CallerError = {
	readonly code: string;
	readonly message: string;
	readonly hint?: string;
};

/** SQLSTATE codes of these errors. The codes of refused requests are in `sqlStates`. */
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
