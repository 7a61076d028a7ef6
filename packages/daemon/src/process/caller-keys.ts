import {readFileSync} from 'node:fs';

/** PEM files of the TLS certificate and private key that are used for caller connections. */
export type CallerKeyFiles = {
	readonly certificateFile: string;
	readonly keyFile: string;
};

/**
 * Reads the TLS certificate and private key of the caller listener.
 *
 * @param files - Paths of the PEM files.
 */
export function readCallerKeys(files: CallerKeyFiles): {key: Buffer; cert: Buffer} {
	return {key: readFileSync(files.keyFile), cert: readFileSync(files.certificateFile)};
}
