import {TransactionStatus} from '@tarragonstack/core/request/transaction-status';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod/mini';
import {StatementErrorCode} from '../request/statement-error-code.js';
import {StatementKind} from '../request/statement-kind.js';
import {ChannelFailure, SessionCommand} from './upstream-channel.js';

/**
 * Maximum length of a message between a host and a gateway, in bytes. A statement of 1 MiB may take two bytes per
 * character and contain its arguments twice; the rest is for the rows of a result.
 */
export const maximumRelayBytes = 16_777_216;

/** Messages from a host to a gateway. */
export enum RelayRequestKind {
	/** First message on a connection; selects the instance. */
	Open = 'open',
	Run = 'run',
	ReadStatus = 'read-status',
}

/** Messages from a gateway to a host. */
export enum RelayResponseKind {
	Opened = 'opened',
	Results = 'results',
	Status = 'status',
	/** No part of the request has been sent to the instance. */
	Refused = 'refused',
	/** The connection to the instance failed after the request was sent. */
	Failed = 'failed',
	/** The request waits for a connection, and the instance responds to others. Sent only to hosts that accept it. */
	Waiting = 'waiting',
	/** The gateway is shutting down; the host closes the connection when it no longer needs it. */
	Leaving = 'leaving',
}

/** Creates the schemas of the messages. */
function createSchemas() {
	const positionSchema = z.object({term: z.number(), index: z.number()});
	const definitionSchema = z.object({writes: z.boolean(), shape: z.string()});
	const statementSchema = z.object({
		identifier: z.string(),
		kind: z.enum(StatementKind),
		text: z.string(),
		name: z.optional(z.string()),
		value: z.optional(z.string()),
		definition: z.optional(definitionSchema),
		argumentsText: z.optional(z.string()),
	});

	const upstreamStatementSchema = z.union([
		z.object({statement: statementSchema, minimumPosition: z.optional(positionSchema), preparedName: z.optional(z.string())}),
		z.object({begin: z.enum(['read-write', 'read-only']), minimumPosition: z.optional(positionSchema)}),
		z.object({command: z.enum(SessionCommand)}),
		z.object({setValue: z.object({name: z.string(), value: z.string()})}),
		z.object({prepare: z.object({name: z.string(), definition: definitionSchema})}),
	]);

	// Urgency of a statement. The clocks of hosts differ, so all times are relative to the sending of the message, in milliseconds.
	const urgencySchema = z.object({
		priority: z.number(),
		waited: z.number(),
		onTimeFor: z.number(),
		givenUpAfter: z.number(),
		reign: z.optional(z.number()),
		/** Workspace on whose connections the statement runs. */
		workspace: z.optional(z.string()),
		/** Weight class of the workspace. Hosts of earlier versions do not send it. */
		workspacePriority: z.optional(z.number()),
	});

	const requestSchema = z.discriminatedUnion('kind', [
		z.object({
			kind: z.literal(RelayRequestKind.Open),
			instance: z.string(),
			/** Whether the host accepts messages of the kind `Waiting`; earlier versions would close the connection. */
			acceptsWaiting: z.optional(z.boolean()),
		}),
		z.object({
			kind: z.literal(RelayRequestKind.Run),
			batch: z.array(upstreamStatementSchema),
			/** Time after the sending at which the host abandons the request, in milliseconds. */
			timeout: z.number(),
			urgency: z.optional(urgencySchema),
		}),
		z.object({kind: z.literal(RelayRequestKind.ReadStatus), timeout: z.number()}),
	]);

	const resultSchema = z.object({
		rows: z.array(z.string()),
		completion: z.optional(z.string()),
		error: z.optional(z.object({code: z.enum(StatementErrorCode), message: z.string()})),
		status: z.enum(TransactionStatus),
		position: z.optional(positionSchema),
	});

	// What a gateway has learned about the instance; see `GatewayReport`. Optional, because older gateways do not send it. Older
	// hosts ignore it, and one of another shape is ignored as well.
	const reportSchema = z.union([
		z.object({waited: z.number(), limit: z.number(), slowness: z.number(), distance: z.number()}),
		z.pipe(z.unknown(), z.transform(() => undefined)),
	]);

	const responseSchema = z.discriminatedUnion('kind', [
		z.object({kind: z.literal(RelayResponseKind.Opened)}),
		z.object({kind: z.literal(RelayResponseKind.Results), results: z.array(resultSchema), report: z.optional(reportSchema)}),
		z.object({kind: z.literal(RelayResponseKind.Status), status: z.object({isPrimary: z.boolean(), term: z.number(), received: positionSchema})}),
		z.object({
			kind: z.literal(RelayResponseKind.Refused),
			reason: z.string(),
			/** Time after which the statement may return, in milliseconds, if it could not be served in its time. */
			returnAfter: z.optional(z.number()),
		}),
		z.object({kind: z.literal(RelayResponseKind.Failed), failure: z.enum(ChannelFailure), reason: z.string()}),
		z.object({kind: z.literal(RelayResponseKind.Waiting)}),
		z.object({kind: z.literal(RelayResponseKind.Leaving)}),
	]);

	return {requestSchema, responseSchema};
}

type Schemas = ReturnType<typeof createSchemas>;

let schemas: Schemas | undefined;

/** Returns the schemas. They are created at the first message, because that takes about 5 ms of processor time. */
function getSchemas(): Schemas {
	schemas ??= createSchemas();
	return schemas;
}

/** Urgency of a statement in a message between hosts. */
export type RelayUrgency = NonNullable<Extract<RelayRequest, {kind: RelayRequestKind.Run}>['urgency']>;

/** Message from a host to a gateway. */
export type RelayRequest = z.output<Schemas['requestSchema']>;

/** Message from a gateway to a host. */
export type RelayResponse = z.output<Schemas['responseSchema']>;

/**
 * Validates a message from a host.
 *
 * @param value - Decoded frame.
 * @returns The message, or the reason why the value is invalid.
 */
export function parseRelayRequest(value: unknown): Result<RelayRequest, string> {
	return parse(getSchemas().requestSchema, value);
}

/**
 * Validates a message from a gateway.
 *
 * @param value - Decoded frame.
 * @returns The message, or the reason why the value is invalid.
 */
export function parseRelayResponse(value: unknown): Result<RelayResponse, string> {
	return parse(getSchemas().responseSchema, value);
}

function parse<Message>(schema: z.ZodMiniType<Message>, value: unknown): Result<Message, string> {
	const parsed = schema.safeParse(value);
	return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
}
