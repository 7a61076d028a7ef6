import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod/mini';

/** Kinds of messages about rate limits. */
export enum LimitMessageKind {
	/** From a host to the limit coordinator of its zone: passes the entitlement of the host on, and asks for tokens. */
	Report = 'limit-report',
	/** Response to a report. */
	Grants = 'limit-grants',
	/** Response to a report or a probe: the host is not available as a coordinator. */
	Unavailable = 'limit-unavailable',
	/** From a host: asks whether another one is available as a coordinator. */
	Probe = 'limit-probe',
	/** Response to a probe of an available host. */
	Available = 'limit-available',
	/** From a coordinator to that of another zone: asks for tokens. */
	LoanRequest = 'limit-loan-request',
	/** Response to a request for tokens. */
	Loans = 'limit-loans',
}

/** Maximum number of workspaces in one message, which keeps it within one datagram. */
export const maximumWorkspacesPerMessage = 200;

const count = z.number().check(z.nonnegative(), z.maximum(Number.MAX_SAFE_INTEGER));

const relation = {
	/** Identifier of the uninterrupted relation of a host process to a coordinator. */
	session: z.string(),
	/** Number of the report within the session. */
	number: count,
};

const reportSchema = z.object({
	kind: z.literal(LimitMessageKind.Report),
	host: z.string(),
	...relation,
	/** Number of registered hosts; the entitlement of the host is the reciprocal. 0 if the host passes on no entitlement. */
	hosts: count,
	/** Whether the host reports to another coordinator after this one has answered. */
	isLast: z.boolean(),
	/** Workspace, tokens received, returned and held, tokens needed now and wanted ahead. */
	requests: z.array(z.tuple([z.string(), count, count, count, count, count])).check(z.maxLength(maximumWorkspacesPerMessage)),
});

const grantsSchema = z.object({
	kind: z.literal(LimitMessageKind.Grants),
	...relation,
	/** Identifier of the coordinator's process. */
	incarnation: z.string(),
	/** Workspace, tokens granted, and time until the next token in milliseconds; 0 if no operation has to wait. */
	grants: z.array(z.tuple([z.string(), count, count])),
});

const loanSchema = z.array(z.tuple([z.string(), count])).check(z.maxLength(maximumWorkspacesPerMessage));

const loansSchema = z.object({
	kind: z.literal(LimitMessageKind.Loans),
	number: count,
	/** Whether the host is a coordinator. */
	isCoordinator: z.boolean(),
	/** Workspace and number of tokens. */
	loans: loanSchema,
});

const schemas = {
	[LimitMessageKind.Report]: reportSchema,
	[LimitMessageKind.Grants]: grantsSchema,
	[LimitMessageKind.Unavailable]: z.object({kind: z.literal(LimitMessageKind.Unavailable), ...relation}),
	[LimitMessageKind.Probe]: z.object({kind: z.literal(LimitMessageKind.Probe), ...relation}),
	[LimitMessageKind.Available]: z.object({kind: z.literal(LimitMessageKind.Available), ...relation}),
	[LimitMessageKind.LoanRequest]: z.object({kind: z.literal(LimitMessageKind.LoanRequest), number: count, loans: loanSchema}),
	[LimitMessageKind.Loans]: loansSchema,
} as const;

/** Messages by their kind. */
export type LimitMessages = {readonly [Kind in LimitMessageKind]: z.output<(typeof schemas)[Kind]>};

/** Message about rate limits. */
export type LimitMessage = LimitMessages[LimitMessageKind];

/**
 * Validates a message.
 *
 * @param kind - Kind of the message.
 * @param value - Received value.
 * @returns The message, or the reason why the value is invalid.
 */
export function parseLimitMessage<Kind extends LimitMessageKind>(kind: Kind, value: unknown): Result<LimitMessages[Kind], string> {
	const parsed = schemas[kind].safeParse(value);
	return parsed.success ? ok(parsed.data as LimitMessages[Kind]) : err(z.prettifyError(parsed.error));
}
