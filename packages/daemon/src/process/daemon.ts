import {
	ConsulMembershipList, createLogger, createMetrics, EtcdKeyValueService, SystemTimerService,
	type InstanceDefinition, type Logger, type MembershipList, type Metrics, type TimerService,
} from '@tarragonstack/core';
import {CallerListener} from '../connection/caller/index.js';
import {PostgresInstanceControl} from '../connection/control/index.js';
import {PeerUpstreamGateway, ReadIndexService} from '../connection/gateway/index.js';
import {PeerConnectionEvent, PeerKeys, TcpPeerNetwork} from '../connection/peer/index.js';
import {UpstreamConnection, UpstreamPool} from '../connection/upstream/index.js';
import {
	GroupMonitor, InstanceControlDirectory, MajorityTermConfirmation, Promoter,
} from '../request/failover/index.js';
import {ReadIndexClient, RequestRouter, UpstreamLoadTable} from '../request/routing/index.js';
import {type SchedulingPolicy} from '../request/scheduling/index.js';
import {EffectiveConfigurationStore, FleetConfigurationStore} from '../version/index.js';
import {AdminServer} from './admin/index.js';
import {readCallerKeys} from './caller-keys.js';
import {DaemonStatus} from './daemon-status.js';
import {HostState} from './host-directory.js';
import {InstanceExecutors} from './instance-executors.js';
import {FleetDirectory, RendezvousOwnershipTable} from './membership/index.js';
import {type Settings} from './settings/index.js';

/** Time limit of the login to an instance, in milliseconds. */
const loginTimeoutMilliseconds = 1000;

/** Time limit of a status query to an instance, in milliseconds. */
const statusTimeoutMilliseconds = 100;

/** Time that peer connections get to deliver pending replies during a graceful shutdown, in milliseconds. */
const peerDrainMilliseconds = 1000;

/** Database name of control connections and pooled connections. Instances serve one database. */
const upstreamDatabase = 'tarragon';

/** Addresses at which a daemon listens, as `IP:port`. */
export type DaemonAddresses = {
	readonly callers: string;
	readonly peers: string;
	readonly admin: string;
};

/** Services that are created before the daemon itself. */
type DaemonDependencies = {
	readonly settings: Settings;
	readonly timerService: TimerService;
	readonly logger: Logger;
	readonly metrics: Metrics & AsyncDisposable;
	readonly network: TcpPeerNetwork;
};

/** Creates, connects and stops all components of one host. */
export class Daemon implements AsyncDisposable {
	/**
	 * Starts a host.
	 *
	 * @param settings - Validated settings.
	 * @returns The daemon, which accepts requests as soon as it has a configuration.
	 */
	static async start(settings: Settings): Promise<Daemon> {
		const timerService = new SystemTimerService();
		const {name, availabilityZone} = settings.host;
		const logger = createLogger({host: name, availabilityZone});
		const metrics = createMetrics(settings.metrics);
		const keys = settings.peers.tls && await PeerKeys.load(settings.peers.tls, timerService, logger);
		const directoryReference: {current?: FleetDirectory} = {};
		const network = new TcpPeerNetwork({
			ownName: name,
			address: settings.address,
			port: settings.peers.port,
			resolveAddress: host => directoryReference.current?.getHost(host)?.peerAddress,
			onUnknownPeer() {
				directoryReference.current?.reportUnknownHost();
			},
			timerService,
			logger,
			metrics,
			...(keys && {keys}),
		});
		// The directory advertises the port of the peer listener, which the operating system assigns if the setting is 0.
		await network.start();
		const daemon = new Daemon({settings, timerService, logger, metrics, network});
		directoryReference.current = daemon.#directory;
		await daemon.#start();
		return daemon;
	}

	readonly #settings: Settings;
	readonly #timerService: TimerService;
	readonly #logger: Logger;
	readonly #metrics: Metrics & AsyncDisposable;
	readonly #keyValueService: EtcdKeyValueService;
	readonly #membershipList: MembershipList;
	readonly #network: TcpPeerNetwork;
	readonly #directory: FleetDirectory;
	readonly #baseConfiguration: FleetConfigurationStore;
	readonly #configuration: EffectiveConfigurationStore;
	readonly #ownership: RendezvousOwnershipTable;
	readonly #controls: InstanceControlDirectory;
	readonly #monitor: GroupMonitor;
	readonly #confirmation: MajorityTermConfirmation;
	readonly #promoter: Promoter;
	readonly #executors: InstanceExecutors;
	readonly #gateway: PeerUpstreamGateway;
	readonly #readIndexService: ReadIndexService;
	readonly #listener: CallerListener;
	readonly #admin: AdminServer;
	readonly #status: DaemonStatus;
	#addresses: DaemonAddresses | undefined;
	#isStopping = false;

	private constructor({settings, timerService, logger, metrics, network}: DaemonDependencies) {
		this.#settings = settings;
		this.#timerService = timerService;
		this.#logger = logger;
		this.#metrics = metrics;
		this.#network = network;
		const {address} = settings;
		this.#keyValueService = new EtcdKeyValueService({url: settings.keyValueService.url, localAddress: address});
		this.#membershipList = new ConsulMembershipList({url: settings.membershipList.url, localAddress: address});
		this.#directory = this.#createDirectory();
		this.#baseConfiguration = new FleetConfigurationStore({
			availabilityZone: settings.host.availabilityZone,
			keyValueService: this.#keyValueService,
			network: this.#network,
			directory: this.#directory,
			timerService,
			logger,
			metrics: this.#metrics,
		});
		this.#configuration = new EffectiveConfigurationStore({
			base: this.#baseConfiguration, membershipList: this.#membershipList, timerService,
		});
		this.#ownership = new RendezvousOwnershipTable(this.#directory, this.#configuration);
		this.#controls = new InstanceControlDirectory(instance => this.#createControl(instance));
		this.#monitor = new GroupMonitor({
			timerService, configuration: this.#configuration, ownership: this.#ownership, controls: this.#controls,
		});
		this.#confirmation = new MajorityTermConfirmation({
			timerService,
			configuration: this.#configuration,
			controls: this.#controls,
			onStatus: (group, status) => {
				this.#monitor.recordStatus(group, status);
			},
		});
		this.#promoter = new Promoter({
			hostName: settings.host.name,
			timerService,
			monitor: this.#monitor,
			ownership: this.#ownership,
			controls: this.#controls,
			metrics: this.#metrics,
			logger,
		});
		this.#executors = this.#createExecutors();
		this.#gateway = new PeerUpstreamGateway({
			ownName: settings.host.name,
			localExecutor: this.#executors,
			peerNetwork: this.#network,
			metrics: this.#metrics,
			subscribeToLostPeers: listener => this.#network.subscribeToConnectionEvents((host, event) => {
				// A silent peer may still complete its transactions; it is lost when its link is closed.
				if (event === PeerConnectionEvent.Closed || event === PeerConnectionEvent.Refused) {
					listener(host);
				}
			}),
		});
		this.#readIndexService = this.#createReadIndexService();
		this.#listener = this.#createListener();
		this.#status = new DaemonStatus({
			settings,
			timerService,
			configurationStore: this.#configuration,
			directory: this.#directory,
			ownership: this.#ownership,
			groupView: this.#monitor,
			getConnectionCount: () => this.#listener.connectionCount,
			isStopping: () => this.#isStopping,
		});
		this.#admin = this.#createAdminServer();
	}

	/** Name of the host. */
	get name(): string {
		return this.#settings.host.name;
	}

	/** Addresses of the listeners. */
	get addresses(): DaemonAddresses {
		if (!this.#addresses) {
			throw new Error('the daemon has not started');
		}

		return this.#addresses;
	}

	/** Resolves when the host has a configuration. */
	async waitForConfiguration(): Promise<void> {
		if (this.#configuration.getCurrent()) {
			return;
		}

		await new Promise<void>(resolve => {
			const subscription = this.#configuration.subscribe(() => {
				subscription[Symbol.dispose]();
				resolve();
			});
		});
	}

	/**
	 * Stops the host gracefully: new callers are refused, requests in progress are finished, open transactions get the
	 * grace period of the settings, and other hosts take over the owned instances.
	 */
	async stop(): Promise<void> {
		if (this.#isStopping) {
			return;
		}

		this.#isStopping = true;
		this.#logger.info('graceful shutdown started');
		this.#directory.setLeaving();
		this.#listener.stopAccepting();
		await this.#listener.drain(this.#settings.shutdownGraceMilliseconds);
		await this.#executors.drain();
		await this.#network.drain(peerDrainMilliseconds);
		await this[Symbol.asyncDispose]();
		this.#logger.info('graceful shutdown completed');
	}

	/** Releases all resources without waiting for requests in progress. */
	async [Symbol.asyncDispose](): Promise<void> {
		this.#promoter[Symbol.dispose]();
		this.#readIndexService[Symbol.dispose]();
		this.#gateway[Symbol.dispose]();
		await this.#listener[Symbol.asyncDispose]();
		await this.#admin[Symbol.asyncDispose]();
		await this.#executors[Symbol.asyncDispose]();
		await this.#monitor[Symbol.asyncDispose]();
		this.#confirmation[Symbol.dispose]();
		await this.#controls[Symbol.asyncDispose]();
		this.#configuration[Symbol.dispose]();
		await this.#baseConfiguration[Symbol.asyncDispose]();
		this.#directory[Symbol.dispose]();
		await this.#network[Symbol.asyncDispose]();
		await this.#keyValueService[Symbol.asyncDispose]();
		await this.#membershipList[Symbol.asyncDispose]();
		await this.#metrics[Symbol.asyncDispose]();
	}

	async #start(): Promise<void> {
		this.#gateway.register();
		this.#readIndexService.register();
		this.#directory.start();
		this.#baseConfiguration.subscribe(({version}) => {
			this.#directory.setConfigurationVersion(version);
		});
		this.#baseConfiguration.start();
		const callers = await this.#listener.listen();
		this.#addresses = {
			callers: `${callers.address}:${callers.port}`,
			peers: `${this.#settings.address}:${this.#network.port}`,
			admin: await this.#admin.listen(),
		};
	}

	#createDirectory(): FleetDirectory {
		const {advertised, address, host, peers} = this.#settings;
		return new FleetDirectory({
			own: {name: host.name, availabilityZone: host.availabilityZone, peerAddress: advertised.peers ?? `${address}:${this.#network.port}`},
			seeds: peers.seeds,
			network: this.#network,
			membershipList: this.#membershipList,
			timerService: this.#timerService,
			logger: this.#logger,
		});
	}

	#createControl(instance: InstanceDefinition): PostgresInstanceControl {
		return new PostgresInstanceControl({
			timerService: this.#timerService,
			instance,
			localAddress: this.#settings.address,
			...this.#settings.upstreams,
			database: upstreamDatabase,
		});
	}

	#createExecutors(): InstanceExecutors {
		return new InstanceExecutors({
			ownershipTable: this.#ownership,
			configurationStore: this.#configuration,
			groupView: this.#monitor,
			termConfirmation: this.#confirmation,
			timerService: this.#timerService,
			policy: this.#settings.schedulingPolicy as SchedulingPolicy,
			metrics: this.#metrics,
			createPool: ({instance}) => this.#createPool(instance),
			refreshStatus: async ({group, instance}) => {
				const status = await this.#controls.getControl(instance.name)?.status({timeoutMilliseconds: statusTimeoutMilliseconds});
				if (status?.isOk()) {
					this.#monitor.recordStatus(group.name, status.value);
				}
			},
			logger: this.#logger,
		});
	}

	#createPool(instance: InstanceDefinition): UpstreamPool {
		const [host, port] = instance.address.split(':');
		return new UpstreamPool({
			timerService: this.#timerService,
			slots: instance.slots,
			connectionLimit: instance.connectionLimit,
			open: async () => UpstreamConnection.open({
				host: host!,
				port: Number(port),
				localAddress: this.#settings.address,
				...this.#settings.upstreams,
				database: upstreamDatabase,
				timeoutMilliseconds: loginTimeoutMilliseconds,
			}),
			onOpenFailed: error => {
				this.#logger.warn({instance: instance.name, error: error.message}, 'failed to log in to the instance');
			},
		});
	}

	#createReadIndexService(): ReadIndexService {
		return new ReadIndexService({
			groupView: this.#monitor,
			termConfirmation: this.#confirmation,
			peerNetwork: this.#network,
			isMonitored: group => this.#monitor.monitoredGroups.some(({name}) => name === group),
			getOwners: group => this.#getOtherOwners(group),
			getOtherHosts: () => this.#getOtherLiveHosts(),
			timerService: this.#timerService,
			logger: this.#logger,
		});
	}

	#createListener(): CallerListener {
		const executor = new RequestRouter({
			configurationStore: this.#configuration,
			groupView: this.#monitor,
			gateway: this.#gateway,
			readIndexClient: new ReadIndexClient(this.#readIndexService, this.#timerService),
			loadTable: new UpstreamLoadTable(this.#timerService),
			getOwner: instance => this.#ownership.getOwner(instance),
			isLeaving: instance => this.#configuration.getCurrent()?.getInstance(instance)?.instance.leaving ?? false,
			timerService: this.#timerService,
			logger: this.#logger,
			metrics: this.#metrics,
			random: Math.random,
		});
		const {callers, address} = this.#settings;
		return new CallerListener({
			address,
			port: callers.port,
			...(callers.tls && {tls: readCallerKeys(callers.tls)}),
			configurationStore: this.#configuration,
			executor,
			timerService: this.#timerService,
			logger: this.#logger,
			metrics: this.#metrics,
		});
	}

	#createAdminServer(): AdminServer {
		return new AdminServer({
			address: this.#settings.address,
			port: this.#settings.admin.port,
			getHealth: () => this.#status.getHealth(),
			getStatus: () => this.#status.getStatus(),
			promote: async (group, instance) => {
				const outcome = await this.#promoter.promoteManually(group, instance);
				return outcome.isOk()
					? {promoted: true, message: `instance "${outcome.value.instance}" is primary of term ${outcome.value.term}`}
					: {promoted: false, message: `no instance was promoted: ${outcome.error}`};
			},
			logger: this.#logger,
		});
	}

	#getOtherOwners(group: string): string[] {
		const instances = this.#configuration.getCurrent()?.getGroup(group)?.instances ?? [];
		const ownZone = this.#settings.host.availabilityZone;
		const nearestFirst = [...instances.filter(({availabilityZone}) => availabilityZone === ownZone), ...instances];
		const owners = nearestFirst.map(({name}) => this.#ownership.getOwner(name));
		return [...new Set(owners)].filter(owner => owner !== undefined && owner !== this.#settings.host.name) as string[];
	}

	#getOtherLiveHosts(): string[] {
		return this.#directory.getHosts()
			.filter(({name, state}) => state === HostState.Live && name !== this.#settings.host.name)
			.map(({name}) => name);
	}
}
