import {type Verdict} from '@tarragonstack/core';
import {type Result} from 'neverthrow';

/** Kind of a message between hosts. */
export enum PeerMessageKind {
	Heartbeat = 'heartbeat',
	Leaving = 'leaving',
	ConfigurationQuery = 'configuration-query',
	SubmitRequest = 'submit-request',
	CancelRequest = 'cancel-request',
	AbandonTransaction = 'abandon-transaction',
	ReadIndex = 'read-index',
	PrimaryChanged = 'primary-changed',
}

/** Error of a call to a peer. */
export type PeerError = {
	/** `NotRun` when the message cannot have reached the peer, otherwise `MayHaveRun`. */
	readonly verdict: Verdict;
	readonly message: string;
};

/** Options of a call to a peer. */
export type PeerCallOptions = {
	/** Time after which the call fails. */
	readonly timeoutMilliseconds: number;
	/** Ends the call early; the peer's handler is told through its own signal. */
	readonly signal?: AbortSignal;
	/** Receives the chunks that the handler writes. The peer waits until the returned promise resolves (back pressure). */
	readonly onChunk?: (chunk: Uint8Array) => Promise<void>;
};

/** What the handler of a call knows about the call. */
export type PeerCallContext = {
	/** Name of the calling host. */
	readonly peer: string;
	/** Aborted when the caller ended the call or the link was lost. */
	readonly signal: AbortSignal;
	/**
	 * Streams a chunk of at most 64 KiB to the caller before the reply.
	 *
	 * @param chunk - Bytes to send.
	 * @returns A promise that resolves when the caller can take more.
	 */
	write(chunk: Uint8Array): Promise<void>;
};

/** Handler of one kind of message. The body is plain data; the handler validates it. */
export type PeerHandler = (body: unknown, context: PeerCallContext) => Promise<unknown>;

/** Links to the other hosts. */
export type PeerNetwork = {
	/**
	 * Calls a peer and waits for the reply.
	 *
	 * @param host - Name of the peer.
	 * @param kind - Kind of the message.
	 * @param body - Plain data.
	 * @param options - Time limit, signal and receiver of chunks.
	 */
	call(host: string, kind: PeerMessageKind, body: unknown, options: PeerCallOptions): Promise<Result<unknown, PeerError>>;

	/**
	 * Sends a message without a reply. It is dropped when the peer cannot be reached.
	 *
	 * @param host - Name of the peer.
	 * @param kind - Kind of the message.
	 * @param body - Plain data.
	 */
	notify(host: string, kind: PeerMessageKind, body: unknown): void;

	/**
	 * Registers the handler of a kind of message.
	 *
	 * @param kind - Kind of the message.
	 * @param handler - Called for each message of the kind.
	 */
	handle(kind: PeerMessageKind, handler: PeerHandler): void;
};
