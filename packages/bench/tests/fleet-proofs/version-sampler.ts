import {SystemTimerService} from '@tarragonstack/core';
import {callJson, type Fleet} from '../../src/fleet/index.js';
import {type HostStatus} from './test-fleet.js';

/** Interval between two samples of a host. */
const intervalMilliseconds = 20;

const timerService = new SystemTimerService();

/** Periodically samples the configuration version that each host reports. */
export class VersionSampler implements AsyncDisposable {
	/** Descriptions of hosts that reported an older version than before, also across a restart. */
	readonly reversions: string[] = [];
	/** Number of samples in which a host reported a version. */
	samples = 0;
	readonly #versions = new Map<string, number>();
	readonly #workers: Array<Promise<void>>;
	#isStopped = false;

	/** @param fleet - Fleet to observe. */
	constructor(private readonly fleet: Fleet) {
		this.#workers = fleet.hosts.map(async ({name, address}) => this.#poll(name, address));
	}

	/**
	 * Waits until all hosts report a version or a newer one.
	 *
	 * @param version - Version.
	 * @param timeoutMilliseconds - Maximum time to wait.
	 * @returns The time at which the last host reported the version.
	 */
	async waitForVersion(version: number, timeoutMilliseconds: number): Promise<number> {
		const deadline = timerService.now() + timeoutMilliseconds;
		while (!this.fleet.hosts.every(({name}) => (this.#versions.get(name) ?? 0) >= version)) {
			if (timerService.now() > deadline) {
				throw new Error(`version ${version} is not in force on all hosts: ${JSON.stringify([...this.#versions])}`);
			}

			await timerService.sleep(5);
		}

		return timerService.now();
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isStopped = true;
		await Promise.all(this.#workers);
	}

	async #poll(name: string, address: string): Promise<void> {
		while (!this.#isStopped) {
			const next = timerService.now() + intervalMilliseconds;
			try {
				const status = await callJson('GET', `http://${address}:8080/status`) as HostStatus;
				this.#record(name, status.configuration?.version);
			} catch {
				// The host is currently stopped.
			}

			await timerService.sleep(Math.max(1, next - timerService.now()));
		}
	}

	#record(name: string, version: number | undefined): void {
		if (version === undefined) {
			return;
		}

		const previous = this.#versions.get(name) ?? 0;
		if (version < previous) {
			this.reversions.push(`${name} reverted from version ${previous} to ${version}`);
		}

		this.samples++;
		this.#versions.set(name, version);
	}
}
