import {type TransactionStatus} from '@tarragonstack/core';
import {BackendMessageCode} from 'pg-gateway';
import {Writer} from 'pg-protocol/dist/buffer-writer.js';
import {type CallerError} from './caller-error.js';

/** Severity of an ErrorResponse. */
export enum Severity {
	Error = 'ERROR',
	/** The connection is closed after this message. */
	Fatal = 'FATAL',
}

/** Object identifier of the type `text`. */
const textTypeOid = 25;

/**
 * Encodes an ErrorResponse.
 *
 * @param severity - Severity of the error.
 * @param error - SQLSTATE, message and hint.
 */
export function encodeErrorResponse(severity: Severity, error: CallerError): Buffer {
	const writer = new Writer();
	const fields = [['S', severity], ['V', severity], ['C', error.code], ['M', error.message], ['H', error.hint]] as const;
	for (const [field, value] of fields) {
		if (value !== undefined) {
			writer.addString(field).addCString(value.replaceAll('\0', ' '));
		}
	}

	return writer.addCString('').flush(BackendMessageCode.ErrorMessage);
}

/**
 * Encodes ReadyForQuery.
 *
 * @param status - Transaction status.
 */
export function encodeReadyForQuery(status: TransactionStatus): Buffer {
	return new Writer().addString(status).flush(BackendMessageCode.ReadyForQuery);
}

/** Encodes AuthenticationOk. */
export function encodeAuthenticationOk(): Buffer {
	return new Writer().addInt32(0).flush(BackendMessageCode.AuthenticationResponse);
}

/**
 * Encodes a ParameterStatus.
 *
 * @param name - Name of the parameter.
 * @param value - Value of the parameter.
 */
export function encodeParameterStatus(name: string, value: string): Buffer {
	return new Writer().addCString(name).addCString(value).flush(BackendMessageCode.ParameterStatus);
}

/**
 * Encodes BackendKeyData.
 *
 * @param key - Process identifier and secret, 4 bytes each.
 */
export function encodeBackendKeyData(key: Buffer): Buffer {
	return new Writer().add(key).flush(BackendMessageCode.BackendKeyData);
}

/**
 * Encodes a RowDescription with one column of type `text`.
 *
 * @param column - Name of the column.
 */
export function encodeTextRowDescription(column: string): Buffer {
	return new Writer()
		.addInt16(1).addCString(column)
		.addInt32(0).addInt16(0).addInt32(textTypeOid).addInt16(-1).addInt32(-1).addInt16(0)
		.flush(BackendMessageCode.RowDescriptionMessage);
}

/**
 * Encodes a DataRow with one text value.
 *
 * @param value - Value of the column.
 */
export function encodeTextDataRow(value: string): Buffer {
	return new Writer().addInt16(1).addInt32PrefixedString(value).flush(BackendMessageCode.DataRow);
}

/**
 * Encodes CommandComplete.
 *
 * @param tag - Command tag.
 */
export function encodeCommandComplete(tag: string): Buffer {
	return new Writer().addCString(tag).flush(BackendMessageCode.CommandComplete);
}

/** Encodes a ParameterDescription without parameters. */
export function encodeEmptyParameterDescription(): Buffer {
	return new Writer().addInt16(0).flush(BackendMessageCode.ParameterDescriptionMessage);
}

/**
 * Encodes a message with an empty body, such as ParseComplete.
 *
 * @param code - Type of the message.
 */
export function encodeEmptyMessage(code: BackendMessageCode): Buffer {
	return new Writer().flush(code);
}
