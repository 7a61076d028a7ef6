/** Connections of an instance that are not distributed to hosts: for status requests and for hosts that have just joined. */
export const reservedConnections = 3;

/**
 * Returns how many connections a host may keep open to an instance.
 *
 * @param connectionLimit - Connections that the instance accepts from all hosts together.
 * @param hosts - Number of registered hosts.
 */
export function getConnectionShare(connectionLimit: number, hosts: number): number {
	return Math.max(1, Math.floor((connectionLimit - reservedConnections) / Math.max(1, hosts)));
}
