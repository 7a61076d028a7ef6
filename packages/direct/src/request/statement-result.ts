import {type LogPosition} from '@tarragonstack/core/request/log-position';
import {type TransactionStatus} from '@tarragonstack/core/request/transaction-status';
import {type StatementErrorCode} from './statement-error-code.js';

/** Error of a statement. */
export type StatementError = {
	readonly code: StatementErrorCode;
	readonly message: string;
};

/** Complete response to one statement. */
export type StatementResult = {
	readonly rows: readonly string[];
	/** What the instance states about the execution; clients check it. `-` for statements that a host answers. */
	readonly completion?: string;
	readonly error?: StatementError;
	readonly status: TransactionStatus;
	/** Position of the log of the instance that answered. */
	readonly position?: LogPosition;
};
