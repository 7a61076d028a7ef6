import {SystemTimerService} from '@tarragonstack/core';
import {type FleetObserver} from './fleet-observer.js';
import {Invariant, type Violation} from './invariant.js';

const intervalMilliseconds = 40;

const timerService = new SystemTimerService();

/** Polls the configuration version of each host and reports a violation if it decreases, also across a restart. */
export class VersionMonitor implements AsyncDisposable {
	readonly violations: Violation[] = [];
	readonly #observer: FleetObserver;
	readonly #versions = new Map<string, number>();
	readonly #workers: Array<Promise<void>>;
	#isStopped = false;

	/** @param observer - Observer of the fleet. */
	constructor(observer: FleetObserver) {
		this.#observer = observer;
		this.#workers = observer.fleet.hosts.map(async ({name}) => this.#poll(name));
	}

	/**
	 * Returns the version that a host last reported.
	 *
	 * @param host - Name of the host.
	 */
	getVersion(host: string): number | undefined {
		return this.#versions.get(host);
	}

	/** Stops polling. */
	async [Symbol.asyncDispose](): Promise<void> {
		this.#isStopped = true;
		await Promise.all(this.#workers);
	}

	async #poll(host: string): Promise<void> {
		while (!this.#isStopped) {
			const status = await this.#observer.getHostStatus(host);
			const version = status?.configuration?.version;
			const previous = this.#versions.get(host) ?? 0;
			if (version !== undefined && version < previous) {
				this.violations.push({invariant: Invariant.ConfigurationNeverReverts, message: `${host} reverted from version ${previous} to ${version}`});
			}

			if (version !== undefined) {
				this.#versions.set(host, version);
			}

			await timerService.sleep(intervalMilliseconds);
		}
	}
}
