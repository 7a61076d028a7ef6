import {readFile} from 'node:fs/promises';
import {type Logger, type TimerService} from '@tarragonstack/core';

/** Interval at which the key files are reloaded, in milliseconds. */
const reloadIntervalMilliseconds = 5000;

/** PEM files with the certificate and key of this host. The common name of the certificate is the name of the host. */
export type PeerKeyFiles = {
	readonly certificateFile: string;
	readonly keyFile: string;
	/** Certificates of the authorities that sign the peers' certificates. */
	readonly authorityFile: string;
};

/** Contents of the key files, under the option names of `node:tls`. */
export type PeerKeyMaterial = {
	readonly cert: string;
	readonly key: string;
	readonly ca: string;
};

/** Keys for mutual TLS. They are reloaded when the files change. Open links keep the keys with which they were opened. */
export class PeerKeys implements Disposable {
	/**
	 * Loads the keys and starts to reload them periodically.
	 *
	 * @param files - Files to read.
	 * @param timerService - Schedules the reloads.
	 * @param logger - Receives reload failures. The previous keys then stay in use.
	 */
	static async load(files: PeerKeyFiles, timerService: TimerService, logger: Logger): Promise<PeerKeys> {
		return new PeerKeys(files, await readKeys(files), timerService, logger);
	}

	readonly #listeners = new Set<(keys: PeerKeyMaterial) => void>();
	readonly #subscription: Disposable;
	#current: PeerKeyMaterial;

	private constructor(private readonly files: PeerKeyFiles, initial: PeerKeyMaterial, timerService: TimerService, private readonly logger: Logger) {
		this.#current = initial;
		this.#subscription = timerService.subscribe(reloadIntervalMilliseconds, () => {
			void this.reload();
		});
	}

	/** Current keys, for new connections. */
	get current(): PeerKeyMaterial {
		return this.#current;
	}

	/**
	 * Subscribes to changes of the keys.
	 *
	 * @param listener - Called with the new keys. If it throws, the previous keys stay in use.
	 */
	subscribe(listener: (keys: PeerKeyMaterial) => void): Disposable {
		this.#listeners.add(listener);
		return {
			[Symbol.dispose]: () => {
				this.#listeners.delete(listener);
			},
		};
	}

	/** Reloads the files and notifies the listeners if their contents have changed. */
	async reload(): Promise<void> {
		try {
			const keys = await readKeys(this.files);
			if (keys.cert !== this.#current.cert || keys.key !== this.#current.key || keys.ca !== this.#current.ca) {
				// A listener throws if the certificate does not match the key, for instance while only one of the files is replaced.
				for (const listener of this.#listeners) {
					listener(keys);
				}

				this.#current = keys;
			}
		} catch (error) {
			this.logger.warn({error: String(error)}, 'could not reload the peer keys; the previous keys stay in use');
		}
	}

	[Symbol.dispose](): void {
		this.#subscription[Symbol.dispose]();
	}
}

async function readKeys(files: PeerKeyFiles): Promise<PeerKeyMaterial> {
	const [cert, key, ca] = await Promise.all([files.certificateFile, files.keyFile, files.authorityFile].map(async file => readFile(file, 'utf8')));
	return {cert: cert!, key: key!, ca: ca!};
}
