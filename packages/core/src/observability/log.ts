import process from 'node:process';
import {Roarr, ROARR, type Logger} from 'roarr';

/**
 * Creates the logger of a process. Lines of JSON go to the standard error stream.
 *
 * @param context - Fields of every line, for instance `host` and `availabilityZone`.
 */
export function createLogger(context: Readonly<Record<string, string>>): Logger {
	// The library discards all messages unless this variable is set.
	process.env['ROARR_LOG'] = 'true';
	ROARR.write = line => {
		process.stderr.write(`${line}\n`);
	};

	return Roarr.child(context);
}

export {type Logger} from 'roarr';
