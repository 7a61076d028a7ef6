import {BackendMessageType, messageHeaderBytes} from './backend-message-reader.js';
import {MessageCursor} from './message-cursor.js';

/** Authentication requests that `pg` knows. */
enum AuthenticationRequest {
	Ok = 0,
	CleartextPassword = 3,
	Md5Password = 5,
	Sasl = 10,
	SaslContinue = 11,
	SaslFinal = 12,
}

/** Length of a process identifier and its secret key, in bytes. */
const keyDataBytes = 8;

/** Length of what follows the name of a column in a row description, in bytes. */
const columnAttributesBytes = 18;

const noFields = (): void => {};

/** Reads the fields of a message body. */
const bodyReaders: Readonly<Record<number, (cursor: MessageCursor) => void>> = {
	[BackendMessageType.Authentication]: readAuthentication,
	[BackendMessageType.BackendKeyData](cursor) {
		cursor.skip(keyDataBytes);
	},
	[BackendMessageType.CommandComplete](cursor) {
		cursor.skipString();
	},
	[BackendMessageType.DataRow]: readDataRow,
	[BackendMessageType.EmptyQueryResponse]: noFields,
	[BackendMessageType.ErrorResponse]: readTaggedStrings,
	[BackendMessageType.NoticeResponse]: readTaggedStrings,
	[BackendMessageType.NotificationResponse](cursor) {
		cursor.skip(4);
		cursor.skipString();
		cursor.skipString();
	},
	[BackendMessageType.ParameterStatus](cursor) {
		cursor.skipString();
		cursor.skipString();
	},
	[BackendMessageType.ReadyForQuery](cursor) {
		cursor.skip(1);
	},
	[BackendMessageType.RowDescription]: readRowDescription,
};

/** Reads what follows the code of an authentication request. */
const authenticationReaders: Readonly<Record<number, (cursor: MessageCursor) => void>> = {
	[AuthenticationRequest.Ok]: noFields,
	[AuthenticationRequest.CleartextPassword]: noFields,
	[AuthenticationRequest.Md5Password](cursor) {
		cursor.skip(4);
	},
	[AuthenticationRequest.Sasl]: readTaggedStrings,
	[AuthenticationRequest.SaslContinue]: noFields,
	[AuthenticationRequest.SaslFinal]: noFields,
};

/**
 * Checks that a message of a login or of a simple query is one that the parser of `pg` reads to its end.
 *
 * @param message - Whole message, including its header.
 * @returns What is wrong with the message, or `undefined`.
 */
export function findMessageFault(message: Buffer): string | undefined {
	const type = message.readUInt8(0);
	const readBody = bodyReaders[type];
	if (!readBody) {
		return `a message of the unexpected type ${type}`;
	}

	const cursor = new MessageCursor(message, messageHeaderBytes);
	readBody(cursor);
	return cursor.isValid ? undefined : `a malformed message of the type ${type}`;
}

function readAuthentication(cursor: MessageCursor): void {
	const readRequest = authenticationReaders[cursor.readInteger32()] ?? rejectRequest;
	readRequest(cursor);
}

/** Reads the fields of an error or the names of mechanisms: strings of one byte or more, up to a zero byte. */
function readTaggedStrings(cursor: MessageCursor): void {
	while (cursor.readByte() !== 0) {
		cursor.skipString();
	}
}

function readDataRow(cursor: MessageCursor): void {
	for (let fields = readCount(cursor); fields > 0 && cursor.isValid; fields--) {
		const bytes = cursor.readInteger32();
		cursor.skip(bytes === -1 ? 0 : bytes);
	}
}

function readRowDescription(cursor: MessageCursor): void {
	for (let columns = readCount(cursor); columns > 0 && cursor.isValid; columns--) {
		cursor.skipString();
		cursor.skip(columnAttributesBytes);
	}
}

/** Reads the number of the fields that follow. */
function readCount(cursor: MessageCursor): number {
	const count = cursor.readInteger16();
	if (count < 0) {
		cursor.invalidate();
	}

	return count;
}

function rejectRequest(cursor: MessageCursor): void {
	cursor.invalidate();
}
