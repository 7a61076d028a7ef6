import {connect, createServer, type Server, type Socket} from 'node:net';
import {encodeFrame, FrameDecoder} from '@tarragonstack/core/codec/frame-codec';
import {type EventLog} from '../process/event-log.js';
import {type PeerStream, type PeerStreamTransport} from './peer-stream.js';

/** Number of bytes in the write buffer above which the other host is considered not to read. */
const maximumWriteBufferBytes = 8_388_608;

/** Maximum length of a message, in bytes. A snapshot of the store is the longest one. */
const maximumMessageBytes = 67_108_864;

/** Streams over TCP with CBOR frames. */
export class TcpPeerStreams implements PeerStreamTransport, Disposable {
	/** @inheritdoc */
	onStream: ((stream: PeerStream) => void) | undefined;
	readonly #server: Server;
	readonly #log: EventLog;
	readonly #sockets = new Set<Socket>();

	/**
	 * @param log - Event log for failures.
	 */
	constructor(log: EventLog) {
		this.#log = log;
		this.#server = createServer(socket => {
			this.onStream?.(this.#createStream(socket));
		});
	}

	/** Listens on an address. */
	async listen(address: string, port: number): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({host: address, port}, resolve);
		});
	}

	/** @inheritdoc */
	open(address: string): PeerStream {
		const separator = address.lastIndexOf(':');
		return this.#createStream(connect({host: address.slice(0, separator), port: Number(address.slice(separator + 1))}));
	}

	/** @inheritdoc */
	encode(message: unknown): Uint8Array {
		return encodeFrame(message);
	}

	[Symbol.dispose](): void {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#createStream(socket: Socket): PeerStream {
		const decoder = new FrameDecoder(maximumMessageBytes);
		const log = this.#log;
		const stream: PeerStream = {
			onMessage: undefined,
			onClose: undefined,
			send: message => {
				stream.sendEncoded(this.encode(message));
			},
			sendEncoded(frame) {
				if (socket.destroyed) {
					return;
				}

				if (socket.writableLength > maximumWriteBufferBytes) {
					log.write('peer-stream-failed', {from: socket.remoteAddress, reason: 'the other host does not read'});
					socket.destroy();
					return;
				}

				socket.write(frame);
			},
			[Symbol.dispose]() {
				stream.onClose = undefined;
				stream.onMessage = undefined;
				socket.destroy();
			},
		};
		this.#sockets.add(socket);
		socket.setNoDelay(true);
		socket.on('error', error => {
			log.write('peer-stream-failed', {from: socket.remoteAddress, reason: error.message});
		});
		socket.on('close', () => {
			this.#sockets.delete(socket);
			stream.onClose?.();
		});
		socket.on('data', (chunk: Buffer) => {
			const values = decoder.push(chunk);
			if (values.isErr()) {
				log.write('peer-stream-failed', {from: socket.remoteAddress, reason: `invalid frame: ${values.error}`});
				socket.destroy();
				return;
			}

			try {
				for (const value of values.value) {
					stream.onMessage?.(value);
				}
			} catch (error) {
				log.write('peer-stream-failed', {from: socket.remoteAddress, reason: String(error)});
				socket.destroy();
			}
		});
		return stream;
	}
}
