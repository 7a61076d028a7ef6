import {createHash} from 'node:crypto';
import {z, type Configuration} from '@tarragonstack/core';

/** Schema of a configuration delta, by contract and group. The receiver validates the resulting record. */
export const configurationDeltaSchema = z.strictObject({
	base: z.number().int().positive(),
	/** SHA-256 digest of the resulting record. */
	digest: z.string(),
	header: z.record(z.string(), z.unknown()),
	/** Names of all contracts and groups of the result, in order. Absent if they are the same as in the base version. */
	contractOrder: z.array(z.string()).optional(),
	groupOrder: z.array(z.string()).optional(),
	contracts: z.array(z.object({customer: z.string()}).loose()),
	groups: z.array(z.object({name: z.string()}).loose()),
});

/** Difference between two configuration versions. */
export type ConfigurationDelta = z.infer<typeof configurationDeltaSchema>;

/**
 * Creates the delta between two configuration versions.
 *
 * @param base - Version that the receiver has.
 * @param target - Version that the receiver needs.
 */
export function createConfigurationDelta(base: Configuration, target: Configuration): ConfigurationDelta {
	const {contracts, groups, ...header} = target;
	const baseContracts = base.contracts.map(contract => contract.customer);
	const baseGroups = base.groups.map(group => group.name);
	const contractOrder = contracts.map(contract => contract.customer);
	const groupOrder = groups.map(group => group.name);
	return {
		base: base.version,
		digest: getConfigurationDigest(target),
		header,
		...(!areEqualLists(baseContracts, contractOrder) && {contractOrder}),
		...(!areEqualLists(baseGroups, groupOrder) && {groupOrder}),
		contracts: selectChanged(base.contracts, contracts),
		groups: selectChanged(base.groups, groups),
	};
}

/**
 * Applies a delta to a configuration version.
 *
 * @param base - Version to which the delta applies.
 * @param delta - Delta to apply.
 * @returns The resulting record, which the caller must validate, or `undefined` if the digest does not match.
 */
export function applyConfigurationDelta(base: Configuration, delta: ConfigurationDelta): unknown {
	const contracts = new Map<string, unknown>([...base.contracts, ...delta.contracts].map(contract => [contract.customer, contract]));
	const groups = new Map<string, unknown>([...base.groups, ...delta.groups].map(group => [group.name, group]));
	const result = {
		...delta.header,
		contracts: (delta.contractOrder ?? base.contracts.map(contract => contract.customer)).map(name => contracts.get(name)),
		groups: (delta.groupOrder ?? base.groups.map(group => group.name)).map(name => groups.get(name)),
	};
	return getConfigurationDigest(result) === delta.digest ? result : undefined;
}

function getConfigurationDigest(configuration: unknown): string {
	return createHash('sha256').update(JSON.stringify(configuration)).digest('hex');
}

function selectChanged<Item>(base: readonly Item[], target: readonly Item[]): Item[] {
	const unchanged = new Set(base.map(item => JSON.stringify(item)));
	return target.filter(item => !unchanged.has(JSON.stringify(item)));
}

function areEqualLists(left: readonly string[], right: readonly string[]): boolean {
	return left.length === right.length && left.every((name, index) => name === right[index]);
}
