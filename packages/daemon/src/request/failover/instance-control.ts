import {type InstanceDefinition} from '@tarragonstack/core';
import {type Result} from 'neverthrow';
import {type InstanceStatus} from '../group-view.js';

/** Kind of failure of a control operation. */
export enum ControlErrorKind {
	/** A connection attempt was refused, or was closed before the login completed. Evidence of a dead process. */
	Refused = 'refused',
	/** An established connection was lost. The operation may have run. */
	Reset = 'reset',
	/** No answer arrived in time. The operation may have run. */
	TimedOut = 'timed-out',
	/** The instance answered with an error. */
	Rejected = 'rejected',
	/** This host closed the control connection. */
	Closed = 'closed',
}

/** Failure of a control operation. */
export type ControlError = {
	readonly kind: ControlErrorKind;
	readonly message: string;
	/** Number of the connection attempt that failed; tells two refused attempts from two questions of one attempt. */
	readonly connectionAttempt: number;
};

/** Options of a control operation. */
export type ControlOptions = {
	/** Time after which the operation fails with `TimedOut`, in milliseconds. */
	readonly timeoutMilliseconds: number;
};

/** Answer of `raise` and `promote`. */
export type ControlOutcome = {
	readonly accepted: boolean;
	/** Status of the instance after the operation. */
	readonly status: InstanceStatus;
};

/** Answer of `follow`. */
export type FollowOutcome = ControlOutcome & {
	/** Log entries that the instance discarded because the new primary does not have them. */
	readonly truncated: number;
};

/** Control functions of one database instance. Operations run in the order of the calls. */
export type InstanceControl = AsyncDisposable & {
	/**
	 * Asks for the status.
	 *
	 * @param options - Time limit.
	 */
	status(options: ControlOptions): Promise<Result<InstanceStatus, ControlError>>;

	/**
	 * Raises the term. The instance accepts only a term greater than its own.
	 *
	 * @param term - New term.
	 * @param promoter - Unique name of the attempt.
	 * @param options - Time limit.
	 */
	raise(term: number, promoter: string, options: ControlOptions): Promise<Result<ControlOutcome, ControlError>>;

	/**
	 * Makes the instance the primary of a term that the same promoter raised there.
	 *
	 * @param term - Raised term.
	 * @param promoter - Unique name of the attempt that raised the term.
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
