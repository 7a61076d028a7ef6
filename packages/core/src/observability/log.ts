// eslint-disable-next-line import-x/no-unassigned-import, import-x/order -- must run before roarr is loaded
import './enable-roarr.js';
import process from 'node:process';
import {Roarr, ROARR, type Logger} from 'roarr';

/**
 * Creates the logger of a process, which writes lines of JSON to the standard error stream.
 *
 * @param context - Fields of every line, for instance `host` and `availabilityZone`.
 */
export function createLogger(context: Readonly<Record<string, string>>): Logger {
	ROARR.write = line => {
		process.stderr.write(`${line}\n`);
	};

	return Roarr.child(context);
}

export {type Logger} from 'roarr';
