/** Reason why a request was not answered by an upstream. */
export enum RefusalReason {
	Overloaded = 'overloaded',
	NoUpstream = 'no-upstream',
	SessionConsistency = 'session-consistency',
	DeadlineExceeded = 'deadline-exceeded',
	Stopping = 'stopping',
	NoConfiguration = 'no-configuration',
	/** The replica has not reached the minimum log position. The router tries the primary next. */
	ReplicaBehind = 'replica-behind',
	/** The host that received the request is not the owner of the instance. */
	NotOwner = 'not-owner',
	/** The instance is not the primary of the group, or is no longer the primary. */
	NotPrimary = 'not-primary',
	DuplicateKey = 'duplicate-key',
	OutcomeUnknown = 'outcome-unknown',
	FeatureNotSupported = 'feature-not-supported',
	/** The statement with its parameters is longer than a host can forward. */
	TooLong = 'too-long',
	WrongPassword = 'wrong-password',
	TooManyConnections = 'too-many-connections',
}

/**
 * SQLSTATE that a caller receives for each reason.
 *
 * Class `TS` means that the request was not run. Drivers do not interpret this class as a broken connection.
 */
export const sqlStates: Readonly<Record<RefusalReason, string>> = {
	[RefusalReason.Overloaded]: 'TS001',
	[RefusalReason.NoUpstream]: 'TS002',
	[RefusalReason.NotOwner]: 'TS002',
	[RefusalReason.NotPrimary]: 'TS002',
	[RefusalReason.SessionConsistency]: 'TS003',
	[RefusalReason.ReplicaBehind]: 'TS003',
	[RefusalReason.DeadlineExceeded]: 'TS004',
	[RefusalReason.Stopping]: 'TS005',
	[RefusalReason.NoConfiguration]: 'TS006',
	[RefusalReason.DuplicateKey]: 'TS008',
	[RefusalReason.OutcomeUnknown]: '08007',
	[RefusalReason.FeatureNotSupported]: '0A000',
	[RefusalReason.TooLong]: '54000',
	[RefusalReason.WrongPassword]: '28P01',
	[RefusalReason.TooManyConnections]: '53300',
};
