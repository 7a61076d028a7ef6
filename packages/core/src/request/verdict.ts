/** States whether a request had an effect on an upstream. */
export enum Verdict {
	/** The request had no effect and may be sent again. */
	NotRun = 'not-run',
	/** The outcome is unknown. The request must not be sent again without an idempotency key. */
	MayHaveRun = 'may-have-run',
	/** The request ran, with success or with an error that the upstream reported. */
	Ran = 'ran',
}
