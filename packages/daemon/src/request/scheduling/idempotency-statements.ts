import {Readable} from 'node:stream';
import {type UpstreamRequest} from '@tarragonstack/core';
import {parse, serialize} from 'pg-protocol';

/** Maximum size of a response that is stored for retries, in bytes. */
export const maximumStoredResponseBytes = 16_384;

/** SQLSTATE of a unique violation. */
export const uniqueViolationSqlState = '23505';

/** SQLSTATE of a write on a read-only instance. */
export const readOnlySqlState = '25006';

/**
 * Returns the identifier under which the idempotency key of a request is stored. It contains the customer, because customers
 * that share a group must not share keys.
 *
 * @param request - Request with an idempotency key.
 */
export function getStoredKey(request: UpstreamRequest): string {
	return `${request.customer}/${request.idempotencyKey ?? ''}`;
}

/**
 * Serializes several simple queries that are sent together. The server ends the response to each one with ReadyForQuery.
 *
 * @param statements - Texts of the queries.
 */
export function serializeQueries(...statements: readonly string[]): Buffer {
	return Buffer.concat(statements.map(statement => serialize.query(statement)));
}

/**
 * Returns the statement that reserves an idempotency key.
 *
 * @param key - Stored key.
 */
export function getInsertStatement(key: string): string {
	return `INSERT INTO tarragon_request (id, response) VALUES (${quoteLiteral(key)}, '')`;
}

/**
 * Returns the statement that stores the response of a request.
 *
 * @param key - Stored key.
 * @param response - Back-end messages of the response.
 */
export function getUpdateStatement(key: string, response: Buffer): string {
	return `UPDATE tarragon_request SET response = '${response.toString('base64')}' WHERE id = ${quoteLiteral(key)}`;
}

/**
 * Returns the statement that reads a stored response.
 *
 * @param key - Stored key.
 */
export function getSelectStatement(key: string): string {
	return `SELECT response FROM tarragon_request WHERE id = ${quoteLiteral(key)}`;
}

/**
 * Extracts the stored response from the result of the select statement.
 *
 * @param messages - Back-end messages of the result.
 * @returns The back-end messages of the original response, an empty buffer if none is stored, or `undefined` without a row.
 */
export async function readStoredResponse(messages: Buffer): Promise<Buffer | undefined> {
	let stored: Buffer | undefined;
	await parse(Readable.from([messages]), message => {
		if (String(message.name) === 'dataRow') {
			const {fields} = message as unknown as {fields: Array<string | null>};
			stored = Buffer.from(fields[0] ?? '', 'base64');
		}
	});
	return stored;
}

/** Quotes a string as an SQL literal. Backslashes need no escape in standard-conforming strings. */
function quoteLiteral(text: string): string {
	return `'${text.replaceAll('\0', '').replaceAll('\'', '\'\'')}'`;
}
