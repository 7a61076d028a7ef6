import {readFileSync} from 'node:fs';

/** Files with the key pair that callers see. */
export type CallerKeyFiles = {
	readonly certificateFile: string;
	readonly keyFile: string;
};

/**
 * Reads the key pair of the callers' port.
 *
 * @param files - Paths of the PEM files.
 */
export function readCallerKeys(files: CallerKeyFiles): {key: Buffer; cert: Buffer} {
	return {key: readFileSync(files.keyFile), cert: readFileSync(files.certificateFile)};
}
