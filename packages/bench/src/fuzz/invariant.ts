/** Invariants of section 1.3 of the design document. */
export enum Invariant {
	ReadYourWrites = 'I1',
	NoAcknowledgementByReplacedPrimary = 'I2',
	TransactionIsolation = 'I3',
	ResponseMatchesRequest = 'I4',
	RefusedHasNoEffect = 'I5',
	AtMostOnce = 'I6',
	LeavingUpstream = 'I7',
	GracefulStop = 'I8',
	ConfigurationNeverReverts = 'I9',
	/** Not an invariant of the design document: requests succeed again after all faults have ended. */
	Recovery = 'recovery',
}

/** Observed violation of an invariant. */
export type Violation = {
	readonly invariant: Invariant;
	readonly message: string;
};
