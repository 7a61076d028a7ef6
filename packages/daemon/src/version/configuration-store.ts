import {
	type Configuration, type Contract, type GroupDefinition, type InstanceDefinition,
} from '@tarragonstack/core';

/** Instance together with its group. */
export type InstanceInGroup = {
	readonly group: GroupDefinition;
	readonly instance: InstanceDefinition;
};

/** Immutable configuration version with lookup methods. */
export type ConfigurationSnapshot = {
	readonly configuration: Configuration;
	readonly version: number;
	getContract(customer: string): Contract | undefined;
	/** Returns the contract to which a database user belongs. */
	getContractOfUser(user: string): Contract | undefined;
	getGroup(group: string): GroupDefinition | undefined;
	getInstance(instance: string): InstanceInGroup | undefined;
};

/** Stores the newest configuration version that this host has received. The version never decreases. */
export type ConfigurationStore = {
	/** Returns the current version, or `undefined` before the first one. */
	getCurrent(): ConfigurationSnapshot | undefined;
	/**
	 * Subscribes to new versions.
	 *
	 * @param listener - Called with each version when it becomes current.
	 */
	subscribe(listener: (snapshot: ConfigurationSnapshot) => void): Disposable;
};
