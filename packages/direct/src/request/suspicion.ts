/** Liveness of a primary as observed by a host. */
export type PrimaryObservation = {
	/** Milliseconds for which this host has not known an address of the primary. */
	readonly unknownMilliseconds: number;
	/** Milliseconds without a response while a request is outstanding. */
	readonly silenceMilliseconds: number;
	/** Milliseconds since the first of the current series of failed connection attempts; 0 if the last one succeeded. */
	readonly unreachableMilliseconds: number;
	/** Milliseconds since the first of the current series of statements that it refused because it is not the primary. */
	readonly readOnlyMilliseconds: number;
};

/**
 * Time without a response after which a primary is suspected, in milliseconds. A slow primary still accepts connections,
 * which resets the time.
 */
const silenceThresholdMilliseconds = 300;

/** Time without a response after which a primary is suspected that another host already suspects, in milliseconds. */
const corroboratedSilenceThresholdMilliseconds = 180;

/**
 * Time for which connection attempts must fail before a primary is suspected, in milliseconds. It leaves room for one
 * more attempt after the first failure.
 */
const unreachableThresholdMilliseconds = 150;

/**
 * Time without an address after which a primary is suspected, in milliseconds. Expired entries of live instances are
 * written again within 2 s.
 */
const unknownThresholdMilliseconds = 3000;

/** Time for which a primary must refuse writes as a replica before it is suspected, in milliseconds. */
const readOnlyThresholdMilliseconds = 300;

/**
 * Returns whether a primary appears to have failed.
 *
 * @param observation - Liveness of the primary as observed by this host.
 * @param isSuspectedByOthers - Whether another host suspects the primary.
 */
export function isSuspicious(observation: PrimaryObservation, isSuspectedByOthers: boolean): boolean {
	return observation.unknownMilliseconds >= unknownThresholdMilliseconds
		|| observation.silenceMilliseconds >= (isSuspectedByOthers ? corroboratedSilenceThresholdMilliseconds : silenceThresholdMilliseconds)
		|| observation.unreachableMilliseconds >= unreachableThresholdMilliseconds
		|| observation.readOnlyMilliseconds >= readOnlyThresholdMilliseconds;
}
