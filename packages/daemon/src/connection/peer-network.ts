import {type Verdict} from '@tarragonstack/core';
import {type Result} from 'neverthrow';

/** Kinds of messages between hosts. */
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
	/** `NotRun` if the message cannot have reached the peer, otherwise `MayHaveRun`. */
	readonly verdict: Verdict;
	readonly message: string;
};

/** Options of a call to a peer. */
export type PeerCallOptions = {
	/** Time after which the call fails. */
	readonly timeoutMilliseconds: number;
	/** Cancels the call; the peer then aborts the signal of its handler. */
	readonly signal?: AbortSignal;
	/** Receives the chunks that the handler writes. The peer waits until the returned promise resolves (backpressure). */
	readonly onChunk?: (chunk: Uint8Array) => Promise<void>;
	/**
	 * Whether the call continues while the peer is silent, because its outcome would otherwise be unknown. Other calls fail,
	 * so that the caller can repeat them elsewhere.
	 */
	readonly survivesSilence?: boolean;
};

/** Context of a call that is passed to its handler. */
export type PeerCallContext = {
	/** Name of the calling host. */
	readonly peer: string;
	/** Aborted when the calling host canceled the call or the connection was lost. */
	readonly signal: AbortSignal;
	/**
	 * Streams a chunk of at most 64 KiB to the calling host before the reply.
	 *
	 * @param chunk - Bytes to send.
	 * @returns A promise that resolves when the calling host can receive more.
	 */
	write(chunk: Uint8Array): Promise<void>;
};

/** Handler of one kind of message. The handler validates the body, which is serializable data. */
export type PeerHandler = (body: unknown, context: PeerCallContext) => Promise<unknown>;

/** Connections to the other hosts. */
export type PeerNetwork = {
	/**
	 * Calls a peer and waits for the reply.
	 *
	 * @param host - Name of the peer.
	 * @param kind - Kind of the message.
	 * @param body - Serializable data.
	 * @param options - Timeout, signal and receiver of chunks.
	 */
	call(host: string, kind: PeerMessageKind, body: unknown, options: PeerCallOptions): Promise<Result<unknown, PeerError>>;

	/**
	 * Sends a message without a reply. It is dropped if the peer is unreachable.
	 *
	 * @param host - Name of the peer.
	 * @param kind - Kind of the message.
	 * @param body - Serializable data.
	 */
	notify(host: string, kind: PeerMessageKind, body: unknown): void;

	/**
	 * Registers the handler of a kind of message.
	 *
	 * @param kind - Kind of the messages.
	 * @param handler - Called for each message of this kind.
	 */
	handle(kind: PeerMessageKind, handler: PeerHandler): void;
};
