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
	/** Execution proof of the instance, which clients check. `-` for statements that the host answers itself. */
	readonly completion?: string;
	readonly error?: StatementError;
	readonly status: TransactionStatus;
	/** Log position of the instance that responded. */
	readonly position?: LogPosition;
};
