import process from 'node:process';
import {type TimerService} from '@tarragonstack/core';
import {type GroupView} from '../request/group-view.js';
import {type ConfigurationStore} from '../version/configuration-store.js';
import {type Health} from './admin/index.js';
import {type HostDirectory} from './host-directory.js';
import {type OwnershipTable} from './ownership-table.js';
import {type Settings} from './settings/index.js';

/** Options of `DaemonStatus`. */
export type DaemonStatusOptions = {
	readonly settings: Settings;
	readonly timerService: TimerService;
	readonly configurationStore: ConfigurationStore;
	readonly directory: HostDirectory;
	readonly ownership: OwnershipTable;
	readonly groupView: GroupView;
	readonly getConnectionCount: () => number;
	readonly isStopping: () => boolean;
};

/** Collects the health and the status of this host for the admin server. */
export class DaemonStatus {
	readonly #options: DaemonStatusOptions;
	#activeVersion: number | undefined;
	#activeSince = 0;

	/**
	 * @param options - Sources of the reported values.
	 */
	constructor(options: DaemonStatusOptions) {
		this.#options = options;
		options.configurationStore.subscribe(({version}) => {
			if (version !== this.#activeVersion) {
				this.#activeVersion = version;
				this.#activeSince = options.timerService.now();
			}
		});
	}

	/** Returns whether this host accepts requests, and otherwise the reason. */
	getHealth(): Health {
		const {configurationStore, isStopping} = this.#options;
		if (isStopping()) {
			return {accepting: false, reason: 'the host is stopping'};
		}

		const current = configurationStore.getCurrent();
		return current
			? {accepting: true, configurationVersion: current.version}
			: {accepting: false, reason: 'no configuration: neither the key-value service nor a peer has supplied one'};
	}

	/** Returns the state of this host and of the fleet as this host knows it. Ages are in milliseconds. */
	getStatus(): Record<string, unknown> {
		const {settings, directory, ownership, configurationStore, timerService} = this.#options;
		const current = configurationStore.getCurrent();
		return {
			host: settings.host,
			health: this.getHealth(),
			configuration: current && {
				version: current.version,
				changeIdentifier: current.configuration.changeIdentifier,
				author: current.configuration.author,
				inForceForMilliseconds: Math.round(timerService.now() - this.#activeSince),
			},
			callerConnections: this.#options.getConnectionCount(),
			memory: process.memoryUsage.rss(),
			processorMicroseconds: process.cpuUsage(),
			hosts: directory.getHosts(),
			ownedInstances: ownership.getOwnedInstances(),
			groups: current?.configuration.groups.map(group => this.#getGroupStatus(group.name)),
		};
	}

	#getGroupStatus(name: string): Record<string, unknown> {
		const {configurationStore, groupView, ownership, timerService} = this.#options;
		const instances = configurationStore.getCurrent()?.getGroup(name)?.instances ?? [];
		const primary = groupView.getPrimary(name);
		const primaryIndex = primary && groupView.getStatus(primary.instance)?.position.index;
		return {
			name,
			primary: primary?.instance,
			term: primary?.term,
			instances: instances.map(instance => {
				const status = groupView.getStatus(instance.name);
				return {
					name: instance.name,
					availabilityZone: instance.availabilityZone,
					leaving: instance.leaving,
					owner: ownership.getOwner(instance.name),
					role: status?.role,
					position: status?.position,
					lagEntries: status && primaryIndex !== undefined ? Math.max(0, primaryIndex - status.position.index) : undefined,
					ageMilliseconds: status && Math.round(timerService.now() - status.observedAt),
				};
			}),
		};
	}
}
