import {
	z, configurationKey, configurationSchema, maximumConfigurationBytes, MetricName,
	type Configuration, type KeyValueEntry, type KeyValueService, type Logger, type Metrics, type TimerService,
} from '@tarragonstack/core';
import {chooseByRendezvous} from '@tarragonstack/core/request/rendezvous-hash';
import {PeerMessageKind, type PeerNetwork} from '../connection/peer-network.js';
import {HostState, type HostDirectory} from '../process/host-directory.js';
import {TokenBucket} from './token-bucket.js';
import {
	applyConfigurationDelta, configurationDeltaSchema, createConfigurationDelta,
} from './configuration-delta.js';
import {type ConfigurationSnapshot, type ConfigurationStore} from './configuration-store.js';
import {IndexedConfigurationSnapshot} from './indexed-configuration-snapshot.js';

/** Maximum number of recent versions that are stored to create deltas for peers. */
const maximumRecentVersions = 16;

/** Maximum burst of calls to the key-value service, and the time per further call, in milliseconds. */
const callBurst = 3;
const callRefillMilliseconds = 5000;

/** Initial and maximum back-off after a failure of the key-value service, in milliseconds. */
const initialBackOffMilliseconds = 200;
const maximumBackOffMilliseconds = 15_000;

/** Timeouts of a call to the key-value service and of a query to a peer, in milliseconds. */
const serviceTimeoutMilliseconds = 2000;
const queryTimeoutMilliseconds = 1000;

/** Initial and maximum back-off for a peer after a failed query, in milliseconds. */
const initialQueryBackOffMilliseconds = 100;
const maximumQueryBackOffMilliseconds = 30_000;

/** Number of peers that a starting host queries in parallel. */
const startupQueryCount = 3;

/** Mean lifetime of a watch, in milliseconds. Renewing the watch detects a connection that was lost silently. */
const watchLifetimeMilliseconds = 8000;

/** Name of the key-value service as a source in log records. */
const serviceSource = 'key-value service';

const querySchema = z.object({base: z.number().int().nonnegative()});
const responseSchema = z.object({
	version: z.number().int().nonnegative(),
	delta: configurationDeltaSchema.optional(),
	/** Full record as JSON. */
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
 * Stores the newest configuration version that this host has received from the key-value service or from peers.
 *
 * One host per zone watches the key. The other hosts call the service only while they have no version. Each host makes a
 * burst of at most 4 calls, and after that one read with its subsequent watch per 5 s. Thus 480 hosts without a version make
 * a burst of at most 1,920 calls, followed by 192 calls/s. The service handles about 2,000 reads/s.
 */
export class FleetConfigurationStore implements ConfigurationStore, AsyncDisposable {
	readonly #options: FleetConfigurationStoreOptions;
	readonly #random: () => number;
	readonly #callBudget: TokenBucket;
	readonly #listeners = new Set<(snapshot: ConfigurationSnapshot) => void>();
	readonly #recentVersions = new Map<number, Configuration>();
	readonly #peersBeingQueried = new Set<string>();
	/** Number of consecutive failed queries and time of the next attempt, by peer. */
	readonly #failedQueries = new Map<string, {readonly count: number; readonly nextAt: number}>();
	readonly #stop = new AbortController();
	#current: ConfigurationSnapshot | undefined;
	#revision = 0;
	#needsRead = true;
	#failureCount = 0;
	#confirmedAt: number | undefined;
	/** Aborted when this host becomes or stops being the watcher, or receives its first version. */
	#roleChange = new AbortController();
	#isWatcher = false;
	/** Record from the key-value service that is not applied until peers have been queried. */
	#pendingText: string | undefined;
	#hasStartedPeerQueries = false;
	#hasQueriedPeers = false;
	#subscription: Disposable | undefined;
	#task: Promise<void> | undefined;

	/**
	 * @param options - Zone of this host and services to use.
	 */
	constructor(options: FleetConfigurationStoreOptions) {
		this.#options = options;
		this.#random = options.random ?? Math.random;
		this.#callBudget = new TokenBucket(options.timerService, callBurst, callRefillMilliseconds);
	}

	/** Time since the current version was last confirmed to be the newest, in milliseconds, if it was. */
	get confirmationAgeMilliseconds(): number | undefined {
		return this.#confirmedAt === undefined ? undefined : this.#options.timerService.now() - this.#confirmedAt;
	}

	/** Starts to answer queries of peers, to query peers and to read the key-value service. */
	start(): void {
		const {network, directory} = this.#options;
		network.handle(PeerMessageKind.ConfigurationQuery, async body => this.#createResponse(querySchema.parse(body).base));
		this.#subscription = directory.subscribe(() => {
			this.#updateRole();
			this.#queryNewerPeers();
			void this.#queryPeersAfterJoining();
		});
		this.#updateRole();
		this.#task = this.#run();
		void this.#queryRandomPeers();
		void this.#queryPeersAfterJoining();
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

			const pause = this.#callBudget.take();
			if (pause > 0) {
				await this.#options.timerService.sleep(pause * (1 + (this.#random() / 2)), roleChange);
			} else if (await this.#readOrWatch(roleChange)) {
				this.#failureCount = 0;
			} else {
				await this.#backOff();
			}
		}
	}

	/** Reads the key if necessary and watches it once. Returns whether the calls to the service succeeded. */
	async #readOrWatch(roleChange: AbortSignal): Promise<boolean> {
		const {keyValueService, logger} = this.#options;
		if (this.#needsRead) {
			const entry = await keyValueService.get(configurationKey, serviceTimeoutMilliseconds);
			if (entry.isErr()) {
				logger.warn({error: entry.error.message}, 'could not read the configuration from the key-value service');
				return false;
			}

			this.#markConfirmed();
			this.#applyEntry(entry.value);
			if (!(await this.#writeBackIfLost(entry.value))) {
				return false;
			}

			this.#needsRead = false;
			// The watch follows immediately, even beyond the call budget. A pause here would delay changes after an outage.
			this.#callBudget.takeIfAvailable();
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
				this.#markConfirmed();
				this.#failureCount = 0;
				this.#applyEntry(entry);
				if (this.#isLost(entry)) {
					this.#needsRead = true;
					return true;
				}
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

		// Changes may have been missed, for example because the service compacted its history.
		this.#needsRead = true;
		return false;
	}

	/** Whether an entry shows that the service has lost the version in force, for instance because it was restored from a backup. */
	#isLost(entry: KeyValueEntry | undefined): boolean {
		if (!this.#current || !entry) {
			return this.#current !== undefined;
		}

		const stored = parseConfiguration(entry.value);
		const {version, configuration} = this.#current;
		return stored !== undefined && stored.version <= version && stored.changeIdentifier !== configuration.changeIdentifier;
	}

	/**
	 * Writes the version in force to a service that has lost it, so that the next change gets a greater version. A change that was
	 * accepted since then, with a version that had been assigned already, is replaced and has to be made again.
	 *
	 * @param entry - Entry that was read.
	 * @returns Whether the service has a version that is at least as new as the one in force.
	 */
	async #writeBackIfLost(entry: KeyValueEntry | undefined): Promise<boolean> {
		if (!this.#current || !this.#isLost(entry)) {
			return true;
		}

		const {keyValueService, logger} = this.#options;
		const {configuration} = this.#current;
		const stored = entry && parseConfiguration(entry.value);
		this.#callBudget.takeIfAvailable();
		const outcome = await keyValueService.compareAndSwap(configurationKey, entry?.revision ?? 0, JSON.stringify(configuration), serviceTimeoutMilliseconds);
		const isWritten = outcome.isOk() && outcome.value.swapped;
		logger.error({
			version: configuration.version, storedVersion: stored?.version, storedChange: stored?.changeIdentifier, storedAuthor: stored?.author, isWritten,
			...(outcome.isErr() && {error: outcome.error.message}),
		}, 'the key-value service has lost the version in force');
		if (isWritten) {
			this.#applyEntry(outcome.value.current);
		}

		return isWritten;
	}

	async #backOff(): Promise<void> {
		const pause = Math.min(maximumBackOffMilliseconds, initialBackOffMilliseconds * (2 ** this.#failureCount));
		this.#failureCount = Math.min(this.#failureCount + 1, 10);
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

	#applyEntry(entry: KeyValueEntry | undefined): void {
		if (entry) {
			this.#revision = entry.revision;
			if (this.#hasQueriedPeers || this.#current !== undefined) {
				this.#applyText(entry.value, serviceSource);
			} else {
				this.#pendingText = entry.value;
			}
		}
	}

	#applyText(text: string, source: string): void {
		if (Buffer.byteLength(text) > maximumConfigurationBytes) {
			this.#options.logger.error({source}, 'ignored a configuration that exceeds the maximum size');
			return;
		}

		try {
			this.#applyValue(JSON.parse(text), source);
		} catch {
			this.#options.logger.error({source}, 'ignored a configuration that is not valid JSON');
		}
	}

	#applyValue(value: unknown, source: string): void {
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
				logger.warn({source, version, currentVersion, changeIdentifier}, 'ignored a configuration that is not newer than the current version');
			}

			return;
		}

		const isFirst = this.#current === undefined;
		this.#current = new IndexedConfigurationSnapshot(parsed.data);
		this.#recentVersions.set(version, parsed.data);
		if (this.#recentVersions.size > maximumRecentVersions) {
			this.#recentVersions.delete(this.#recentVersions.keys().next().value!);
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

	#markConfirmed(): void {
		this.#confirmedAt = this.#options.timerService.now();
	}

	#createResponse(base: number): z.infer<typeof responseSchema> {
		const version = this.#current?.version ?? 0;
		if (!this.#current || version <= base) {
			return {version};
		}

		const baseConfiguration = this.#recentVersions.get(base);
		return baseConfiguration
			? {version, delta: createConfigurationDelta(baseConfiguration, this.#current.configuration)}
			: {version, record: JSON.stringify(this.#current.configuration)};
	}

	/**
	 * Queries peers after this host has joined, and only then applies a record of the key-value service. The service may
	 * return a stale value, and a restarted host must not use an older version than its peers.
	 */
	async #queryPeersAfterJoining(): Promise<void> {
		const {directory} = this.#options;
		if (this.#hasStartedPeerQueries || directory.getHost(directory.ownName)?.state === HostState.Joining) {
			return;
		}

		this.#hasStartedPeerQueries = true;
		await this.#queryRandomPeers();
		this.#hasQueriedPeers = true;
		if (this.#pendingText !== undefined && !this.#stop.signal.aborted) {
			this.#applyText(this.#pendingText, serviceSource);
			this.#pendingText = undefined;
		}
	}

	async #queryRandomPeers(): Promise<void> {
		const {directory} = this.#options;
		const peers = directory.getHosts()
			.filter(host => host.name !== directory.ownName && host.state !== HostState.Unreachable)
			.map(host => ({name: host.name, order: this.#random()}))
			.toSorted((left, right) => left.order - right.order)
			.slice(0, startupQueryCount);
		await Promise.all(peers.map(async peer => this.#query(peer.name)));
	}

	#queryNewerPeers(): void {
		const now = this.#options.timerService.now();
		const newer = this.#options.directory.getHosts()
			.filter(host => host.name !== this.#options.directory.ownName && host.configurationVersion > (this.#current?.version ?? 0)
				&& host.state !== HostState.Unreachable && (this.#failedQueries.get(host.name)?.nextAt ?? 0) <= now);
		// One query at a time is sufficient, because a peer responds with its newest version.
		if (this.#peersBeingQueried.size === 0 && newer[0]) {
			void this.#query(newer[Math.floor(this.#random() * newer.length)]!.name);
		}
	}

	async #query(peer: string): Promise<void> {
		this.#peersBeingQueried.add(peer);
		const received = await this.#requestVersion(peer, this.#current?.version ?? 0) || (this.#current !== undefined && await this.#requestVersion(peer, 0));
		this.#peersBeingQueried.delete(peer);
		if (this.#stop.signal.aborted) {
			return;
		}

		if (received) {
			this.#failedQueries.delete(peer);
		} else {
			const {timerService} = this.#options;
			const count = (this.#failedQueries.get(peer)?.count ?? 0) + 1;
			const pause = Math.min(maximumQueryBackOffMilliseconds, initialQueryBackOffMilliseconds * (2 ** (count - 1)));
			this.#failedQueries.set(peer, {count, nextAt: timerService.now() + pause});
			// Other peers may have the version as well. The next heartbeat triggers the next query.
		}

		this.#queryNewerPeers();
	}

	/** Requests the newest version of a peer. Returns whether this host then has a version that is at least as new. */
	async #requestVersion(peer: string, base: number): Promise<boolean> {
		const reply = await this.#options.network.call(peer, PeerMessageKind.ConfigurationQuery, {base}, {timeoutMilliseconds: queryTimeoutMilliseconds});
		const response = reply.isOk() ? responseSchema.safeParse(reply.value) : undefined;
		if (!response?.success) {
			return false;
		}

		const {version, delta, record} = response.data;
		const current = this.#current?.configuration;
		if (record !== undefined) {
			this.#applyText(record, peer);
		} else if (delta && current?.version === delta.base) {
			const result = applyConfigurationDelta(current, delta);
			if (result !== undefined) {
				this.#applyValue(result, peer);
			}
		}

		return (this.#current?.version ?? 0) >= version && version > 0;
	}
}

/** Returns the configuration in a record, or `undefined` if it is invalid. */
function parseConfiguration(text: string): Configuration | undefined {
	try {
		return configurationSchema.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
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
