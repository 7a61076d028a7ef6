import {randomBytes, timingSafeEqual} from 'node:crypto';

/** Length of the process identifier and of the secret together, in bytes. */
const keyBytes = 8;

/** Keys by which callers name a connection in a cancel request. Both halves are random. */
export class CancelKeys {
	readonly #targets = new Map<number, {readonly key: Buffer; readonly cancel: () => void}>();

	/**
	 * Issues the key of a connection.
	 *
	 * @param cancel - Cancels the request that the connection is running.
	 * @returns The key, valid until it is disposed of.
	 */
	issue(cancel: () => void): Disposable & {readonly key: Buffer} {
		let key = randomBytes(keyBytes);
		while (this.#targets.has(key.readInt32BE(0))) {
			key = randomBytes(keyBytes);
		}

		const processIdentifier = key.readInt32BE(0);
		this.#targets.set(processIdentifier, {key, cancel});
		return {
			key,
			[Symbol.dispose]: () => {
				this.#targets.delete(processIdentifier);
			},
		};
	}

	/**
	 * Cancels the request of the connection that has the key. Does nothing when there is none.
	 *
	 * @param key - Process identifier and secret of a cancel request.
	 */
	cancel(key: Buffer): void {
		const target = key.length === keyBytes ? this.#targets.get(key.readInt32BE(0)) : undefined;
		if (target && timingSafeEqual(target.key, key)) {
			target.cancel();
		}
	}
}
