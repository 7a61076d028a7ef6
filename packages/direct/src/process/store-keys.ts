/** Prefix of all keys that the fleet writes. One read of it shows a host every announced change of a primary. */
export const fleetPrefix = 'fleet/';

/** Key of the host that orders promotions. */
export const promoterKey = `${fleetPrefix}promoter`;

/** Prefix of the records of groups. */
export const groupPrefix = `${fleetPrefix}group/`;

/** Prefix of the records of hosts. */
export const hostPrefix = `${fleetPrefix}host/`;
