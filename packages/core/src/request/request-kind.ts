/** Kind of a statement unit. */
export enum RequestKind {
	/** Is known to have no effect, so that a replica may serve it and a retry is safe. */
	Read = 'read',
	/** May have an effect outside an explicit transaction. */
	Write = 'write',
	/** Begins an explicit transaction or belongs to an open one. */
	Transaction = 'transaction',
}
