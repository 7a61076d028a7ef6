import {type TimerService} from '@tarragonstack/core/time/timer-service';
import {type StatementOrigin} from '../request/statement-origin.js';
import {StatementErrorCode} from '../request/statement-error-code.js';
import {type StatementError, type StatementResult} from '../request/statement-result.js';
import {type PooledConnection} from './pooled-connection.js';
import {type ChannelError, ChannelFailure, type UpstreamStatement} from './upstream-channel.js';

/** Progress of a statement on a connection. */
export enum StatementProgress {
	/** The statement was not sent, because a setup statement failed or a gateway refused it. */
	NotSent = 'not-sent',
	/** The statement was sent and no complete response arrived; the connection is closed. */
	Unanswered = 'unanswered',
	Answered = 'answered',
}

/** Outcome of running a statement on a connection. */
export type StatementOutcome
	/**
	 * `error` is missing if the connection failed. `returnAfter` is the time after which the statement may return, in milliseconds, if
	 * a gateway refused it because of the load.
	 */
	= | {readonly progress: StatementProgress.NotSent; readonly message: string; readonly error?: StatementError; readonly returnAfter?: number}
		| {readonly progress: StatementProgress.Unanswered; readonly message: string; readonly sentAt: number}
		| {readonly progress: StatementProgress.Answered; readonly result: StatementResult; readonly sentAt: number};

/**
 * Runs setup statements on a connection, and then a statement of a client.
 *
 * They are not sent in one batch: after a failed `BEGIN`, the statement would run outside its transaction.
 *
 * @param connection - Connection to use.
 * @param setupStatements - Statements that must succeed before the statement is sent.
 * @param statement - Statement of the client.
 * @param options - Clock, the monotonic time at which the connection is closed if a response is missing, and the urgency
 * for a gateway.
 */
export async function runStatement(
	connection: PooledConnection,
	setupStatements: readonly UpstreamStatement[],
	statement: UpstreamStatement,
	options: {readonly timer: TimerService; readonly deadline: number; readonly origin?: StatementOrigin},
): Promise<StatementOutcome> {
	if (setupStatements.length > 0) {
		const setup = await connection.channel.run(setupStatements, options.deadline, options.origin);
		if (setup.isErr()) {
			return createNotSent(setup.error);
		}

		const error = setup.value.find(result => result.error)?.error;
		if (error) {
			return {progress: StatementProgress.NotSent, message: `${error.code} ${error.message}`, error};
		}
	}

	const sentAt = options.timer.now();
	const outcome = await connection.channel.run([statement], options.deadline, options.origin);
	if (outcome.isOk()) {
		return {progress: StatementProgress.Answered, result: outcome.value[0]!, sentAt};
	}

	const {failure, message} = outcome.error;
	return failure === ChannelFailure.NotRelayed || failure === ChannelFailure.Overloaded
		? createNotSent(outcome.error)
		: {progress: StatementProgress.Unanswered, message, sentAt};
}

function createNotSent({message, returnAfter}: ChannelError): StatementOutcome {
	return {
		progress: StatementProgress.NotSent, message, ...(returnAfter !== undefined && {returnAfter, error: {code: StatementErrorCode.Overloaded, message}}),
	};
}
