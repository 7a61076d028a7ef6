import {type CallerCredentials} from '../request/caller-access.js';
import {type StatementErrorCode} from '../request/statement-error-code.js';
import {type StatementResult} from '../request/statement-result.js';
import {type Statement} from '../request/statement.js';

/** Kinds of client messages. */
export enum ClientMessageKind {
	Startup = 'startup',
	Statement = 'statement',
	/** Statement that cannot be parsed; the session continues. */
	InvalidStatement = 'invalid-statement',
	/** Input that cannot be parsed; the connection is closed. */
	Unreadable = 'unreadable',
	Terminate = 'terminate',
}

/** Message from a client. */
export type ClientMessage
	= | {readonly kind: ClientMessageKind.Startup; readonly credentials: CallerCredentials}
		| {readonly kind: ClientMessageKind.Statement; readonly statement: Statement}
		| {readonly kind: ClientMessageKind.InvalidStatement; readonly message: string}
		| {readonly kind: ClientMessageKind.Unreadable; readonly code: StatementErrorCode; readonly message: string}
		| {readonly kind: ClientMessageKind.Terminate};

/** Protocol codec of one client connection. */
export type ClientCodec = {
	/** Whether a message has been received in part. */
	readonly hasPartialMessage: boolean;
	/** Decodes received bytes and returns the messages that are complete. */
	decode(chunk: Buffer): ClientMessage[];
	/** Encodes the response to a start-up message. */
	encodeReady(): string;
	/** Encodes an error after which the connection is closed. */
	encodeFatalError(code: StatementErrorCode, message: string): string;
	/** Encodes the complete response to a statement. */
	encodeResult(result: StatementResult): string;
};
