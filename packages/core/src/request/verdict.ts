/** Tells whether an upstream ran a request. */
export enum Verdict {
	/** The request had no effect and can safely be sent again. */
	NotRun = 'not-run',
	/** The outcome is unknown. The request must not be sent again without an idempotency key. */
	MayHaveRun = 'may-have-run',
	/** The request ran and either succeeded or failed with an error that the upstream reported. */
	Ran = 'ran',
}
