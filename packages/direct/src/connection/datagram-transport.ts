import {createSocket, type Socket} from 'node:dgram';
import {decode, encode} from 'cbor-x';
import {type EventLog} from '../process/event-log.js';

/** Message transport between hosts. Messages may be lost. */
export type PeerTransport = {
	/** Handler of received messages; the message is not validated. */
	onMessage: ((message: unknown, from: string) => void) | undefined;

	/**
	 * Sends a message.
	 *
	 * @param address - Address of the receiver, in the form `host:port`.
	 * @param message - Plain value.
	 */
	send(address: string, message: unknown): void;
};

/** Transport that sends each message as CBOR in one UDP datagram. */
export class DatagramTransport implements PeerTransport, Disposable {
	/** @inheritdoc */
	onMessage: ((message: unknown, from: string) => void) | undefined;
	readonly #socket: Socket;
	readonly #log: EventLog;

	/**
	 * @param log - Event log for failures.
	 */
	constructor(log: EventLog) {
		this.#log = log;
		this.#socket = createSocket('udp4');
		this.#socket.on('error', error => {
			log.write('datagram-failed', {reason: error.message});
		});
		this.#socket.on('message', (data, {address, port}) => {
			this.#receive(data, `${address}:${port}`);
		});
	}

	/** Listens on an address. */
	listen(address: string, port: number): void {
		this.#socket.bind(port, address);
	}

	/** @inheritdoc */
	send(address: string, message: unknown): void {
		const separator = address.lastIndexOf(':');
		this.#socket.send(encode(message), Number(address.slice(separator + 1)), address.slice(0, separator), error => {
			if (error) {
				this.#log.write('datagram-failed', {receiver: address, reason: error.message});
			}
		});
	}

	[Symbol.dispose](): void {
		this.#socket.close();
	}

	#receive(data: Buffer, from: string): void {
		try {
			this.onMessage?.(decode(data), from);
		} catch (error) {
			this.#log.write('datagram-invalid', {from, reason: String(error)});
		}
	}
}
