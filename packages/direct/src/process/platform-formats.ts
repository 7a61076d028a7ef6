import {type Result} from 'neverthrow';
import {type DeploymentConfiguration} from '../version/deployment-configuration.js';
import {type InstanceEntry} from './instance-entry.js';

/** Formats of the store items that the platform, not the fleet, writes. */
export type PlatformFormats = {
	/** Key of the configuration. */
	readonly configurationKey: string;
	/** Prefix of the keys of instance entries; the instance identifier follows. */
	readonly instancePrefix: string;
	/** Decodes a configuration, or returns why it is invalid. */
	decodeConfiguration(text: string): Result<DeploymentConfiguration, string>;
	/** Decodes the entry of an instance, or returns why it is invalid. */
	decodeInstance(id: string, text: string): Result<InstanceEntry, string>;
};
