import {randomBytes, timingSafeEqual} from 'node:crypto';

/** Total length of the process identifier and the secret, in bytes. */
const keyBytes = 8;

/** Keys that identify connections in cancel requests. Both the process identifier and the secret are random. */
export class CancelKeys {
	readonly #targets = new Map<number, {readonly key: Buffer; readonly cancel: () => void}>();

	/**
	 * Issues the key of a connection.
	 *
	 * @param cancel - Cancels the request that the connection is running.
	 * @returns The key, which is valid until it is disposed.
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
	 * Cancels the running request of the connection with the given key. Does nothing if there is no such connection.
	 *
	 * @param key - Process identifier and secret from a cancel request.
	 */
	cancel(key: Buffer): void {
		const target = key.length === keyBytes ? this.#targets.get(key.readInt32BE(0)) : undefined;
		if (target && timingSafeEqual(target.key, key)) {
			target.cancel();
		}
	}
}
