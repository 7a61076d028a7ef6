import {
	type Configuration, type Contract, type GroupDefinition, type InstanceDefinition,
} from '@tarragonstack/core';

/** Instance with the group to which it belongs. */
export type InstanceInGroup = {
	readonly group: GroupDefinition;
	readonly instance: InstanceDefinition;
};

/** One configuration version with look-up tables. Immutable. */
export type ConfigurationSnapshot = {
	readonly configuration: Configuration;
	readonly version: number;
	getContract(customer: string): Contract | undefined;
	/** Returns the contract that lists a database user. */
	getContractOfUser(user: string): Contract | undefined;
	getGroup(group: string): GroupDefinition | undefined;
	getInstance(instance: string): InstanceInGroup | undefined;
};

/** Holds the newest configuration version that this host has seen. The version never decreases. */
export type ConfigurationStore = {
	/** Returns the version in force, or `undefined` before the first one. */
	getCurrent(): ConfigurationSnapshot | undefined;
	/**
	 * Subscribes to new versions.
	 *
	 * @param listener - Called with each version that comes into force.
	 */
	subscribe(listener: (snapshot: ConfigurationSnapshot) => void): Disposable;
};
