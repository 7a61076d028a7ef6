import {
	AcknowledgementMode, logPositionSchema, Rank, RefusalReason, RequestKind, TransactionStatus, Verdict,
} from '@tarragonstack/core';
import {z} from 'zod';

const bytesSchema = z.instanceof(Uint8Array);

/** Schema of an `UpstreamRequest` received from a peer. */
export const upstreamRequestSchema = z.object({
	requestIdentifier: z.string(),
	customer: z.string(),
	rank: z.enum(Rank),
	group: z.string(),
	upstream: z.string(),
	kind: z.enum(RequestKind),
	messages: bytesSchema,
	hiddenParseCompletes: z.array(z.number().int().nonnegative()),
	transactionIdentifier: z.string().optional(),
	beginsTransaction: z.boolean(),
	targetMilliseconds: z.number(),
	timeoutMilliseconds: z.number().nonnegative(),
	lateRefund: z.number().nonnegative(),
	refusedRefund: z.number().nonnegative(),
	customerWeight: z.number().positive(),
	floorShare: z.number().min(0).max(1),
	minimumPosition: logPositionSchema.optional(),
	catchUpMilliseconds: z.number().nonnegative(),
	acknowledgement: z.enum(AcknowledgementMode),
	idempotencyKey: z.string().optional(),
	configurationVersion: z.number(),
});

/** Schema of an `UpstreamResult` received from a peer. */
export const upstreamResultSchema = z.object({
	verdict: z.enum(Verdict),
	transactionStatus: z.enum(TransactionStatus),
	position: logPositionSchema.optional(),
	refusal: z.object({
		reason: z.enum(RefusalReason),
		message: z.string(),
		retryAfterMilliseconds: z.number().optional(),
	}).optional(),
	load: z.object({
		expectedWaitMilliseconds: z.record(z.enum(Rank), z.number()),
		serviceMilliseconds: z.number(),
		position: logPositionSchema.optional(),
	}).optional(),
});

/** Schema of a message that identifies a request or a transaction. */
export const identifierSchema = z.object({identifier: z.string()});

/** Schema of a read index request. */
export const readIndexRequestSchema = z.object({group: z.string(), timeoutMilliseconds: z.number().positive().max(10_000)});

/** Schema of a primary with its term. */
export const primarySchema = z.object({instance: z.string(), term: z.number().int().nonnegative()});

/** Schema of the reply to a read index request. */
export const readIndexReplySchema = z.union([
	z.object({primary: primarySchema, position: logPositionSchema}),
	z.object({error: z.string()}),
]);

/** Schema of the notification about a new primary. */
export const primaryChangedSchema = z.object({group: z.string(), primary: primarySchema});
