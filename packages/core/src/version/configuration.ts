import {z} from 'zod';
import {contractSchema} from './contract.js';

const name = z.string().regex(/^[a-z0-9][a-z0-9.\-]{0,62}$/v, 'a name of lower-case letters, digits, dots and hyphens');

/** Schema of one database instance. */
export const instanceDefinitionSchema = z.strictObject({
	name,
	/** IP address and port, for instance `127.0.0.1:5432`. */
	address: z.string().regex(/^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v, 'an IPv4 address and a port'),
	availabilityZone: name,
	/** Maximum number of statements that the instance runs concurrently. */
	slots: z.number().int().positive().max(1024),
	connectionLimit: z.number().int().min(8).max(10_000),
	/** True while an operator drains the instance. */
	leaving: z.boolean().default(false),
});

/** Schema of a group of database instances that replicate from one primary. */
export const groupDefinitionSchema = z.strictObject({
	name,
	instances: z.array(instanceDefinitionSchema).min(1).max(9),
});

/** Schema of the complete configuration, which is stored under one key of the key-value service. */
export const configurationSchema = z.strictObject({
	version: z.number().int().positive(),
	/** Unique identifier of the change that produced this version. */
	changeIdentifier: z.string().min(1),
	author: z.string().min(1),
	/** Time of the change, ISO 8601 in UTC. */
	time: z.iso.datetime(),
	contracts: z.array(contractSchema),
	groups: z.array(groupDefinitionSchema),
}).superRefine((configuration, context) => {
	const groupNames = new Set(configuration.groups.map(group => group.name));
	for (const [contractIndex, contract] of configuration.contracts.entries()) {
		for (const [groupIndex, group] of contract.groups.entries()) {
			if (!groupNames.has(group)) {
				context.addIssue({
					code: 'custom',
					path: ['contracts', contractIndex, 'groups', groupIndex],
					message: `group "${group}" is not defined`,
				});
			}
		}
	}
});

/** Definition of one database instance. */
export type InstanceDefinition = z.infer<typeof instanceDefinitionSchema>;

/** Definition of a group of database instances. */
export type GroupDefinition = z.infer<typeof groupDefinitionSchema>;

/** Complete configuration of one version. */
export type Configuration = z.infer<typeof configurationSchema>;

/** Key of the configuration in the key-value service. */
export const configurationKey = 'tarragon/configuration';

/** Maximum size of the serialized configuration, in bytes. The key-value service accepts values of up to 1 MB. */
export const maximumConfigurationBytes = 1_000_000;
