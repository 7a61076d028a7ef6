/** Prefix of all keys that the fleet writes. */
const fleetPrefix = 'fleet/';

/**
 * Keys of the fleet's records in one era of the store. Each era has keys of its own: records of an earlier era, which a
 * restored store may still contain, are not in force, and a late write of a host that goes by an earlier era changes nothing.
 */
export type StoreKeys = {
	/** Prefix of all keys. One range read returns every announced primary change. */
	readonly prefix: string;
	/** Key of the promoter record. */
	readonly promoter: string;
	/** Key prefix of group records. */
	readonly groupPrefix: string;
	/** Key prefix of host records. */
	readonly hostPrefix: string;
};

/** Returns the keys of an era. */
export function createStoreKeys(era: number): StoreKeys {
	const prefix = `${fleetPrefix}${era}/`;
	return {prefix, promoter: `${prefix}promoter`, groupPrefix: `${prefix}group/`, hostPrefix: `${prefix}host/`};
}

/** Returns the era of a key that the fleet writes, or `undefined` for another key. */
export function getKeyEra(key: string): number | undefined {
	const era = /^fleet\/(?<era>\d+)\//v.exec(key)?.groups?.era;
	return era === undefined ? undefined : Number(era);
}
