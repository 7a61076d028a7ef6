import {chooseByRendezvous, getRendezvousWeight} from '@tarragonstack/core/request/rendezvous-hash';
import {HostState, type HostDirectory} from '../host-directory.js';
import {type OwnershipTable} from '../ownership-table.js';
import {type ConfigurationStore} from '../../version/configuration-store.js';

/** Assigns instances by rendezvous hashing over the live hosts of their zone, or over all live hosts if the zone has none. */
export class RendezvousOwnershipTable implements OwnershipTable, Disposable {
	readonly #directory: HostDirectory;
	readonly #configurationStore: ConfigurationStore;
	readonly #listeners = new Set<() => void>();
	readonly #subscriptions: Disposable[];
	/** Cached weights by instance and host, so that a change of the live hosts hashes only new pairs. */
	readonly #weights = new Map<string, Map<string, number>>();
	#owners = new Map<string, string>();
	#owned: readonly string[] = [];
	#liveHosts = '';

	/**
	 * @param directory - Source of the live hosts.
	 * @param configurationStore - Source of the groups and their instances.
	 */
	constructor(directory: HostDirectory, configurationStore: ConfigurationStore) {
		this.#directory = directory;
		this.#configurationStore = configurationStore;
		this.#subscriptions = [
			directory.subscribe(() => {
				this.#updateIfHostsChanged();
			}),
			configurationStore.subscribe(() => {
				this.#weights.clear();
				this.#update();
			}),
		];
		this.#updateIfHostsChanged();
	}

	/** @inheritdoc */
	getOwner(instance: string): string | undefined {
		return this.#owners.get(instance);
	}

	/** @inheritdoc */
	getPromotionOrder(group: string): number | undefined {
		const definition = this.#configurationStore.getCurrent()?.getGroup(group);
		const owners = new Set(definition?.instances.flatMap(({name}) => this.#owners.get(name) ?? []));
		const order = [...owners]
			.map(name => ({name, weight: getRendezvousWeight(`promotion/${group}`, name)}))
			.toSorted((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1))
			.findIndex(({name}) => name === this.#directory.ownName);
		return order === -1 ? undefined : order;
	}

	/** @inheritdoc */
	getOwnedInstances(): readonly string[] {
		return this.#owned;
	}

	/** @inheritdoc */
	subscribe(listener: () => void): Disposable {
		this.#listeners.add(listener);
		return {
			[Symbol.dispose]: () => {
				this.#listeners.delete(listener);
			},
		};
	}

	[Symbol.dispose](): void {
		for (const subscription of this.#subscriptions) {
			subscription[Symbol.dispose]();
		}
	}

	#getLiveHostsByZone(): Map<string, string[]> {
		const zones = new Map<string, string[]>();
		for (const {name, availabilityZone, state} of this.#directory.getHosts()) {
			if (state === HostState.Live) {
				zones.set(availabilityZone, [...zones.get(availabilityZone) ?? [], name]);
			}
		}

		return zones;
	}

	#updateIfHostsChanged(): void {
		const liveHosts = [...this.#getLiveHostsByZone()].flatMap(([zone, names]) => names.map(name => `${zone}/${name}`)).toSorted().join(' ');
		if (liveHosts !== this.#liveHosts) {
			this.#liveHosts = liveHosts;
			this.#update();
		}
	}

	#update(): void {
		const zones = this.#getLiveHostsByZone();
		const all = [...zones.values()].flat();
		const instances = this.#configurationStore.getCurrent()?.configuration.groups.flatMap(group => group.instances) ?? [];
		this.#owners = new Map();
		for (const {name, availabilityZone} of instances) {
			const owner = chooseByRendezvous(name, zones.get(availabilityZone) ?? all, (key, host) => this.#getWeight(key, host));
			if (owner !== undefined) {
				this.#owners.set(name, owner);
			}
		}

		const owned = [...this.#owners].filter(([, owner]) => owner === this.#directory.ownName).map(([instance]) => instance);
		if (owned.join('\0') !== this.#owned.join('\0')) {
			this.#owned = owned;
			for (const listener of this.#listeners) {
				listener();
			}
		}
	}

	#getWeight(instance: string, host: string): number {
		let weights = this.#weights.get(instance);
		if (!weights) {
			weights = new Map();
			this.#weights.set(instance, weights);
		}

		let weight = weights.get(host);
		if (weight === undefined) {
			weight = getRendezvousWeight(instance, host);
			weights.set(host, weight);
		}

		return weight;
	}
}
