import {
	createLogger, MetricName, SystemTimerService, type Metrics, type TimerService,
} from '@tarragonstack/core';
import {TcpPeerNetwork, type PeerKeys, type TcpPeerNetworkOptions} from '../../../src/index.js';

export const logger = createLogger({host: 'test'});

/** Creates a promise and the function that resolves it. */
export function createDeferred(): {readonly promise: Promise<void>; readonly resolve: () => void} {
	let resolve = () => {};
	const promise = new Promise<void>(resolvePromise => {
		resolve = resolvePromise;
	});
	return {promise, resolve};
}

/** Counts metrics by name. */
export class CountingMetrics implements Metrics {
	readonly counts = new Map<MetricName, number>();

	increment(name: MetricName, value: number): void {
		this.counts.set(name, (this.counts.get(name) ?? 0) + value);
	}

	histogram(): void {}

	gauge(): void {}

	get refusedCount(): number {
		return this.counts.get(MetricName.PeerFrameRefused) ?? 0;
	}

	get lateCount(): number {
		return this.counts.get(MetricName.LateResponseDropped) ?? 0;
	}
}

export type TestPeer = {readonly network: TcpPeerNetwork; readonly metrics: CountingMetrics};

/** Networks in one process that know each other's addresses. */
export class PeerFleet implements AsyncDisposable {
	readonly addresses = new Map<string, string>();
	readonly timerService: TimerService = new SystemTimerService();
	readonly #networks: TcpPeerNetwork[] = [];

	async start(name: string, options: Partial<TcpPeerNetworkOptions> & {readonly keys?: PeerKeys} = {}): Promise<TestPeer> {
		const metrics = new CountingMetrics();
		const network = new TcpPeerNetwork({
			ownName: name,
			address: '127.0.0.1',
			port: 0,
			resolveAddress: host => this.addresses.get(host),
			timerService: this.timerService,
			logger,
			metrics,
			...options,
		});
		await network.start();
		this.#networks.push(network);
		this.addresses.set(name, `127.0.0.1:${network.port}`);
		return {network, metrics};
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await Promise.all(this.#networks.map(network => network[Symbol.asyncDispose]()));
	}
}
