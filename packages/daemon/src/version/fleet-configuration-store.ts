import {
	z, configurationKey, configurationSchema, maximumConfigurationBytes, MetricName,
	type Configuration, type KeyValueEntry, type KeyValueService, type Logger, type Metrics, type TimerService,
} from '@tarragonstack/core';
import {chooseByRendezvous} from '@tarragonstack/core/request/rendezvous-hash';
import {PeerMessageKind, type PeerNetwork} from '../connection/peer-network.js';
import {HostState, type HostDirectory} from '../process/host-directory.js';
import {CallBudget} from './call-budget.js';
import {
	applyConfigurationDelta, configurationDeltaSchema, createConfigurationDelta,
} from './configuration-delta.js';
import {type ConfigurationSnapshot, type ConfigurationStore} from './configuration-store.js';
import {IndexedConfigurationSnapshot} from './indexed-configuration-snapshot.js';

/** Versions that are kept so that peers can ask for a difference. */
const keptVersions = 16;

/** Calls to the key-value service that a host may make at once, and the time in which it regains one. */
const callBurst = 3;
const callRefillMilliseconds = 5000;

/** First and greatest pause after a failure of the key-value service, in milliseconds. */
const firstBackOffMilliseconds = 200;
const greatestBackOffMilliseconds = 15_000;

/** Time limit of a read of the key-value service, and of a query to a peer, in milliseconds. */
const readTimeoutMilliseconds = 2000;
const queryTimeoutMilliseconds = 1000;

/** First and greatest pause before a peer is asked again after a failed query, in milliseconds. */
const firstQueryPauseMilliseconds = 100;
const greatestQueryPauseMilliseconds = 30_000;

/** Peers that a starting host asks at once. */
const startQueries = 3;

/** Lifetime of one watch, in milliseconds. A new watch notices a connection that was lost without a sign. */
const watchLifetimeMilliseconds = 8000;

/** Name of the key-value service in log lines. */
const serviceSource = 'key-value service';

const querySchema = z.object({base: z.number().int().nonnegative()});
const answerSchema = z.object({
	version: z.number().int().nonnegative(),
	delta: configurationDeltaSchema.optional(),
	/** Full record in JSON. */
	record: z.string().max(maximumConfigurationBytes).optional(),
});

/** Options of `FleetConfigurationStore`. */
export type FleetConfigurationStoreOptions = {
	readonly availabilityZone: string;
	readonly keyValueService: KeyValueService;
	readonly network: PeerNetwork;
	readonly directory: HostDirectory;
	readonly timerService: TimerService;
	readonly logger: Logger;
	readonly metrics: Metrics;
	/** Source of random numbers from 0 to 1. */
	readonly random?: () => number;
};

/**
 * Newest configuration version that this host has seen, from the key-value service and from peers.
 *
 * One host per zone watches the key. The others call the service only while they have no version. Each host makes at
 * most 4 calls at once, and after that a read and the watch that follows it per 5 s. So 480 hosts without a version make
 * at most 1,920 calls at once and 192 calls/s after that; the service takes about 2,000 reads/s.
 */
export class FleetConfigurationStore implements ConfigurationStore, AsyncDisposable {
	readonly #options: FleetConfigurationStoreOptions;
	readonly #random: () => number;
	readonly #budget: CallBudget;
	readonly #listeners = new Set<(snapshot: ConfigurationSnapshot) => void>();
	readonly #kept = new Map<number, Configuration>();
	readonly #querying = new Set<string>();
	/** Failed queries in a row and time of the next one, by peer. */
	readonly #failedQueries = new Map<string, {readonly count: number; readonly nextAt: number}>();
	readonly #stop = new AbortController();
	#current: ConfigurationSnapshot | undefined;
	#revision = 0;
	#needsRead = true;
	#failures = 0;
	#confirmedAt: number | undefined;
	/** Aborted when the role of watcher or the need of a first version may have changed. */
	#roleChange = new AbortController();
	#isWatcher = false;
	/** Record of the key-value service that arrived before the peers were asked. */
	#heldText: string | undefined;
	#isAskingPeers = false;
	#hasAskedPeers = false;
	#subscription: Disposable | undefined;
	#task: Promise<void> | undefined;

	/**
	 * @param options - Zone of this host and the services that the store uses.
	 */
	constructor(options: FleetConfigurationStoreOptions) {
		this.#options = options;
		this.#random = options.random ?? Math.random;
		this.#budget = new CallBudget(options.timerService, callBurst, callRefillMilliseconds);
	}

	/** Age of the last sign that the version in force is the newest, in milliseconds, if there was one. */
	get confirmationAgeMilliseconds(): number | undefined {
		return this.#confirmedAt === undefined ? undefined : this.#options.timerService.now() - this.#confirmedAt;
	}

	/** Starts to answer peers, to ask them and to follow the key-value service. */
	start(): void {
		const {network, directory} = this.#options;
		network.handle(PeerMessageKind.ConfigurationQuery, async body => this.#answer(querySchema.parse(body).base));
		this.#subscription = directory.subscribe(() => {
			this.#updateRole();
			this.#queryNewerPeers();
			void this.#askPeersAfterJoining();
		});
		this.#updateRole();
		this.#task = this.#run();
		void this.#queryAtStart();
		void this.#askPeersAfterJoining();
	}

	/** @inheritdoc */
	getCurrent(): ConfigurationSnapshot | undefined {
		return this.#current;
	}

	/** @inheritdoc */
	subscribe(listener: (snapshot: ConfigurationSnapshot) => void): Disposable {
		this.#listeners.add(listener);
		return {
			[Symbol.dispose]: () => {
				this.#listeners.delete(listener);
			},
		};
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#stop.abort();
		this.#roleChange.abort();
		this.#subscription?.[Symbol.dispose]();
		await this.#task;
	}

	async #run(): Promise<void> {
		while (!this.#stop.signal.aborted) {
			const roleChange = this.#roleChange.signal;
			if (this.#current && !this.#isWatcher) {
				await waitForAbort(roleChange);
				continue;
			}

			const pause = this.#budget.take();
			if (pause > 0) {
				await this.#options.timerService.sleep(pause * (1 + (this.#random() / 2)), roleChange);
			} else if (await this.#follow(roleChange)) {
				this.#failures = 0;
			} else {
				await this.#backOff();
			}
		}
	}

	/** Reads or watches the key once. Returns false when the service failed. */
	async #follow(roleChange: AbortSignal): Promise<boolean> {
		const {keyValueService, logger} = this.#options;
		if (this.#needsRead) {
			const entry = await keyValueService.get(configurationKey, readTimeoutMilliseconds);
			if (entry.isErr()) {
				logger.warn({error: entry.error.message}, 'could not read the configuration from the key-value service');
				return false;
			}

			this.#needsRead = false;
			this.#confirm();
			this.#takeEntry(entry.value);
			// The watch follows at once, also ahead of the budget. A pause here would delay changes after an outage.
			this.#budget.spend();
		}

		return this.#watch(roleChange);
	}

	async #watch(roleChange: AbortSignal): Promise<boolean> {
		const {keyValueService, timerService, logger} = this.#options;
		const lifetime = new AbortController();
		const end = () => {
			lifetime.abort();
		};

		const timer = timerService.schedule(watchLifetimeMilliseconds * (0.75 + (this.#random() / 2)), end);
		roleChange.addEventListener('abort', end, {once: true});
		try {
			if (roleChange.aborted) {
				return true;
			}

			for await (const entry of keyValueService.watch(configurationKey, this.#revision, lifetime.signal)) {
				this.#confirm();
				this.#failures = 0;
				this.#takeEntry(entry);
			}

			if (lifetime.signal.aborted) {
				return true;
			}

			logger.warn('the key-value service ended the watch of the configuration');
		} catch (error) {
			logger.warn({error: String(error)}, 'the watch of the configuration failed');
		} finally {
			timer[Symbol.dispose]();
			roleChange.removeEventListener('abort', end);
		}

		// Changes may have been lost, for instance by a compaction of the service's history.
		this.#needsRead = true;
		return false;
	}

	async #backOff(): Promise<void> {
		const pause = Math.min(greatestBackOffMilliseconds, firstBackOffMilliseconds * (2 ** this.#failures));
		this.#failures = Math.min(this.#failures + 1, 10);
		await this.#options.timerService.sleep(pause * (0.5 + (this.#random() / 2)), this.#stop.signal);
	}

	#updateRole(): void {
		const {directory, availabilityZone} = this.#options;
		const candidates = directory.getHosts()
			.filter(host => host.availabilityZone === availabilityZone && host.state !== HostState.Unreachable)
			.map(host => host.name);
		const isWatcher = chooseByRendezvous(`watcher/${availabilityZone}`, candidates) === directory.ownName;
		if (isWatcher !== this.#isWatcher) {
			this.#isWatcher = isWatcher;
			this.#needsRead ||= isWatcher;
			this.#changeRole();
		}
	}

	#changeRole(): void {
		this.#roleChange.abort();
		this.#roleChange = new AbortController();
	}

	#takeEntry(entry: KeyValueEntry | undefined): void {
		if (entry) {
			this.#revision = entry.revision;
			if (this.#hasAskedPeers || this.#current !== undefined) {
				this.#takeText(entry.value, serviceSource);
			} else {
				this.#heldText = entry.value;
			}
		}
	}

	#takeText(text: string, source: string): void {
		if (Buffer.byteLength(text) > maximumConfigurationBytes) {
			this.#options.logger.error({source}, 'ignored a configuration that is too large');
			return;
		}

		try {
			this.#take(JSON.parse(text), source);
		} catch {
			this.#options.logger.error({source}, 'ignored a configuration that is not JSON');
		}
	}

	#take(value: unknown, source: string): void {
		const {logger, metrics, timerService} = this.#options;
		const parsed = configurationSchema.safeParse(value);
		if (!parsed.success) {
			logger.error({source, error: z.prettifyError(parsed.error)}, 'ignored an invalid configuration');
			return;
		}

		const currentVersion = this.#current?.version ?? 0;
		const {version, changeIdentifier} = parsed.data;
		if (version <= currentVersion) {
			if (version < currentVersion || changeIdentifier !== this.#current?.configuration.changeIdentifier) {
				logger.warn({source, version, currentVersion, changeIdentifier}, 'ignored a configuration that is not newer');
			}

			return;
		}

		const isFirst = this.#current === undefined;
		this.#current = new IndexedConfigurationSnapshot(parsed.data);
		this.#kept.set(version, parsed.data);
		if (this.#kept.size > keptVersions) {
			this.#kept.delete(this.#kept.keys().next().value!);
		}

		logger.info({source, version, changeIdentifier}, 'configuration in force');
		metrics.gauge(MetricName.ConfigurationVersion, version, {});
		this.#confirmedAt = timerService.now();
		if (isFirst && !this.#isWatcher) {
			this.#changeRole();
		}

		for (const listener of this.#listeners) {
			listener(this.#current);
		}
	}

	#confirm(): void {
		this.#confirmedAt = this.#options.timerService.now();
	}

	#answer(base: number): z.infer<typeof answerSchema> {
		const version = this.#current?.version ?? 0;
		if (!this.#current || version <= base) {
			return {version};
		}

		const baseConfiguration = this.#kept.get(base);
		return baseConfiguration
			? {version, delta: createConfigurationDelta(baseConfiguration, this.#current.configuration)}
			: {version, record: JSON.stringify(this.#current.configuration)};
	}

	/**
	 * Asks peers once this host has joined them, and only then lets a record of the key-value service take effect. The
	 * service may answer a read with an old value, and a host that restarts must not go back behind its peers.
	 */
	async #askPeersAfterJoining(): Promise<void> {
		const {directory} = this.#options;
		if (this.#isAskingPeers || directory.getHost(directory.ownName)?.state === HostState.Joining) {
			return;
		}

		this.#isAskingPeers = true;
		await this.#queryAtStart();
		this.#hasAskedPeers = true;
		if (this.#heldText !== undefined && !this.#stop.signal.aborted) {
			this.#takeText(this.#heldText, serviceSource);
			this.#heldText = undefined;
		}
	}

	async #queryAtStart(): Promise<void> {
		const {directory} = this.#options;
		const peers = directory.getHosts()
			.filter(host => host.name !== directory.ownName && host.state !== HostState.Unreachable)
			.map(host => ({name: host.name, order: this.#random()}))
			.toSorted((left, right) => left.order - right.order)
			.slice(0, startQueries);
		await Promise.all(peers.map(async peer => this.#query(peer.name)));
	}

	#queryNewerPeers(): void {
		const now = this.#options.timerService.now();
		const newer = this.#options.directory.getHosts()
			.filter(host => host.name !== this.#options.directory.ownName && host.configurationVersion > (this.#current?.version ?? 0)
				&& host.state !== HostState.Unreachable && (this.#failedQueries.get(host.name)?.nextAt ?? 0) <= now);
		// One query at a time is enough: its answer is the newest version of the peer.
		if (this.#querying.size === 0 && newer[0]) {
			void this.#query(newer[Math.floor(this.#random() * newer.length)]!.name);
		}
	}

	async #query(peer: string): Promise<void> {
		this.#querying.add(peer);
		const received = await this.#ask(peer, this.#current?.version ?? 0) || (this.#current !== undefined && await this.#ask(peer, 0));
		this.#querying.delete(peer);
		if (this.#stop.signal.aborted) {
			return;
		}

		if (received) {
			this.#failedQueries.delete(peer);
		} else {
			const {timerService} = this.#options;
			const count = (this.#failedQueries.get(peer)?.count ?? 0) + 1;
			const pause = Math.min(greatestQueryPauseMilliseconds, firstQueryPauseMilliseconds * (2 ** (count - 1)));
			this.#failedQueries.set(peer, {count, nextAt: timerService.now() + pause});
			// Other peers may have the version, too; the next heartbeat leads to the next query.
		}

		this.#queryNewerPeers();
	}

	/** Returns false when the peer gave no usable answer. */
	async #ask(peer: string, base: number): Promise<boolean> {
		const reply = await this.#options.network.call(peer, PeerMessageKind.ConfigurationQuery, {base}, {timeoutMilliseconds: queryTimeoutMilliseconds});
		const answer = reply.isOk() ? answerSchema.safeParse(reply.value) : undefined;
		if (!answer?.success) {
			return false;
		}

		const {version, delta, record} = answer.data;
		const current = this.#current?.configuration;
		if (record !== undefined) {
			this.#takeText(record, peer);
		} else if (delta && current?.version === delta.base) {
			const result = applyConfigurationDelta(current, delta);
			if (result !== undefined) {
				this.#take(result, peer);
			}
		}

		return (this.#current?.version ?? 0) >= version && version > 0;
	}
}

async function waitForAbort(signal: AbortSignal): Promise<void> {
	if (!signal.aborted) {
		await new Promise<void>(resolve => {
			signal.addEventListener('abort', () => {
				resolve();
			}, {once: true});
		});
	}
}
