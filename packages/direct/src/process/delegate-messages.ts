import process from 'node:process';
import {type StoreChange} from '@tarragonstack/core/adapters/shared-store';
import {decode, encode} from 'cbor-x';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod/mini';

/** Length from which changes are compressed, in bytes. It is above that of the changes which a starting host receives. */
const compressionThresholdBytes = 16_384;

/** Maximum length of changes after decompression, in bytes. */
const maximumChangesBytes = 67_108_864;

/** Kinds of messages between a delegate and its followers. */
export enum DelegateMessageKind {
	/** From a follower: asks for a grant and reports the follower's confirmations and suspicions. */
	Question = 'question',
	/** From a delegate: changes of the store, which precede every grant that depends on them. */
	Changes = 'changes',
	/** From a delegate: authority to use primaries. */
	Grant = 'grant',
	/** From a delegate: the follower has to ask another host. */
	Unavailable = 'unavailable',
}

/** Creates the schemas of the messages. */
function createSchemas() {
	const questionSchema = z.object({
		kind: z.literal(DelegateMessageKind.Question),
		/** Number that the grants refer to. */
		number: z.number(),
		host: z.string(),
		incarnation: z.string(),
		/** Revision of the store up to which the follower knows all changes; 0 if it knows none. */
		revision: z.number(),
		/** Identifier of the last confirmed primary change by group. */
		confirmed: z.record(z.string(), z.string()),
		/** Groups whose primary the follower suspects to have failed. */
		suspected: z.array(z.string()),
	});

	const changesSchema = z.object({
		kind: z.literal(DelegateMessageKind.Changes),
		/** Revision of the store up to which these and earlier changes are complete. */
		revision: z.number(),
		/** Whether the changes are all items of the store. */
		isSnapshot: z.boolean(),
		/** CBOR of `EncodedChange[]`. */
		body: z.instanceof(Uint8Array),
		isCompressed: z.boolean(),
	});

	const grantSchema = z.object({
		kind: z.literal(DelegateMessageKind.Grant),
		/** Number of the question to which `remaining` refers. */
		number: z.number(),
		/** Time from the sending of the question until the authority expires, in milliseconds. */
		remaining: z.number(),
		/** Time from the lease renewal behind the grant until the question was received, in milliseconds. */
		proofAge: z.number(),
		/** Era of the store in which the delegate obtained its authority. */
		era: z.number(),
		isStoreAvailable: z.boolean(),
	});

	const messageSchema = z.discriminatedUnion('kind', [
		questionSchema,
		changesSchema,
		grantSchema,
		z.object({kind: z.literal(DelegateMessageKind.Unavailable), reason: z.string()}),
	]);

	const encodedChangesSchema = z.array(z.tuple([z.string(), z.number(), z.nullable(z.string())]));

	return {messageSchema, encodedChangesSchema};
}

type Schemas = ReturnType<typeof createSchemas>;

let schemas: Schemas | undefined;

/** Returns the schemas. They are created at the first message, because that takes about 3 ms of processor time. */
function getSchemas(): Schemas {
	schemas ??= createSchemas();
	return schemas;
}

/** Message between a delegate and a follower. */
export type DelegateMessage = z.output<Schemas['messageSchema']>;

/** Question of a follower. */
export type DelegateQuestion = Extract<DelegateMessage, {kind: DelegateMessageKind.Question}>;

/** Grant of a delegate. */
export type DelegateGrant = Extract<DelegateMessage, {kind: DelegateMessageKind.Grant}>;

/** Message with changes of the store. */
export type DelegateChanges = Extract<DelegateMessage, {kind: DelegateMessageKind.Changes}>;

/**
 * Validates a message.
 *
 * @param value - Decoded frame.
 * @returns The message, or the reason why the value is invalid.
 */
export function parseDelegateMessage(value: unknown): Result<DelegateMessage, string> {
	const parsed = getSchemas().messageSchema.safeParse(value);
	return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
}

/** Loads the compression on first use, because it takes several milliseconds of a start. */
function loadCompression() {
	return process.getBuiltinModule('node:zlib');
}

/** Creates a message with changes. */
export function createChangesMessage(changes: readonly StoreChange[], revision: number, isSnapshot: boolean): DelegateChanges {
	const body = encode(changes.map(change => [change.key, change.revision, change.removed ? null : change.value]));
	const isCompressed = body.length >= compressionThresholdBytes;
	return {kind: DelegateMessageKind.Changes, revision, isSnapshot, body: new Uint8Array(isCompressed ? loadCompression().deflateRawSync(body) : body), isCompressed};
}

/**
 * Decodes the changes in a message.
 *
 * @returns The changes, or the reason why they are invalid.
 */
export function decodeChanges({body, isCompressed}: DelegateChanges): Result<StoreChange[], string> {
	try {
		const parsed = getSchemas().encodedChangesSchema.safeParse(decode(isCompressed ? loadCompression().inflateRawSync(body, {maxOutputLength: maximumChangesBytes}) : body));
		return parsed.success
			? ok(parsed.data.map(([key, revision, value]): StoreChange => value === null ? {removed: true, key, revision} : {removed: false, key, revision, value}))
			: err(z.prettifyError(parsed.error));
	} catch (error) {
		return err(String(error));
	}
}
