import {once} from 'node:events';
import {createServer, type Server} from 'node:net';
import process from 'node:process';

/** Port of the listener that marks a range as taken. */
const guardPort = 49_151;

/** Last byte of the address of that listener. */
const guardHost = 254;

/** Ranges of 254 addresses in 127.16.0.0 to 127.239.255.0; others use the addresses around 127.0.0.1. */
const firstSecondByte = 16;
const secondByteCount = 224;

/** Range of loopback addresses that no other running fleet of this machine uses. */
export class LoopbackRange implements AsyncDisposable {
	/**
	 * Takes the first free range.
	 *
	 * @param seed - Selects the range that is tried first.
	 */
	static async acquire(seed = process.pid): Promise<LoopbackRange> {
		const rangeCount = secondByteCount * 256;
		// A prime step spreads neighbouring process identifiers over the ranges.
		const first = Math.abs(seed * 7919) % rangeCount;
		for (let attempt = 0; attempt < rangeCount; attempt++) {
			const index = (first + attempt) % rangeCount;
			const prefix = `127.${firstSecondByte + (index >> 8)}.${index & 0xFF}`;
			const guard = createServer();
			guard.listen(guardPort, `${prefix}.${guardHost}`);
			try {
				await once(guard, 'listening');
			} catch {
				continue;
			}

			guard.unref();
			return new LoopbackRange(prefix, guard);
		}

		throw new Error('all loopback ranges are in use');
	}

	readonly #prefix: string;
	readonly #guard: Server;
	#next = 1;

	private constructor(prefix: string, guard: Server) {
		this.#prefix = prefix;
		this.#guard = guard;
	}

	/** Returns an address that was not returned before. */
	next(): string {
		if (this.#next >= guardHost) {
			throw new Error('the loopback range is used up');
		}

		return `${this.#prefix}.${this.#next++}`;
	}

	/** @inheritdoc */
	async [Symbol.asyncDispose](): Promise<void> {
		this.#guard.close();
	}
}
