import {Socket} from 'node:net';
import {BackendMessageReader} from './backend-message-reader.js';
import {findMessageFault} from './find-message-fault.js';

/**
 * Socket for `pg` that connects from a given source address, by which the server and the network identify this host.
 *
 * `pg` receives whole, well-formed messages only. Its parser throws on others, or reads past their end without limit.
 * A malformed message destroys the socket with an error, so that whatever waits on the connection fails.
 */
export class DriverSocket extends Socket {
	readonly #localAddress: string;
	readonly #reader = new BackendMessageReader();
	#isReleased = false;

	/**
	 * @param localAddress - Source address.
	 */
	constructor(localAddress: string) {
		super();
		this.#localAddress = localAddress;
	}

	/** Connects to the port and host that `pg` passes. */
	override connect(...values: unknown[]): this {
		const [port, host] = values as [number, string];
		return super.connect({port, host, localAddress: this.#localAddress});
	}

	/** Passes received bytes on as checked messages. */
	override emit(event: string | symbol, ...values: unknown[]): boolean {
		if (event !== 'data' || this.#isReleased) {
			return super.emit(event, ...values);
		}

		this.#receive(values[0] as Buffer);
		return true;
	}

	/** Takes the socket from `pg`. Listeners that are added afterwards receive all further bytes unchecked. */
	release(): void {
		this.removeAllListeners('data');
		this.#isReleased = true;
	}

	#receive(chunk: Buffer): void {
		const messages = this.#reader.push(chunk);
		if (messages.isErr()) {
			this.destroy(new Error(messages.error));
			return;
		}

		for (const message of messages.value) {
			if (!this.#deliver(message)) {
				return;
			}
		}

		const incomplete = this.#isReleased ? this.#reader.takeIncomplete() : undefined;
		if (incomplete && incomplete.length > 0) {
			super.emit('data', incomplete);
		}
	}

	/** Returns whether the connection can go on. */
	#deliver(message: Buffer): boolean {
		const fault = this.#isReleased ? undefined : findMessageFault(message);
		if (fault !== undefined) {
			this.destroy(new Error(fault));
			return false;
		}

		try {
			super.emit('data', message);
		} catch (error) {
			this.destroy(error instanceof Error ? error : new Error(String(error)));
		}

		return !this.destroyed;
	}
}
