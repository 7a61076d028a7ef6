import {type Socket} from 'node:net';
import {
	encodeFrame, type FrameDecoder, maximumFrameBytes, Verdict, type TimerService,
} from '@tarragonstack/core';
import {err, ok, type Result} from 'neverthrow';
import {corkUntilNextTurn} from '../cork-until-next-turn.js';
import {
	type PeerCallOptions, type PeerError, type PeerHandler, type PeerMessageKind,
} from '../peer-network.js';
import {
	flowControlWindowBytes, maximumChunkBytes, parsePeerFrame, PeerFrameType, type PeerFrame,
} from './peer-frame.js';

/** Number of bytes in the write buffer of the socket above which new calls are refused. */
export const maximumWriteBufferBytes = 4_194_304;

/** Reason why a link was closed. */
export enum LinkCloseReason {
	/** The connection was closed or reset by the peer or the network. */
	Lost = 'lost',
	/** The peer did not respond to a ping for so long that its running calls are abandoned. */
	Silent = 'silent',
	/** The peer violated the protocol, or did not read the frames sent to it. */
	Violation = 'violation',
	/** This host closed the link. */
	Local = 'local',
}

/** Callbacks with which a link notifies the peer network and obtains its handlers. */
export type PeerLinkCallbacks = {
	getHandler(kind: PeerMessageKind): PeerHandler | undefined;
	/** Called for a reply or chunk without an outstanding call: after the call settled, or with an identifier that was never issued. */
	onUnmatchedFrame(): void;
	/** Called when data is received over a suspended link. */
	onResumed(): void;
	/** Called when the peer violated the protocol or did not read, and when a notification handler of this host failed. */
	onError(description: string): void;
};

/** Options of `PeerLink`. */
export type PeerLinkOptions = {
	readonly peer: string;
	readonly isOutgoing: boolean;
	/** Connected socket. */
	readonly socket: Socket;
	readonly timerService: TimerService;
	readonly callbacks: PeerLinkCallbacks;
};

type OutgoingCall = {
	readonly onChunk: PeerCallOptions['onChunk'];
	readonly survivesSilence: boolean;
	readonly settle: (result: Result<unknown, PeerError>) => void;
	/** Resolves when the caller has consumed all received chunks. */
	consumed: Promise<void>;
	/** Number of bytes in chunks that the peer may still send. */
	receivableBytes: number;
	/** Whether the reply was received. The call settles once the received chunks are consumed. */
	replied: boolean;
};

type IncomingCall = {
	readonly abortController: AbortController;
	/** Resolves when the last chunk has been sent. Chunks are sent in the order of the writes. */
	lastWrite: Promise<void>;
	/** Number of bytes in chunks that this host may still send. */
	sendableBytes: number;
	onCredit?: () => void;
};

/** Connection to a peer after the exchange of hello frames. */
export class PeerLink {
	readonly peer: string;
	/** Whether this host opened the connection. */
	readonly isOutgoing: boolean;
	/** Monotonic time at which data was last received, in milliseconds. */
	lastReceivedAt: number;
	/** Monotonic time at which the last ping was sent, in milliseconds, or `undefined` if data was received since. */
	probedAt: number | undefined;
	#closeReason: LinkCloseReason | undefined;
	#nextIdentifier = 1;
	#lastIncomingIdentifier = 0;
	#isDraining = false;
	#isSuspended = false;
	/** Whether the peer has sent a `Closing` frame. */
	#isPeerDraining = false;
	#onIdle: (() => void) | undefined;
	readonly #outgoingCalls = new Map<number, OutgoingCall>();
	readonly #incomingCalls = new Map<number, IncomingCall>();

	readonly #socket: Socket;
	readonly #timerService: TimerService;
	readonly #callbacks: PeerLinkCallbacks;

	/**
	 * @param options - Peer, socket and services.
	 */
	constructor(options: PeerLinkOptions) {
		this.peer = options.peer;
		this.isOutgoing = options.isOutgoing;
		this.#socket = options.socket;
		this.#timerService = options.timerService;
		this.#callbacks = options.callbacks;
		this.lastReceivedAt = options.timerService.now();
	}

	/** Whether the link has not been closed. */
	get isOpen(): boolean {
		return this.#closeReason === undefined;
	}

	/** Whether calls can be sent, that is, the link is open, not suspended, and neither side is draining it. */
	get acceptsCalls(): boolean {
		return this.isOpen && !this.#isSuspended && !this.#isDraining && !this.#isPeerDraining;
	}

	/** Whether the peer is silent, so that no calls are sent until data is received. */
	get isSuspended(): boolean {
		return this.#isSuspended;
	}

	/** Number of outgoing and incoming calls without a reply. */
	get outstandingCallCount(): number {
		return this.#outgoingCalls.size + this.#incomingCalls.size;
	}

	/**
	 * Processes received frames until the connection ends.
	 *
	 * @param decoder - Decoder that has already consumed the hello frame.
	 * @param bufferedValues - Values that were received together with the hello frame.
	 * @returns The reason why the link was closed.
	 */
	async run(decoder: FrameDecoder, bufferedValues: readonly unknown[]): Promise<LinkCloseReason> {
		try {
			this.#processValues(bufferedValues);
			for await (const chunk of this.#socket as AsyncIterable<Buffer>) {
				this.#handleReceivedData();
				const values = decoder.push(chunk);
				if (values.isErr()) {
					this.#closeAfterError(values.error);
					break;
				}

				this.#processValues(values.value);
				if (!this.isOpen) {
					break;
				}
			}
		} catch {
			// A connection reset is treated as a close.
		}

		this.close(LinkCloseReason.Lost);
		return this.#closeReason ?? LinkCloseReason.Lost;
	}

	/**
	 * Sends a call and waits for its reply.
	 *
	 * @param kind - Kind of the message.
	 * @param body - Plain data.
	 * @param options - Time limit, signal and chunk callback.
	 */
	async call(kind: PeerMessageKind, body: unknown, options: PeerCallOptions): Promise<Result<unknown, PeerError>> {
		if (!this.acceptsCalls || options.signal?.aborted) {
			return err({verdict: Verdict.NotRun, message: this.acceptsCalls ? 'the call was aborted before it was sent' : `the link to ${this.peer} is closed`});
		}

		if (this.#socket.writableLength > maximumWriteBufferBytes) {
			return err({verdict: Verdict.NotRun, message: `the write buffer of the link to ${this.peer} is full`});
		}

		const identifier = this.#nextIdentifier;
		const creditBytes = options.onChunk ? flowControlWindowBytes : 0;
		const frame = encodeFrame([PeerFrameType.Call, identifier, kind, body, creditBytes]);
		// An encoded frame starts with a length field of 4 bytes.
		if (frame.length - 4 > maximumFrameBytes) {
			return err({verdict: Verdict.NotRun, message: 'the message exceeds the maximum frame length'});
		}

		this.#nextIdentifier++;
		return new Promise(resolve => {
			const cancel = (message: string) => {
				this.#send([PeerFrameType.Cancel, identifier]);
				settle(err({verdict: Verdict.MayHaveRun, message}));
			};

			const onAbort = () => {
				cancel(`the caller aborted the call to ${this.peer}`);
			};

			const timer = this.#timerService.schedule(options.timeoutMilliseconds, () => {
				cancel(`${this.peer} did not answer within ${options.timeoutMilliseconds} ms`);
			});
			const settle = (result: Result<unknown, PeerError>) => {
				if (this.#outgoingCalls.delete(identifier)) {
					timer[Symbol.dispose]();
					options.signal?.removeEventListener('abort', onAbort);
					resolve(result);
					this.#checkIdle();
				}
			};

			this.#outgoingCalls.set(identifier, {
				onChunk: options.onChunk, survivesSilence: options.survivesSilence ?? false, settle, consumed: Promise.resolve(), receivableBytes: creditBytes, replied: false,
			});
			options.signal?.addEventListener('abort', onAbort, {once: true});
			corkUntilNextTurn(this.#socket);
			this.#socket.write(frame);
		});
	}

	/**
	 * Sends a message that has no reply. It is dropped if the write buffer is full.
	 *
	 * @param kind - Kind of the message.
	 * @param body - Plain data.
	 */
	notify(kind: PeerMessageKind, body: unknown): void {
		if (this.#socket.writableLength <= maximumWriteBufferBytes) {
			this.#send([PeerFrameType.Notify, kind, body]);
		}
	}

	/**
	 * Stops sending calls until data is received, because the peer is silent. A peer that is only slow still completes the calls
	 * that it has received, so calls with `survivesSilence` and the peer's own calls continue. The other calls fail.
	 */
	suspend(): void {
		this.#isSuspended = true;
		for (const [identifier, call] of this.#outgoingCalls) {
			if (!call.survivesSilence) {
				this.#send([PeerFrameType.Cancel, identifier]);
				call.settle(err({verdict: Verdict.MayHaveRun, message: `${this.peer} is silent`}));
			}
		}
	}

	/** Sends a ping to check whether the peer responds. */
	probe(): void {
		this.probedAt = this.#timerService.now();
		this.#send([PeerFrameType.Ping]);
	}

	/**
	 * Drains and closes the link: sends a `Closing` frame, after which no further calls are processed, waits for the outstanding
	 * calls, and closes the connection once all data has been sent. The frame contains the identifier of the last call that was
	 * received. The peer settles the calls with a greater identifier as not run, if the frame reaches it before they time out
	 * or the connection is lost.
	 *
	 * @param timeoutMilliseconds - Time after which the link is closed even if calls are outstanding.
	 */
	async drain(timeoutMilliseconds: number): Promise<void> {
		if (!this.isOpen || this.#isDraining) {
			return;
		}

		this.#isDraining = true;
		this.#send([PeerFrameType.Closing, this.#lastIncomingIdentifier]);
		const timer = this.#timerService.schedule(timeoutMilliseconds, () => {
			this.close(LinkCloseReason.Local);
		});
		await new Promise<void>(resolve => {
			this.#onIdle = resolve;
			this.#checkIdle();
		});
		await new Promise<void>(resolve => {
			// The peer closes its side when it has received all data.
			this.#socket.once('close', resolve);
			this.#socket.end();
			if (this.#socket.destroyed) {
				resolve();
			}
		});
		timer[Symbol.dispose]();
	}

	/**
	 * Closes the link. Outgoing calls without a reply fail with an unknown outcome.
	 *
	 * @param reason - Reason for closing.
	 */
	close(reason: LinkCloseReason): void {
		if (this.#closeReason !== undefined) {
			return;
		}

		this.#closeReason = reason;
		this.#socket.destroy();
		for (const call of this.#outgoingCalls.values()) {
			call.settle(err({verdict: Verdict.MayHaveRun, message: `the link to ${this.peer} was closed (${reason})`}));
		}

		for (const call of this.#incomingCalls.values()) {
			call.abortController.abort();
			call.onCredit?.();
		}

		this.#incomingCalls.clear();
		this.#checkIdle();
	}

	#handleReceivedData(): void {
		this.lastReceivedAt = this.#timerService.now();
		this.probedAt = undefined;
		if (this.#isSuspended) {
			this.#isSuspended = false;
			this.#callbacks.onResumed();
		}
	}

	#checkIdle(): void {
		if (this.outstandingCallCount === 0) {
			this.#onIdle?.();
		}
	}

	#handleClosing(lastIdentifier: number): void {
		this.#isPeerDraining = true;
		for (const [identifier, call] of this.#outgoingCalls) {
			if (identifier > lastIdentifier) {
				call.settle(err({verdict: Verdict.NotRun, message: `${this.peer} is stopping`}));
			}
		}
	}

	#send(frame: PeerFrame): void {
		if (!this.isOpen) {
			return;
		}

		// Pongs and other control frames are not subject to flow control. Without this limit, a peer that sends but does not read
		// would make the write buffer grow until the memory is exhausted.
		if (this.#socket.writableLength > 2 * maximumWriteBufferBytes) {
			this.#closeAfterError('the peer does not read the frames sent to it');
			return;
		}

		corkUntilNextTurn(this.#socket);
		this.#socket.write(encodeFrame(frame));
	}

	#closeAfterError(description: string): void {
		this.#callbacks.onError(description);
		this.close(LinkCloseReason.Violation);
	}

	#processValues(values: readonly unknown[]): void {
		for (const value of values) {
			if (!this.isOpen) {
				return;
			}

			const frame = parsePeerFrame(value);
			if (frame) {
				this.#processFrame(frame);
			} else {
				this.#closeAfterError('a frame is malformed');
			}
		}
	}

	#processFrame(frame: PeerFrame): void {
		switch (frame[0]) {
			case PeerFrameType.Hello: {
				this.#closeAfterError('a second hello frame was received');
				break;
			}

			case PeerFrameType.Call: {
				this.#startHandler(frame[1], frame[2] as PeerMessageKind, frame[3], frame[4]);
				break;
			}

			case PeerFrameType.Reply: {
				void this.#finishCall(frame[1], ok(frame[2]));
				break;
			}

			case PeerFrameType.Failure: {
				void this.#finishCall(frame[1], err({verdict: frame[2] as Verdict, message: frame[3]}));
				break;
			}

			case PeerFrameType.Chunk: {
				this.#handleChunk(frame[1], frame[2]);
				break;
			}

			case PeerFrameType.Credit: {
				this.#handleCredit(frame[1], frame[2]);
				break;
			}

			case PeerFrameType.Cancel: {
				this.#incomingCalls.get(frame[1])?.abortController.abort();
				this.#incomingCalls.get(frame[1])?.onCredit?.();
				break;
			}

			case PeerFrameType.Notify: {
				void this.#runNotification(frame[1] as PeerMessageKind, frame[2]);
				break;
			}

			case PeerFrameType.Ping: {
				this.#send([PeerFrameType.Pong]);
				break;
			}

			case PeerFrameType.Pong: {
				break;
			}

			case PeerFrameType.Closing: {
				this.#handleClosing(frame[1]);
				break;
			}
		}
	}

	async #finishCall(identifier: number, result: Result<unknown, PeerError>): Promise<void> {
		const call = this.#outgoingCalls.get(identifier);
		if (!call || call.replied) {
			this.#callbacks.onUnmatchedFrame();
			return;
		}

		call.replied = true;
		await call.consumed;
		call.settle(result);
	}

	#handleChunk(identifier: number, bytes: Uint8Array): void {
		const call = this.#outgoingCalls.get(identifier);
		if (!call || call.replied) {
			this.#callbacks.onUnmatchedFrame();
			return;
		}

		call.receivableBytes -= bytes.length;
		if (call.receivableBytes < 0 || !call.onChunk) {
			this.#closeAfterError('a chunk exceeds the flow control credit');
			return;
		}

		call.consumed = this.#consume(identifier, call, bytes);
	}

	async #consume(identifier: number, call: OutgoingCall, bytes: Uint8Array): Promise<void> {
		try {
			await call.consumed;
			if (this.#outgoingCalls.has(identifier)) {
				await call.onChunk?.(bytes);
				call.receivableBytes += bytes.length;
				this.#send([PeerFrameType.Credit, identifier, bytes.length]);
			}
		} catch (error) {
			this.#send([PeerFrameType.Cancel, identifier]);
			call.settle(err({verdict: Verdict.MayHaveRun, message: `the chunk callback failed: ${String(error)}`}));
		}
	}

	#handleCredit(identifier: number, bytes: number): void {
		const call = this.#incomingCalls.get(identifier);
		if (!call) {
			// The handler has finished, so the credit for its last chunks is no longer needed.
			return;
		}

		call.sendableBytes += bytes;
		if (call.sendableBytes > flowControlWindowBytes) {
			this.#closeAfterError('the credit exceeds the flow control window');
			return;
		}

		call.onCredit?.();
	}

	#startHandler(identifier: number, kind: PeerMessageKind, body: unknown, creditBytes: number): void {
		if (this.#isDraining) {
			return;
		}

		if (identifier <= this.#lastIncomingIdentifier) {
			this.#closeAfterError('a call identifier was used twice');
			return;
		}

		this.#lastIncomingIdentifier = identifier;
		const handler = this.#callbacks.getHandler(kind);
		if (!handler) {
			this.#send([PeerFrameType.Failure, identifier, Verdict.NotRun, `no handler for messages of kind "${kind}"`]);
			return;
		}

		const call: IncomingCall = {abortController: new AbortController(), lastWrite: Promise.resolve(), sendableBytes: creditBytes};
		this.#incomingCalls.set(identifier, call);
		void this.#runHandler(identifier, call, handler, body);
	}

	async #runHandler(identifier: number, call: IncomingCall, handler: PeerHandler, body: unknown): Promise<void> {
		try {
			const reply = await handler(body, {
				peer: this.peer,
				signal: call.abortController.signal,
				write: async chunk => {
					const previousWrite = call.lastWrite;
					const currentWrite = (async () => {
						await previousWrite;
						await this.#writeChunk(identifier, call, chunk);
					})();
					call.lastWrite = currentWrite;
					await currentWrite;
				},
			});
			const frame = encodeFrame([PeerFrameType.Reply, identifier, reply]);
			// An encoded frame starts with a length field of 4 bytes.
			if (frame.length - 4 > maximumFrameBytes) {
				throw new Error('the reply exceeds the maximum frame length');
			}

			await this.#waitForWriteBufferSpace();
			if (this.isOpen) {
				corkUntilNextTurn(this.#socket);
				this.#socket.write(frame);
			}
		} catch (error) {
			this.#send([PeerFrameType.Failure, identifier, Verdict.MayHaveRun, error instanceof Error ? error.message : String(error)]);
		} finally {
			this.#incomingCalls.delete(identifier);
			this.#checkIdle();
		}
	}

	async #runNotification(kind: PeerMessageKind, body: unknown): Promise<void> {
		try {
			await this.#callbacks.getHandler(kind)?.(body, {
				peer: this.peer,
				signal: new AbortController().signal,
				async write() {
					throw new Error('a notification has no response stream');
				},
			});
		} catch (error) {
			this.#callbacks.onError(`the handler of "${kind}" failed: ${String(error)}`);
		}
	}

	async #writeChunk(identifier: number, call: IncomingCall, chunk: Uint8Array): Promise<void> {
		if (chunk.length > maximumChunkBytes) {
			throw new Error(`a chunk exceeds ${maximumChunkBytes} bytes`);
		}

		while (call.sendableBytes < chunk.length && !call.abortController.signal.aborted) {
			await new Promise<void>(resolve => {
				call.onCredit = resolve;
			});
		}

		if (call.abortController.signal.aborted || !this.isOpen) {
			throw new Error('the call was aborted');
		}

		call.sendableBytes -= chunk.length;
		this.#send([PeerFrameType.Chunk, identifier, chunk]);
		await this.#waitForWriteBufferSpace();
	}

	async #waitForWriteBufferSpace(): Promise<void> {
		const socket = this.#socket;
		while (this.isOpen && socket.writableLength > maximumWriteBufferBytes) {
			await new Promise<void>(resolve => {
				const finish = () => {
					socket.off('drain', finish);
					socket.off('close', finish);
					resolve();
				};

				socket.on('drain', finish);
				socket.on('close', finish);
			});
		}
	}
}
