/** Condition under which a write is acknowledged to the caller. */
export enum AcknowledgementMode {
	/** A majority of the group's instances is still at the term of the primary. */
	Fenced = 'fenced',
	/** As `Fenced`, and a majority of the instances holds the write. */
	Replicated = 'replicated',
}
