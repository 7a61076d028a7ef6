import {once} from 'node:events';
import {createServer, type Server} from 'node:net';
import process from 'node:process';

/** Port of the listener that marks a range as in use. */
const lockPort = 49_151;

/** Last octet of the address of that listener. */
const lockOctet = 254;

/** Ranges of 254 addresses from 127.16.0.0 to 127.239.255.0, as other programs use the addresses around 127.0.0.1. */
const firstSecondOctet = 16;
const secondOctetCount = 224;

/** Range of loopback addresses that no other running fleet on this machine uses. */
export class LoopbackRange implements AsyncDisposable {
	/**
	 * Reserves the first free range.
	 *
	 * @param seed - Selects the range that is tried first.
	 */
	static async acquire(seed = process.pid): Promise<LoopbackRange> {
		const rangeCount = secondOctetCount * 256;
		// Multiplying by a prime distributes adjacent process identifiers over the ranges.
		const firstIndex = Math.abs(seed * 7919) % rangeCount;
		for (let attempt = 0; attempt < rangeCount; attempt++) {
			const index = (firstIndex + attempt) % rangeCount;
			const prefix = `127.${firstSecondOctet + (index >> 8)}.${index & 0xFF}`;
			const lockServer = createServer();
			lockServer.listen(lockPort, `${prefix}.${lockOctet}`);
			try {
				await once(lockServer, 'listening');
			} catch {
				continue;
			}

			lockServer.unref();
			return new LoopbackRange(prefix, lockServer);
		}

		throw new Error('all loopback ranges are in use');
	}

	readonly #prefix: string;
	readonly #lockServer: Server;
	#next = 1;

	private constructor(prefix: string, lockServer: Server) {
		this.#prefix = prefix;
		this.#lockServer = lockServer;
	}

	/** Returns the next unused address. */
	next(): string {
		if (this.#next >= lockOctet) {
			throw new Error('the loopback range has no free address left');
		}

		return `${this.#prefix}.${this.#next++}`;
	}

	/** @inheritdoc */
	async [Symbol.asyncDispose](): Promise<void> {
		this.#lockServer.close();
	}
}
