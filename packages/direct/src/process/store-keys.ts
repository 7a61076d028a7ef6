/** Prefix of all keys that the fleet writes. One range read returns every announced primary change. */
export const fleetPrefix = 'fleet/';

/** Key of the promoter record. */
export const promoterKey = `${fleetPrefix}promoter`;

/** Key prefix of group records. */
export const groupPrefix = `${fleetPrefix}group/`;

/** Key prefix of host records. */
export const hostPrefix = `${fleetPrefix}host/`;
