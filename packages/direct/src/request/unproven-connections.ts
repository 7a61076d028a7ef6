/** Connection that stays open between requests. */
export type ReusableConnection = {
	/** Monotonic time at which the peer last responded on it, in milliseconds. */
	readonly lastReceivedAt: number;
};

/**
 * Returns the idle connections to close after a request to the same peer got no response.
 *
 * Connections can go silent together without being reset, and each would cost a later request its whole time limit. One on
 * which the peer has responded since the failed request was sent works; the others are unproven.
 *
 * @param idle - Idle connections to the peer.
 * @param failedRequestSentAt - Monotonic time at which the failed request was sent, in milliseconds.
 */
export function findUnprovenConnections<Connection extends ReusableConnection>(idle: readonly Connection[], failedRequestSentAt: number): Connection[] {
	return idle.filter(({lastReceivedAt}) => lastReceivedAt < failedRequestSentAt);
}
