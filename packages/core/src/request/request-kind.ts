/** Kind of work that a statement unit asks of an upstream. */
export enum RequestKind {
	/** Surely has no effect, so that a replica may serve it and a retry is harmless. */
	Read = 'read',
	/** May have an effect outside an explicit transaction. */
	Write = 'write',
	/** Begins an explicit transaction or belongs to one that is open. */
	Transaction = 'transaction',
}
