/** What a host observes of a primary. */
export type PrimaryObservation = {
	/** Milliseconds for which this host has known no address of it. */
	readonly unknownMilliseconds: number;
	/** Milliseconds for which it has been silent although something is outstanding. */
	readonly silenceMilliseconds: number;
	/** Milliseconds since the first failed connection attempt; 0 if the last one succeeded. */
	readonly unreachableMilliseconds: number;
};

/** Silence after which a primary is suspected, in milliseconds. A slow one accepts connections, which ends the silence. */
const silenceThresholdMilliseconds = 300;

/** Silence after which a primary is suspected that another host suspects already, in milliseconds. */
const corroboratedSilenceThresholdMilliseconds = 180;

/** Time for which connection attempts must fail before a primary is suspected, in milliseconds; one more attempt fits in. */
const unreachableThresholdMilliseconds = 150;

/** Time without an address after which a primary is suspected, in milliseconds: entries that lapsed are back within 2 s. */
const unknownThresholdMilliseconds = 3000;

/**
 * Returns whether a primary appears to be lost.
 *
 * @param observation - What this host observes.
 * @param isSuspectedByOthers - Whether another host suspects the primary.
 */
export function isSuspicious(observation: PrimaryObservation, isSuspectedByOthers: boolean): boolean {
	return observation.unknownMilliseconds >= unknownThresholdMilliseconds
		|| observation.silenceMilliseconds >= (isSuspectedByOthers ? corroboratedSilenceThresholdMilliseconds : silenceThresholdMilliseconds)
		|| observation.unreachableMilliseconds >= unreachableThresholdMilliseconds;
}
