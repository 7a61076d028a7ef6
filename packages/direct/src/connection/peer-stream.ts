/** Ordered, reliable connection between two hosts. */
export type PeerStream = Disposable & {
	/** Handler of received messages, which are not validated. */
	onMessage: ((message: unknown) => void) | undefined;
	/** Called once when the stream has been closed by the other host, or could not be opened. */
	onClose: (() => void) | undefined;

	/**
	 * Sends a message. The stream is closed if the other host does not read.
	 *
	 * @param message - Plain value.
	 */
	send(message: unknown): void;

	/**
	 * Sends a message that was encoded once for several streams.
	 *
	 * @param frame - Result of `PeerStreamTransport.encode`.
	 */
	sendEncoded(frame: Uint8Array): void;
};

/** Opens and accepts streams between hosts. */
export type PeerStreamTransport = {
	/** Handler of streams that other hosts opened. */
	onStream: ((stream: PeerStream) => void) | undefined;

	/**
	 * Opens a stream. Messages that are sent before it is established are queued.
	 *
	 * @param address - Address of the other host, in the form `host:port`.
	 */
	open(address: string): PeerStream;

	/** Encodes a message for `PeerStream.sendEncoded`. */
	encode(message: unknown): Uint8Array;
};
