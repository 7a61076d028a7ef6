import {type EventLog} from '../process/event-log.js';
import {type PeerTransport} from './datagram-transport.js';

/** Handler of the messages of one kind; the message is not validated. */
export type PeerMessageHandler = (message: object, from: string) => void;

/** Passes the messages of other hosts on to their handlers, by the `kind` of the message. */
export class PeerMessages {
	readonly #transport: PeerTransport;
	readonly #handlers = new Map<unknown, PeerMessageHandler>();

	/**
	 * @param transport - Transport of the messages between hosts.
	 * @param log - Event log for invalid messages.
	 */
	constructor(transport: PeerTransport, log: EventLog) {
		this.#transport = transport;
		transport.onMessage = (message, from) => {
			if (typeof message === 'object' && message !== null) {
				this.#handlers.get((message as {kind?: unknown}).kind)?.(message, from);
			} else {
				log.write('datagram-invalid', {from, reason: 'the message is not an object'});
			}
		};
	}

	/** Sets the handler of a kind of messages. Messages of other kinds, from hosts of another version, are ignored. */
	setHandler(kind: string, handler: PeerMessageHandler): void {
		this.#handlers.set(kind, handler);
	}

	/** Sends a message, which may be lost, to an address of the form `host:port`. */
	send<Message extends {readonly kind: string}>(address: string, message: Message): void {
		this.#transport.send(address, message);
	}
}
