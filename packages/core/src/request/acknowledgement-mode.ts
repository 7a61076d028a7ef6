/** Condition under which a write is acknowledged to the caller. */
export enum AcknowledgementMode {
	/** A majority of the group's instances has confirmed that it is still at the term of the primary. */
	Fenced = 'fenced',
	/** As `Fenced`, and a majority of the instances has received the write. */
	Replicated = 'replicated',
}
