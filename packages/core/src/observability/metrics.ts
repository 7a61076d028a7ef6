import {StatsD} from 'hot-shots';

/** Names of the metrics; `docs/metrics.md` lists them with their units. */
export enum MetricName {
	RequestCount = 'request.count',
	RequestDuration = 'request.duration',
	RequestRefused = 'request.refused',
	RequestLate = 'request.late',
	RequestOutcomeUnknown = 'request.outcome_unknown',
	ReplicaRead = 'read.replica',
	PrimaryRead = 'read.primary',
	QueueWait = 'queue.wait',
	PromotionCount = 'promotion.count',
	LostEntries = 'promotion.lost_entries',
	FenceCheckDuration = 'fence_check.duration',
	FenceCheckFailed = 'fence_check.failed',
	ConfigurationVersion = 'configuration.version',
	PeerFrameRefused = 'peer.frame_refused',
	LateResponseDropped = 'peer.late_response_dropped',
}

/** Client that records metrics. */
export type Metrics = {
	increment(name: MetricName, value: number, tags: Readonly<Record<string, string>>): void;
	/** Records a value of a distribution. Durations are in milliseconds. */
	histogram(name: MetricName, value: number, tags: Readonly<Record<string, string>>): void;
	gauge(name: MetricName, value: number, tags: Readonly<Record<string, string>>): void;
};

/** Address of a DogStatsD receiver. */
export type MetricsOptions = {
	readonly address: string;
	readonly port: number;
};

/**
 * Creates a metrics client.
 *
 * @param options - Address of the receiver. If missing, metrics are discarded.
 */
export function createMetrics(options?: MetricsOptions): Metrics & AsyncDisposable {
	const client = new StatsD({
		prefix: 'tarragon.',
		mock: options === undefined,
		...(options && {host: options.address, port: options.port}),
		// An unreachable metrics receiver must not affect requests.
		errorHandler() {},
	});
	return {
		increment(name, value, tags) {
			if (options) {
				client.increment(name, value, {...tags});
			}
		},
		histogram(name, value, tags) {
			if (options) {
				client.histogram(name, value, {...tags});
			}
		},
		gauge(name, value, tags) {
			if (options) {
				client.gauge(name, value, {...tags});
			}
		},
		async [Symbol.asyncDispose]() {
			await new Promise<void>(resolve => {
				client.close(() => {
					resolve();
				});
			});
		},
	};
}
