import {type StoreItem} from '@tarragonstack/core/adapters/shared-store';
import {formatRevision, getEra} from '@tarragonstack/core/adapters/store-revision';
import {type Result} from 'neverthrow';
import {PeerMessages} from '../connection/peer-messages.js';
import {type ClientSession} from '../connection/client-session.js';
import {GuardedDialer} from '../connection/guarded-dialer.js';
import {type RelayHost, type RelayTarget} from '../connection/relay-server-connection.js';
import {PinnedStatementRunner} from '../connection/pinned-statement-runner.js';
import {StatementRecorder} from '../connection/statement-recorder.js';
import {StatementRunner} from '../connection/statement-runner.js';
import {getBatchingDelay} from '../request/batching-delay.js';
import {usesDelegates} from '../request/delegate-plan.js';
import {type CallerCredentials} from '../request/caller-access.js';
import {StatementErrorCode} from '../request/statement-error-code.js';
import {type StatementError} from '../request/statement-result.js';
import {SuccessLogSampler} from '../request/success-log-sampler.js';
import {type DeploymentConfiguration} from '../version/deployment-configuration.js';
import {PeerAuthorityRenewer, peerRenewalLimitMilliseconds} from './peer-authority-renewer.js';
import {ConnectionRoutes} from './connection-routes.js';
import {ContinuousStore} from './continuous-store.js';
import {DelegateClient} from './delegate-client.js';
import {DelegateServer} from './delegate-server.js';
import {type DirectHostOptions} from './direct-host-options.js';
import {AccessMode, FleetAccess} from './fleet-access.js';
import {FleetView, HostChange} from './fleet-view.js';
import {GroupRecords} from './group-records.js';
import {GuardedStoreListener} from './guarded-store-listener.js';
import {HostRegistration} from './host-registration.js';
import {HostMetrics, type GroupSample, type InstanceSample} from './host-metrics.js';
import {InstanceGroupState} from './instance-group-state.js';
import {InstanceRegistry} from './instance-registry.js';
import {ObsoleteRecordRemover} from './obsolete-record-remover.js';
import {LeaseKeeper} from './lease-keeper.js';
import {MeteredStore} from './metered-store.js';
import {authorityMilliseconds, PrimaryAuthority} from './primary-authority.js';
import {PromotionCoordinator} from './promotion-coordinator.js';
import {RelayTargets} from './relay-targets.js';
import {StoreEra} from './store-era.js';
import {SessionRegistry} from './session-registry.js';
import {StartGate} from './start-gate.js';
import {StoreFollower} from './store-follower.js';
import {createStoreKeys, getKeyEra} from './store-keys.js';
import {StoreView, type StoreListener} from './store-view.js';
import {SuspensionDetector} from './suspension-detector.js';
import {WorkspaceLimits} from './workspace-limits.js';

/** Interval of the periodic checks, in milliseconds. */
const checkIntervalMilliseconds = 40;

/**
 * Time since the last renewal of the authority to use primaries after which the host reports that it is not ready for new
 * clients, in milliseconds. If its whole zone is isolated, hosts of other zones serve them. Renewals are at most 0.5 s
 * apart, even while the store is slow or the authority is renewed through other hosts.
 */
const isolationThresholdMilliseconds = 600;

/**
 * Time from the registration of a host to its first read of the store when the whole fleet starts for the first time, in
 * milliseconds. It covers the different start times of slow and fast machines; clients come later.
 */
const firstStartDelayMilliseconds = 2000;

/**
 * Batching delay after the reports of a delegate, in milliseconds. Delegates report a lost primary within a few tens of
 * milliseconds of each other.
 */
const reportBatchingMilliseconds = 30;

/** Time after which hosts of an earlier era of the store have no authority even without a majority, in milliseconds. */
const formerHostMilliseconds = peerRenewalLimitMilliseconds + authorityMilliseconds;

/** Number of lease holders up to which the reports of each are received after that delay. */
const maximumUrgentReporters = 6;

/**
 * Share of the time within which a configuration must be applied for which an open transaction may continue after its API key
 * was withdrawn. The rest of that time is for the configuration to arrive and for the statement that runs.
 */
const withdrawnKeyShare = 0.25;

/**
 * Time from the start for which requests wait for the first configuration and the first authority, in milliseconds. A fleet that
 * starts for the first time needs 2.3 s.
 */
const startLimitMilliseconds = 3000;

/** Host of the fleet. Watches the shared store, tracks the groups and runs the statements of its sessions. */
export class DirectHost implements StoreListener, RelayHost, AsyncDisposable {
	readonly #options: DirectHostOptions;
	readonly #metrics = new HostMetrics();
	readonly #groups = new Map<string, InstanceGroupState>();
	readonly #groupRecords: GroupRecords;
	readonly #sessions: SessionRegistry;
	readonly #era: StoreEra;
	readonly #fleet: FleetView;
	readonly #authority: PrimaryAuthority;
	readonly #registration: HostRegistration;
	readonly #follower: StoreFollower;
	readonly #leaseKeeper: LeaseKeeper;
	readonly #coordinator: PromotionCoordinator;
	readonly #routes: ConnectionRoutes;
	readonly #relayTargets: RelayTargets;
	readonly #instances: InstanceRegistry;
	readonly #peerAuthorityRenewer: PeerAuthorityRenewer;
	readonly #delegateServer: DelegateServer;
	readonly #access: FleetAccess;
	readonly #obsoleteRecords: ObsoleteRecordRemover;
	/** Opens with the first configuration. */
	readonly #configured: StartGate;
	/** Opens with the first authority. */
	readonly #authorized: StartGate;
	readonly #workspaceLimits: WorkspaceLimits;
	#configuration: DeploymentConfiguration | undefined;
	/** Monotonic time at which hosts that registered only in an earlier era of the store are forgotten. */
	#formerHostsUntil = Number.POSITIVE_INFINITY;
	#hasChangedEra = false;
	#periodicChecks: Disposable | undefined;
	#isLeaving = false;
	#isStopped = false;

	/**
	 * @param options - Identity of the host and dependencies.
	 */
	constructor(options: DirectHostOptions) {
		const {timer, log, hostName, availabilityZone, incarnation, peerAddress, delegateAddress, capacity} = options;
		this.#era = new StoreEra(log);
		const store = new MeteredStore(new ContinuousStore(options.store, this.#era), this.#metrics);
		this.#options = options;
		this.#fleet = new FleetView(log);
		this.#groupRecords = new GroupRecords({
			timer, log, era: this.#era, groups: this.#groups,
			handleUpdated: group => {
				this.#coordinator.evaluate(group);
			},
		});
		this.#registration = new HostRegistration({
			store, timer, log, era: this.#era, hostName, record: {
				incarnation, availabilityZone, peerAddress, delegateAddress, capacity, lease: 0, confirmed: {}, suspected: [], isDelegated: false, noticed: {},
				followers: {confirmed: {}, suspected: {}},
			},
		});
		const view = new StoreView(new GuardedStoreListener(this, log), era => {
			this.#era.enter(era, 'items');
		});
		this.#follower = new StoreFollower({
			store, timer, log, view, era: this.#era, configurationMilliseconds: options.configurationMilliseconds,
		});
		this.#authority = new PrimaryAuthority(timer, new SuspensionDetector(timer, () => options.readWallClock()), () => {
			log.write('suspension-detected', {});
			for (const {positionHistory} of this.#groups.values()) {
				positionHistory.discard(timer.now());
			}

			this.#leaseKeeper.renewNow();
			client.restartGrant();
		});
		this.#configured = new StartGate(timer, startLimitMilliseconds);
		this.#authorized = new StartGate(timer, startLimitMilliseconds);
		this.#authority.onObtained = () => {
			this.#authorized.open();
		};

		this.#leaseKeeper = new LeaseKeeper({
			store, timer, log, registration: this.#registration, authority: this.#authority,
			readFleet: async () => this.#follower.read(this.#era.keys.prefix),
			handleLeaseGained: () => {
				this.#access.handleLeaseGained();
			},
			handleStoreRegained: () => {
				this.#follower.restartWatch();
			},
		});
		const dialer = new GuardedDialer(options.dialer, log);
		this.#coordinator = new PromotionCoordinator({
			...options,
			store,
			dialer,
			metrics: this.#metrics,
			suspension: new SuspensionDetector(timer, () => options.readWallClock()),
			registration: this.#registration,
			fleet: this.#fleet,
			era: this.#era,
			wasRecorded: group => this.#groupRecords.wasRecorded(group),
			getGroups: () => this.#groups.values(),
			holdsLease: () => this.#access.mode === AccessMode.Direct,
			isStoreAvailable: () => this.#follower.isAvailable,
			readFleet: async () => this.#follower.readAll([this.#era.keys.prefix, options.formats.configurationKey]),
			readInstances: async () => this.#follower.readAll([options.formats.instancePrefix]),
			waitForFollowers: async (group, change, isCurrent) => this.#delegateServer.waitForFollowers(group, change, usesDelegates(this.#fleet.hosts.size), isCurrent),
		});
		const client = new DelegateClient({
			hostName, timer, log, view, transport: options.delegates, fleet: this.#fleet, authority: this.#authority, era: this.#era,
			registration: this.#registration,
			getCandidates: () => this.#access.getDelegates(),
		});
		this.#registration.onReportsChanged = () => {
			client.ask();
		};

		this.#delegateServer = new DelegateServer({
			timer, log, view, transport: options.delegates, authority: this.#authority, era: this.#era, registration: this.#registration,
			isStoreAvailable: () => this.#access.hasOwnStore,
			isLeaving: () => this.#isLeaving,
			handleFollower: () => {
				this.#access.handleFollower();
			},
		});
		this.#access = new FleetAccess({
			hostName, availabilityZone, timer, log, view, client, fleet: this.#fleet, follower: this.#follower, leaseKeeper: this.#leaseKeeper,
			server: this.#delegateServer, registration: this.#registration, authority: this.#authority,
			isPromoting: () => this.#coordinator.isBusy || this.#coordinator.isPromoter,
		});
		this.#obsoleteRecords = new ObsoleteRecordRemover({
			store, timer, log, view, era: this.#era, isResponsible: () => this.#coordinator.isPromoter && this.#access.mode === AccessMode.Direct,
		});
		const messages = new PeerMessages(options.peers, log);
		this.#workspaceLimits = new WorkspaceLimits({
			...options, messages, metrics: this.#metrics, fleet: this.#fleet,
			isLeaving: () => this.#isLeaving,
			isAuthorized: () => timer.now() <= this.#authority.validUntil,
			getWorkspaces: () => this.#configuration?.workspaces,
		});
		this.#peerAuthorityRenewer = new PeerAuthorityRenewer({
			hostName, timer, log, messages, fleet: this.#fleet, authority: this.#authority, era: this.#era,
			getRecords: () => this.#groupRecords.getAll(),
			handleRecord: (group, text, revision) => {
				// The view passes a record on to the followers of this host, before any grant that depends on it.
				if (getEra(revision) === this.#era.number && revision > (this.#groups.get(group)?.record?.revision ?? 0)) {
					view.applyChanges([{removed: false, key: `${this.#era.keys.groupPrefix}${group}`, value: text, revision}], view.revision);
				}
			},
		});
		this.#era.onEntered = previous => {
			this.#handleEraEntered(previous);
			client.restartGrant();
		};

		this.#routes = new ConnectionRoutes({hostName, availabilityZone, timer, log, fleet: this.#fleet});
		this.#relayTargets = new RelayTargets({timer, log, metrics: this.#metrics, dialer, routes: this.#routes, groups: this.#groups});
		this.#instances = new InstanceRegistry({
			timer, log, metrics: this.#metrics, formats: options.formats, dialer, routes: this.#routes, groups: this.#groups,
			getConnectionLimit: group => this.#getConnectionLimit(group),
		});
		this.#sessions = new SessionRegistry({
			timer, log,
			recorder: new StatementRecorder({timer, log, metrics: this.#metrics, routineSample: new SuccessLogSampler(), getConfiguration: () => this.#configuration}),
			pinnedRunner: new PinnedStatementRunner({timer, log, getGroup: name => this.#groups.get(name)}),
			runner: this.#workspaceLimits.limit(new StatementRunner({
				timer, log, availabilityZone, lacksPrimaryAuthority: () => timer.now() > this.#authority.validUntil,
				waitForFirstAuthority: async milliseconds => this.#authorized.wait(milliseconds), isStopped: () => this.#isStopped,
			})),
			getConfiguration: () => this.#configuration,
			getGroup: name => this.#groups.get(name),
		});
	}

	/** Whether the host accepts new clients. */
	get isReady(): boolean {
		return !this.#isLeaving && this.#configuration !== undefined && !this.isIsolated;
	}

	/** Whether the authority to use primaries has expired or is about to. Without it, the host can serve almost nothing. */
	get isIsolated(): boolean {
		return this.#options.timer.now() - this.#authority.renewalRequestedAt > isolationThresholdMilliseconds;
	}

	/** Renders the metrics of the host as text. */
	async renderMetrics(): Promise<string> {
		const now = this.#options.timer.now();
		const groups = [...this.#groups.values()];
		return this.#metrics.render({
			sessions: this.#sessions.size,
			configurationVersion: this.#configuration?.version ?? 0,
			isAuthorized: this.#authority.isValid(),
			isReady: this.isReady,
			storeEra: this.#era.number,
			groups: groups.map(({name, record, positionHistory}): GroupSample => ({
				group: name, primary: record?.primary ?? '', term: record?.term ?? 0,
				positionAgeMilliseconds: positionHistory.newestSentAt === undefined ? undefined : now - positionHistory.newestSentAt,
			})),
			instances: groups.flatMap(({name, instances}) => [...instances].map(([id, {pool}]) => ({group: name, instance: id, ...pool.sample(this.#options.availabilityZone)}))),
		});
	}

	/** Starts to follow the store, to register the host and to run the periodic checks. */
	start(): void {
		const {timer, isFirstStart} = this.#options;
		if (isFirstStart) {
			// The first answer of the store tells the era, in which the host then registers.
			void this.#follower.read(this.#options.formats.configurationKey);
			timer.schedule(firstStartDelayMilliseconds, () => {
				this.#access.start();
			});
		} else {
			this.#access.start();
		}

		this.#periodicChecks = this.#options.timer.subscribe(checkIntervalMilliseconds, now => {
			this.#runPeriodicChecks(now);
		});
	}

	/** Waits for the first configuration, if the host has just started. */
	async waitUntilConfigured(): Promise<void> {
		await this.#configured.wait();
	}

	/** Opens a session for a client, or returns why the client may not have one. */
	openSession(credentials: CallerCredentials): Result<ClientSession, StatementError> {
		const opened = this.#sessions.open(credentials);
		if (opened.isErr() && opened.error.code === StatementErrorCode.AccessDenied) {
			this.#options.log.write('session-refused', {database: credentials.database, hasKey: credentials.key !== undefined, configurationVersion: this.#configuration?.version});
		}

		return opened;
	}

	/** Closes a session whose client has disconnected. */
	closeSession(session: ClientSession): void {
		this.#sessions.close(session);
	}

	/** Whether the host has received a valid configuration. */
	get isConfigured(): boolean {
		return this.#configuration !== undefined;
	}

	/** Whether the host is shutting down. */
	get isLeaving(): boolean {
		return this.#isLeaving;
	}

	/** Marks the host as shutting down, so that it is no longer ready for new clients. */
	leave(): void {
		this.#isLeaving = true;
		this.#delegateServer.dismissFollowers('the host is leaving');
	}

	/** Answers all statements at once: those that run with what is known of their outcome, those that wait as not run. */
	abandonStatements(): void {
		this.#isStopped = true;
		this.#authorized.open();
		for (const {pools} of this.#groups.values()) {
			for (const pool of pools) {
				pool.abandon();
			}
		}
	}

	/** @inheritdoc */
	findRelayTarget(instance: string): RelayTarget | undefined {
		return this.#relayTargets.findTarget(instance);
	}

	/** @inheritdoc */
	handleItem(item: StoreItem): number {
		const {formats} = this.#options;
		const {keys} = this.#era;
		if (item.key === formats.configurationKey) {
			this.#handleConfiguration(item);
		} else if (item.key.startsWith(formats.instancePrefix)) {
			this.#instances.handleItem(item);
		} else if (item.key.startsWith(keys.groupPrefix)) {
			this.#groupRecords.handleItem(item);
		} else if (item.key.startsWith(keys.hostPrefix)) {
			const name = item.key.slice(keys.hostPrefix.length);
			const change = this.#fleet.updateHost(name, item);
			if (name === this.#options.hostName) {
				this.#registration.handleStoredRecord(item.value, item.revision);
			}

			return this.#getHostBatchingDelay(change);
		} else if (item.key === keys.promoter) {
			this.#fleet.updatePromoter(item);
		} else {
			this.#handleFormerItem(item);
		}

		return 0;
	}

	/** @inheritdoc */
	handleRemoval(key: string): number {
		const {formats, hostName} = this.#options;
		const {keys} = this.#era;
		if (key.startsWith(formats.instancePrefix)) {
			this.#instances.handleRemoval(key, this.#era.number);
		} else if (key.startsWith(keys.hostPrefix)) {
			const name = key.slice(keys.hostPrefix.length);
			this.#fleet.removeHost(name);
			if (name === hostName) {
				this.#registration.handleStoredRecord(undefined, 0);
			}

			return this.#getHostBatchingDelay(HostChange.Reports);
		} else if (key === keys.promoter) {
			this.#fleet.removePromoter();
		}

		return 0;
	}

	/** @inheritdoc */
	handleChangesApplied(): void {
		for (const group of this.#groups.values()) {
			for (const {pool} of group.instances.values()) {
				pool.setRoute(this.#routes.getRoute(pool.instance, this.#getConnectionLimit(group.name)));
			}
		}

		this.#access.handleChangesApplied();
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#periodicChecks?.[Symbol.dispose]();
		this.#access.stop();
		this.#configured.open();
		this.#authorized.open();
		this.#sessions[Symbol.dispose]();

		// A promoter does not wait for a host without a record, nor for its followers.
		const {timer} = this.#options;
		await timer.sleep(this.#delegateServer.hasGrants ? Math.max(0, this.#delegateServer.grantedUntil - timer.now()) : 0);
		await this.#registration.remove();
		for (const group of this.#groups.values()) {
			for (const pool of group.pools) {
				pool[Symbol.dispose]();
			}
		}
	}

	/**
	 * Adapts everything that this host remembers of the store to a new era. What belongs to the fleet is written again under the
	 * keys of the era; what the operator and the instances wrote is read again.
	 */
	#handleEraEntered(previous: number | undefined): void {
		const {timer, isFirstStart} = this.#options;
		this.#fleet.handleEraEntered(this.#era.number);
		this.#obsoleteRecords.handleEraEntered();
		this.#coordinator.handleEraEntered();
		if (previous === undefined) {
			if (isFirstStart) {
				this.#registration.update({});
			}

			return;
		}

		this.#groupRecords.handleEraEntered(previous);
		this.#hasChangedEra = true;
		this.#formerHostsUntil = timer.now() + formerHostMilliseconds;
		this.#access.handleEraEntered();
		this.#authority.handleEraEntered();
		this.#delegateServer.handleEraEntered();
		this.#peerAuthorityRenewer.handleEraEntered();
		this.#registration.handleEraEntered();
		this.#leaseKeeper.handleEraEntered();
		this.#follower.restartWatch();
	}

	/** Handles a record of the fleet from an earlier era, which a restored store still contains. */
	#handleFormerItem(item: StoreItem): void {
		const era = getKeyEra(item.key);
		if (era === undefined || era >= this.#era.number) {
			return;
		}

		const {groupPrefix, hostPrefix} = createStoreKeys(era);
		if (item.key.startsWith(groupPrefix)) {
			this.#groupRecords.addFormer(item.key.slice(groupPrefix.length));
		} else if (item.key.startsWith(hostPrefix) && !this.#hasChangedEra) {
			this.#formerHostsUntil = this.#options.timer.now() + formerHostMilliseconds;
			this.#fleet.addFormerHost(item.key.slice(hostPrefix.length), item);
		}
	}

	/** Returns for how long changes of host records may be batched after a change. */
	#getHostBatchingDelay(change: HostChange): number {
		if (this.#coordinator.isPromoter && change !== HostChange.None) {
			return 0;
		}

		const isReportOfFew = change === HostChange.FollowerReports || (change === HostChange.Reports && this.#fleet.leaseHolders.length <= maximumUrgentReporters);
		return Math.min(getBatchingDelay(this.#fleet.hosts.size), isReportOfFew ? reportBatchingMilliseconds : Number.POSITIVE_INFINITY);
	}

	#handleConfiguration({value, revision}: StoreItem): void {
		const {formats, log} = this.#options;
		const decoded = formats.decodeConfiguration(value);
		if (decoded.isErr()) {
			log.write('configuration-invalid', {revision: formatRevision(revision), reason: decoded.error});
			return;
		}

		const configuration = decoded.value;
		if (this.#configuration && configuration.version <= this.#configuration.version) {
			return;
		}

		this.#configuration = configuration;
		this.#workspaceLimits.handleConfiguration();
		for (const {name, synchronousReplicas} of configuration.groups.values()) {
			const group = this.#groups.get(name) ?? new InstanceGroupState(name, this.#authority);
			group.replication = {configurationVersion: configuration.version, synchronousReplicas};
			this.#groups.set(name, group);
		}

		this.#instances.handleGroupsChanged();
		this.#groupRecords.handleGroupsChanged();
		this.#configured.open();
		log.write('configuration-in-force', {
			version: configuration.version, revision: formatRevision(revision), routes: configuration.routes.size,
			workspaces: configuration.workspaces?.byName.size, ambiguousKeys: configuration.workspaces?.ambiguousKeys,
		});
	}

	#getConnectionLimit(groupName: string): number {
		return this.#configuration?.groups.get(groupName)?.connectionLimit ?? 0;
	}

	#runPeriodicChecks(now: number): void {
		this.#access.check(now);
		this.#peerAuthorityRenewer.renewIfStale(now);
		this.#workspaceLimits.check(now);
		if (now >= this.#formerHostsUntil) {
			this.#formerHostsUntil = Number.POSITIVE_INFINITY;
			this.#fleet.removeFormerHosts();
		}

		this.#obsoleteRecords.check(now);
		this.#instances.sweep(now, this.#access.isStoreAvailable);
		this.#relayTargets.sweep(now);
		for (const group of this.#groups.values()) {
			this.#coordinator.evaluate(group);
		}

		this.#sessions.rollBackDue(now, this.#options.configurationMilliseconds * withdrawnKeyShare);
	}
}
