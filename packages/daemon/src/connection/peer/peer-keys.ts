import {readFile} from 'node:fs/promises';
import {type Logger, type TimerService} from '@tarragonstack/core';

/** Interval at which the key files are read again, in milliseconds. */
const reloadIntervalMilliseconds = 5000;

/** Files with the keys of this host, in PEM form. The common name of the certificate is the name of the host. */
export type PeerKeyFiles = {
	readonly certificateFile: string;
	readonly keyFile: string;
	/** Certificates of the authorities that sign the certificates of peers. */
	readonly authorityFile: string;
};

/** Contents of the key files, named as `node:tls` expects. */
export type PeerKeyMaterial = {
	readonly cert: string;
	readonly key: string;
	readonly ca: string;
};

/** Keys for mutual TLS. They are reloaded when the files change; open links keep the keys with which they began. */
export class PeerKeys implements Disposable {
	/**
	 * Reads the keys.
	 *
	 * @param files - Files to read.
	 * @param timerService - Source of the reload interval.
	 * @param logger - Receives failures to reload; the former keys stay in use then.
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

	/** Keys for new connections. */
	get current(): PeerKeyMaterial {
		return this.#current;
	}

	/**
	 * Subscribes to new keys.
	 *
	 * @param listener - Called after each change of the files.
	 */
	subscribe(listener: (keys: PeerKeyMaterial) => void): Disposable {
		this.#listeners.add(listener);
		return {
			[Symbol.dispose]: () => {
				this.#listeners.delete(listener);
			},
		};
	}

	/** Reads the files and tells the listeners if the contents changed. */
	async reload(): Promise<void> {
		try {
			const keys = await readKeys(this.files);
			if (keys.cert !== this.#current.cert || keys.key !== this.#current.key || keys.ca !== this.#current.ca) {
				// A listener refuses a certificate that does not match its key, for instance between the writing of two files.
				for (const listener of this.#listeners) {
					listener(keys);
				}

				this.#current = keys;
			}
		} catch (error) {
			this.logger.warn({error: String(error)}, 'could not reload the peer keys; the former keys stay in use');
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
