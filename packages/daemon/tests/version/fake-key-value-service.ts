import {
	configurationKey, Verdict, type KeyValueEntry, type KeyValueService,
} from '@tarragonstack/core';
import {err, ok} from 'neverthrow';
import {expect} from 'vitest';

/** In-memory key-value service that counts calls and can simulate an outage. */
export class FakeKeyValueService implements KeyValueService {
	entry: KeyValueEntry | undefined;
	isDown = false;
	/** Whether watches fail while reads succeed. */
	refusesWatches = false;
	calls = 0;
	readonly #watchListeners = new Set<() => void>();

	set(value: unknown): void {
		const text = typeof value === 'string' ? value : JSON.stringify(value);
		this.entry = {value: text, revision: (this.entry?.revision ?? 0) + 1};
		this.notifyWatches();
	}

	notifyWatches(): void {
		for (const listener of this.#watchListeners) {
			listener();
		}
	}

	async get(key: string) {
		this.calls++;
		expect(key).toBe(configurationKey);
		return this.isDown ? err({verdict: Verdict.NotRun, message: 'down'}) : ok(this.entry);
	}

	async compareAndSwap(): Promise<never> {
		throw new Error('a host never writes the configuration');
	}

	async * watch(_key: string, afterRevision: number, signal: AbortSignal): AsyncIterable<KeyValueEntry> {
		this.calls++;
		let seen = afterRevision;
		while (!signal.aborted) {
			if (this.isDown || this.refusesWatches) {
				throw new Error('down');
			}

			if (this.entry && this.entry.revision > seen) {
				seen = this.entry.revision;
				yield this.entry;
			} else {
				await new Promise<void>(resolve => {
					const finish = () => {
						this.#watchListeners.delete(finish);
						signal.removeEventListener('abort', finish);
						resolve();
					};

					this.#watchListeners.add(finish);
					signal.addEventListener('abort', finish, {once: true});
				});
			}
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {}
}
