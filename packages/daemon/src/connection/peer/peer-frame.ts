import {z} from '@tarragonstack/core';

/** Version of the protocol between hosts. A host accepts peers with the same, the previous or the next version. */
export const peerProtocolVersion = 1;

/** Maximum length of a streamed chunk, in bytes. */
export const maximumChunkBytes = 65_536;

/** Flow control window of a call: the bytes of chunks that a handler may send before the caller has consumed them. */
export const flowControlWindowBytes = 262_144;

/** Type of a frame, which is the first element of its array. */
export enum PeerFrameType {
	/** `[type, version, host]`. The first frame in each direction. */
	Hello = 0,
	/** `[type, id, kind, body, credit]`. The identifiers of the calls on a link increase. */
	Call = 1,
	/** `[type, id, body]`. */
	Reply = 2,
	/** `[type, id, verdict, message]`. */
	Failure = 3,
	/** `[type, id, bytes]`. */
	Chunk = 4,
	/** `[type, id, bytes]`. Allows the handler to send this many more bytes. */
	Credit = 5,
	/** `[type, id]`. The caller no longer waits for the reply. */
	Cancel = 6,
	/** `[type, kind, body]`. */
	Notify = 7,
	/** `[type]`. Requests a `Pong`. */
	Ping = 8,
	/** `[type]`. */
	Pong = 9,
	/** `[type, id]`. The sender is stopping and does not process calls with a greater identifier. */
	Closing = 10,
}

const identifier = z.number().int().positive();
const kind = z.string().max(40);

const schemas = {
	[PeerFrameType.Hello]: z.tuple([z.literal(PeerFrameType.Hello), z.number().int().nonnegative(), z.string().min(1).max(63)]),
	[PeerFrameType.Call]: z.tuple([z.literal(PeerFrameType.Call), identifier, kind, z.unknown(), z.number().int().nonnegative().max(flowControlWindowBytes)]),
	[PeerFrameType.Reply]: z.tuple([z.literal(PeerFrameType.Reply), identifier, z.unknown()]),
	[PeerFrameType.Failure]: z.tuple([z.literal(PeerFrameType.Failure), identifier, z.enum(['not-run', 'may-have-run']), z.string()]),
	[PeerFrameType.Chunk]: z.tuple([z.literal(PeerFrameType.Chunk), identifier, z.custom<Uint8Array>(value => value instanceof Uint8Array)]),
	[PeerFrameType.Credit]: z.tuple([z.literal(PeerFrameType.Credit), identifier, z.number().int().positive()]),
	[PeerFrameType.Cancel]: z.tuple([z.literal(PeerFrameType.Cancel), identifier]),
	[PeerFrameType.Notify]: z.tuple([z.literal(PeerFrameType.Notify), kind, z.unknown()]),
	[PeerFrameType.Ping]: z.tuple([z.literal(PeerFrameType.Ping)]),
	[PeerFrameType.Pong]: z.tuple([z.literal(PeerFrameType.Pong)]),
	[PeerFrameType.Closing]: z.tuple([z.literal(PeerFrameType.Closing), z.number().int().nonnegative()]),
} as const;

/** Frame of any type, as a tuple with the fields of its type. */
export type PeerFrame = {[Type in PeerFrameType]: z.output<(typeof schemas)[Type]>}[PeerFrameType];

/**
 * Validates the decoded value of a frame.
 *
 * @param value - Decoded value.
 * @returns The frame, or `undefined` if the value is not a valid frame.
 */
export function parsePeerFrame(value: unknown): PeerFrame | undefined {
	const type: unknown = Array.isArray(value) ? value[0] : undefined;
	if (typeof type !== 'number' || !Object.hasOwn(schemas, type)) {
		return undefined;
	}

	const parsed = schemas[type as PeerFrameType].safeParse(value);
	return parsed.success ? parsed.data : undefined;
}
