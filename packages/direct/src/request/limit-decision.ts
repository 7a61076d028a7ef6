/** Why an operation of a workspace is refused. */
export enum RefusalReason {
	/** No zone has a token for the workspace. */
	OverLimit = 'the workspace is over its rate limit',
	/** No coordinator has answered in time. */
	Unanswered = 'no limit coordinator answers',
}

/** Decision on an operation of a workspace. */
export type LimitDecision = {readonly isAdmitted: true} | {
	readonly isAdmitted: false;
	/** Time after which the client should try again, in milliseconds. */
	readonly retryMilliseconds: number;
	readonly reason: RefusalReason;
};

/** Decision on an operation that may run. */
export const admitted: LimitDecision = {isAdmitted: true};
