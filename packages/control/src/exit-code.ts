/** Exit codes of `tarragonctl`. Scripts rely on them. */
export enum ExitCode {
	/** The command succeeded; a change was accepted. */
	Accepted = 0,
	/** The command failed without effect, for instance because a service could not be reached. */
	Failure = 1,
	/** The arguments or the input file are invalid. Nothing was written. */
	InvalidInput = 2,
	/** Another change was accepted first. Nothing was written. */
	Conflict = 3,
	/** The request was sent, but its outcome could not be determined. */
	OutcomeUnknown = 4,
}
