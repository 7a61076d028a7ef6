import {Counter, Gauge, Histogram, Registry, Summary} from './prom-client-classes.js';

/** Upper bounds of the duration buckets, in milliseconds. They include the usual timeouts and target times of routes. */
const durationBuckets = [2, 5, 10, 20, 50, 100, 200, 400, 800, 1200, 2000, 6000];

/** State of an instance at the time of a scrape. */
export type InstanceSample = {
	readonly group: string;
	readonly instance: string;
	readonly load: number;
	readonly serviceTimeMilliseconds: number;
	readonly silenceMilliseconds: number;
	/** Statements that the learned capacity permits in flight. */
	readonly limit: number;
	readonly inFlight: number;
	readonly queueingMilliseconds: number;
	/** Service time divided by the usual one of the group. */
	readonly slowness: number;
	readonly distanceMilliseconds: number;
};

/** State of a group at the time of a scrape. */
export type GroupSample = {
	readonly group: string;
	readonly primary: string;
	readonly term: number;
	/** Age of the newest known log position in milliseconds, or `undefined` if none is known. */
	readonly positionAgeMilliseconds: number | undefined;
};

/** State of the host at the time of a scrape. */
export type HostSample = {
	readonly sessions: number;
	readonly configurationVersion: number;
	readonly isAuthorized: boolean;
	readonly storeEra: number;
	readonly isReady: boolean;
	readonly instances: readonly InstanceSample[];
	readonly groups: readonly GroupSample[];
};

/** Counters, histograms and gauges of one host. `docs/metrics.md` lists them. */
export class HostMetrics {
	readonly #registry = new Registry();
	readonly #statements = new Counter({
		name: 'tarragon_statements_total', help: 'Statements of clients by rank and outcome', labelNames: ['rank', 'outcome'], registers: [this.#registry],
	});

	readonly #durations = new Histogram({
		name: 'tarragon_statement_duration_milliseconds', help: 'From the arrival of a statement to its response', labelNames: ['rank'], buckets: durationBuckets, registers: [this.#registry],
	});

	readonly #instanceDurations = new Histogram({
		name: 'tarragon_instance_duration_milliseconds', help: 'From sending a statement to its response',
		labelNames: ['group', 'instance'], buckets: durationBuckets, registers: [this.#registry],
	});

	readonly #serviceTimes = new Summary({
		name: 'tarragon_instance_service_time_milliseconds', help: 'Time of statements at the instance that did not queue',
		labelNames: ['group', 'instance'], percentiles: [0.5, 0.99], maxAgeSeconds: 60, ageBuckets: 3, registers: [this.#registry],
	});

	readonly #reads = new Counter({
		name: 'tarragon_instance_reads_total', help: 'Reads for which the instance was chosen among the replicas', labelNames: ['group', 'instance'], registers: [this.#registry],
	});

	readonly #connections = new Counter({
		name: 'tarragon_instance_connections_total', help: 'Connection attempts by outcome', labelNames: ['group', 'outcome'], registers: [this.#registry],
	});

	readonly #storeCalls = new Counter({
		name: 'tarragon_store_calls_total', help: 'Calls to the shared store by kind and outcome', labelNames: ['call', 'outcome'], registers: [this.#registry],
	});

	readonly #promotions = new Counter({
		name: 'tarragon_promotions_total', help: 'Promotions that this host ordered, by outcome', labelNames: ['outcome'], registers: [this.#registry],
	});

	readonly #operations = new Counter({
		name: 'tarragon_workspace_operations_total', help: 'Operations of workspaces with a rate limit, by outcome', labelNames: ['workspace', 'outcome'], registers: [this.#registry],
	});

	readonly #limitReports = new Counter({
		name: 'tarragon_limit_reports_total', help: 'Reports to the limit coordinator by outcome', labelNames: ['outcome'], registers: [this.#registry],
	});

	readonly #refusals = new Counter({
		name: 'tarragon_queue_refusals_total', help: 'Requests that were refused a place in the queue of an instance, by reason', labelNames: ['group', 'reason'], registers: [this.#registry],
	});

	readonly #sampled = new Map<string, Gauge>();

	/**
	 * Counts a statement of a client.
	 *
	 * @param rank - Priority of its route; 0 is the most urgent.
	 * @param outcome - Error code, or `completed`.
	 * @param milliseconds - Time from its arrival to its response.
	 */
	countStatement(rank: number, outcome: string, milliseconds: number): void {
		this.#statements.inc({rank, outcome});
		this.#durations.observe({rank}, milliseconds);
	}

	/** Counts a response of an instance. */
	countInstanceResponse(group: string, instance: string, milliseconds: number): void {
		this.#instanceDurations.observe({group, instance}, milliseconds);
	}

	/** Counts the service time of a statement that did not queue. */
	countServiceTime(group: string, instance: string, milliseconds: number): void {
		this.#serviceTimes.observe({group, instance}, milliseconds);
	}

	/** Counts a read for which an instance was chosen. */
	countRead(group: string, instance: string): void {
		this.#reads.inc({group, instance});
	}

	/** Counts a connection attempt. */
	countConnection(group: string, outcome: string): void {
		this.#connections.inc({group, outcome});
	}

	/** Counts a request that was refused a place in the queue of an instance. */
	countRefusal(group: string, reason: string): void {
		this.#refusals.inc({group, reason});
	}

	/** Counts a call to the shared store. */
	countStoreCall(call: string, outcome: string): void {
		this.#storeCalls.inc({call, outcome});
	}

	/** Counts a promotion order. */
	countPromotion(outcome: string): void {
		this.#promotions.inc({outcome});
	}

	/** Counts an operation of a workspace with a rate limit. The caller bounds the number of names. */
	countOperation(workspace: string, outcome: string): void {
		this.#operations.inc({workspace, outcome});
	}

	/** Counts a report to the limit coordinator. */
	countLimitReport(outcome: string): void {
		this.#limitReports.inc({outcome});
	}

	/**
	 * Renders all metrics as text in the Prometheus format.
	 *
	 * @param sample - Current state of the host.
	 */
	async render(sample: HostSample): Promise<string> {
		this.#set('tarragon_sessions', 'Open sessions of clients', sample.sessions);
		this.#set('tarragon_configuration_version', 'Version in force', sample.configurationVersion);
		this.#set('tarragon_authorized', 'Whether the host may use primaries', Number(sample.isAuthorized));
		this.#set('tarragon_store_era', 'Era of the store that the host goes by; it rises when the store is restored from an older copy', sample.storeEra);
		this.#set('tarragon_ready', 'Whether the host asks for new clients', Number(sample.isReady));
		for (const sampled of sample.instances) {
			const labels = {group: sampled.group, instance: sampled.instance};
			this.#set('tarragon_instance_load', 'Requests that use or await a connection', sampled.load, labels);
			this.#set('tarragon_instance_service_milliseconds', 'Average service time', sampled.serviceTimeMilliseconds, labels);
			this.#set('tarragon_instance_silence_milliseconds', 'Time without an answer to what was sent', sampled.silenceMilliseconds, labels);
			this.#set('tarragon_instance_limit', 'Learned limit of the statements in flight', sampled.limit, labels);
			this.#set('tarragon_instance_in_flight', 'Statements without a response', sampled.inFlight, labels);
			this.#set('tarragon_instance_queueing_milliseconds', 'Average queueing time at the instance', sampled.queueingMilliseconds, labels);
			this.#set('tarragon_instance_slowness', 'Service time divided by the usual one of the group', sampled.slowness, labels);
			this.#set('tarragon_instance_distance_milliseconds', 'Estimated round trip', sampled.distanceMilliseconds, labels);
		}

		for (const {group, primary, term, positionAgeMilliseconds} of sample.groups) {
			this.#set('tarragon_group_term', 'Term of the believed primary', term, {group, primary});
			if (positionAgeMilliseconds !== undefined) {
				this.#set('tarragon_group_position_age_milliseconds', 'Age of the freshest known position', positionAgeMilliseconds, {group});
			}
		}

		const text = await this.#registry.metrics();
		for (const gauge of this.#sampled.values()) {
			gauge.reset();
		}

		return text;
	}

	#set(name: string, help: string, value: number, labels: Readonly<Record<string, string>> = {}): void {
		let gauge = this.#sampled.get(name);
		if (!gauge) {
			gauge = new Gauge({name, help, labelNames: Object.keys(labels), registers: [this.#registry]});
			this.#sampled.set(name, gauge);
		}

		gauge.set(labels, value);
	}
}
