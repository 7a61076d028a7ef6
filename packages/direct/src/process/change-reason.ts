/** Reason for replacing a primary. */
export enum ChangeReason {
	/** The primary is about to stop but still responds, so no commits need to be lost. */
	Leaving = 'leaving',
	/** This host and most others cannot reach the primary. */
	Lost = 'lost',
	/** Most hosts cannot reach the primary, but this one can. */
	LostToOthers = 'lost-to-others',
}
