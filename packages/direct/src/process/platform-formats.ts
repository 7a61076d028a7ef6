import {type Result} from 'neverthrow';
import {type DeploymentConfiguration} from '../version/deployment-configuration.js';
import {type InstanceEntry} from './instance-entry.js';

/** Formats of the items that others than the fleet write to the shared store. */
export type PlatformFormats = {
	/** Key of the configuration. */
	readonly configurationKey: string;
	/** Prefix of the keys of instances; the identifier follows. */
	readonly instancePrefix: string;
	/** Reads a configuration, or returns why it is invalid. */
	decodeConfiguration(text: string): Result<DeploymentConfiguration, string>;
	/** Reads the entry of an instance, or returns why it names none. */
	decodeInstance(id: string, text: string): Result<InstanceEntry, string>;
};
