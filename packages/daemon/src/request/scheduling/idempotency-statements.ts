import {Readable} from 'node:stream';
import {type UpstreamRequest} from '@tarragonstack/core';
import {parse, serialize} from 'pg-protocol';

/** Greatest response that is stored for a resend, in bytes. */
export const maximumStoredResponseBytes = 16_384;

/** SQLSTATE of a violated unique key. */
export const uniqueViolationSqlState = '23505';

/** SQLSTATE of a write on a read-only instance. */
export const readOnlySqlState = '25006';

/**
 * Returns the identifier under which the key of a request is stored. Customers that share a group do not share keys.
 *
 * @param request - Request with a key.
 */
export function getStoredKey(request: UpstreamRequest): string {
	return `${request.customer}/${request.idempotencyKey ?? ''}`;
}

/**
 * Serializes several simple queries that are sent at once. Each is answered by its own ReadyForQuery.
 *
 * @param statements - Texts of the queries.
 */
export function serializeQueries(...statements: readonly string[]): Buffer {
	return Buffer.concat(statements.map(statement => serialize.query(statement)));
}

/**
 * Returns the statement that reserves a key.
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
 * Reads the stored response out of the answer to the select statement.
 *
 * @param messages - Back-end messages of the answer.
 * @returns The back-end messages of the first response; empty when none is stored; `undefined` without a row.
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

/** Quotes a text as an SQL literal. Backslashes are ordinary characters in standard-conforming strings. */
function quoteLiteral(text: string): string {
	return `'${text.replaceAll('\0', '').replaceAll('\'', '\'\'')}'`;
}
