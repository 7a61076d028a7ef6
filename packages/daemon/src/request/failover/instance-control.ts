import {type InstanceDefinition} from '@tarragonstack/core';
import {type Result} from 'neverthrow';
import {type InstanceStatus} from '../group-view.js';

/** Cause of a failed control operation. */
export enum ControlErrorKind {
	/** A connection attempt was refused, or closed before the login completed, which indicates a dead process. */
	Refused = 'refused',
	/** An established connection was lost. The operation may have been executed. */
	Reset = 'reset',
	/** No response arrived in time. The operation may have been executed. */
	TimedOut = 'timed-out',
	/** The instance responded with an error. */
	Rejected = 'rejected',
	/** This host closed the control connection. */
	Closed = 'closed',
}

/** Failure of a control operation. */
export type ControlError = {
	readonly kind: ControlErrorKind;
	readonly message: string;
	/** Number of the failed connection attempt, as several operations may fail because of the same attempt. */
	readonly connectionAttempt: number;
};

/** Options of a control operation. */
export type ControlOptions = {
	/** Time after which the operation fails with `TimedOut`, in milliseconds. */
	readonly timeoutMilliseconds: number;
};

/** Result of `raise` and `promote`. */
export type ControlOutcome = {
	readonly accepted: boolean;
	/** Status of the instance after the operation. */
	readonly status: InstanceStatus;
};

/** Result of `follow`. */
export type FollowOutcome = ControlOutcome & {
	/** Number of log entries that the instance discarded because the new primary does not have them. */
	readonly truncated: number;
};

/** Control connection to one database instance. Operations are executed in the order of the calls. */
export type InstanceControl = AsyncDisposable & {
	/**
	 * Requests the status.
	 *
	 * @param options - Time limit.
	 */
	status(options: ControlOptions): Promise<Result<InstanceStatus, ControlError>>;

	/**
	 * Raises the term of the instance, which accepts only a term greater than its own.
	 *
	 * @param term - New term.
	 * @param promoter - Unique name of the promotion attempt.
	 * @param options - Time limit.
	 */
	raise(term: number, promoter: string, options: ControlOptions): Promise<Result<ControlOutcome, ControlError>>;

	/**
	 * Makes the instance the primary of a term that the same promotion attempt raised on it.
	 *
	 * @param term - Raised term.
	 * @param promoter - Unique name of the promotion attempt that raised the term.
	 * @param options - Time limit.
	 */
	promote(term: number, promoter: string, options: ControlOptions): Promise<Result<ControlOutcome, ControlError>>;

	/**
	 * Makes the instance a replica of a primary.
	 *
	 * @param address - IP address and port of the primary.
	 * @param term - Term of the primary.
	 * @param options - Time limit.
	 */
	follow(address: string, term: number, options: ControlOptions): Promise<Result<FollowOutcome, ControlError>>;
};

/** Opens the control connection to an instance. */
export type InstanceControlFactory = (definition: InstanceDefinition) => InstanceControl;
