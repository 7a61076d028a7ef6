/** What a host observes of a primary. */
export type PrimaryObservation = {
	/** Whether the instance is on the list of running instances. */
	readonly isListed: boolean;
	/** Milliseconds for which it has been silent although something is outstanding. */
	readonly silenceMilliseconds: number;
	/** Milliseconds since the first failed connection attempt; 0 if the last one succeeded. */
	readonly unreachableMilliseconds: number;
};

/** Silence after which a primary is suspected, in milliseconds: ten times the longest usual statement. */
const suspiciousSilenceMilliseconds = 600;

/** Time for which connection attempts must fail before a primary is suspected, in milliseconds; it covers a lost packet's repetition. */
const suspiciousUnreachableMilliseconds = 250;

/**
 * Returns whether a primary appears to be lost.
 *
 * @param observation - What this host observes.
 */
export function isSuspicious(observation: PrimaryObservation): boolean {
	return !observation.isListed
		|| observation.silenceMilliseconds >= suspiciousSilenceMilliseconds
		|| observation.unreachableMilliseconds >= suspiciousUnreachableMilliseconds;
}

/**
 * Returns whether enough hosts suspect a primary to replace it. A primary that a minority can't reach serves the others.
 *
 * @param suspecting - Hosts that suspect it.
 * @param registered - Hosts of the fleet.
 */
export function isLossAgreed(suspecting: number, registered: number): boolean {
	return suspecting * 2 > registered;
}
