import type * as crypto from 'node:crypto';
import process from 'node:process';

let loaded: typeof crypto | undefined;

/** Loads `node:crypto` on first use, because it takes about 8 ms of processor time and few hosts need it before their first answer. */
export function loadCrypto(): typeof crypto {
	loaded ??= process.getBuiltinModule('node:crypto');
	return loaded;
}
