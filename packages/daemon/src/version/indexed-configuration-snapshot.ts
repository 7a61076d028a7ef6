import {
	type Configuration, type Contract, type GroupDefinition,
} from '@tarragonstack/core';
import {type ConfigurationSnapshot, type InstanceInGroup} from './configuration-store.js';

/** Configuration version with lookup tables that are built on construction. */
export class IndexedConfigurationSnapshot implements ConfigurationSnapshot {
	/** @inheritdoc */
	readonly version: number;
	readonly #contracts: ReadonlyMap<string, Contract>;
	readonly #contractsByUser = new Map<string, Contract>();
	readonly #groups: ReadonlyMap<string, GroupDefinition>;
	readonly #instances = new Map<string, InstanceInGroup>();

	/**
	 * @param configuration - Validated configuration.
	 */
	constructor(readonly configuration: Configuration) {
		this.version = configuration.version;
		this.#contracts = new Map(configuration.contracts.map(contract => [contract.customer, contract]));
		this.#groups = new Map(configuration.groups.map(group => [group.name, group]));
		for (const contract of configuration.contracts) {
			for (const user of contract.users) {
				this.#contractsByUser.set(user.name, contract);
			}
		}

		for (const group of configuration.groups) {
			for (const instance of group.instances) {
				this.#instances.set(instance.name, {group, instance});
			}
		}
	}

	/** @inheritdoc */
	getContract(customer: string): Contract | undefined {
		return this.#contracts.get(customer);
	}

	/** @inheritdoc */
	getContractOfUser(user: string): Contract | undefined {
		return this.#contractsByUser.get(user);
	}

	/** @inheritdoc */
	getGroup(group: string): GroupDefinition | undefined {
		return this.#groups.get(group);
	}

	/** @inheritdoc */
	getInstance(instance: string): InstanceInGroup | undefined {
		return this.#instances.get(instance);
	}
}
