/**
 * Round trip that is assumed to an instance of another zone before the first sample, in milliseconds: each direction takes
 * 0.7 ms longer than inside a zone, and traffic between zones is billed.
 */
const initialCrossZoneMilliseconds = 3;

/** Weight of a sample above the estimate. The estimate rises only if all round trips have become longer. */
const increaseWeight = 0.05;

/** Estimates the round trip to an instance, for reads that can be served in several zones at different distances. */
export class DistanceEstimate {
	#milliseconds: number | undefined;

	/**
	 * Adds the time of a round trip.
	 *
	 * @param milliseconds - For example, the time until a connection was accepted.
	 */
	addRoundTrip(milliseconds: number): void {
		const present = this.#milliseconds ?? milliseconds;
		this.#milliseconds = milliseconds < present ? milliseconds : present + (increaseWeight * (milliseconds - present));
	}

	/**
	 * Adds the total time of a statement, which bounds the round trip from above.
	 *
	 * @param milliseconds - Time from sending to the response.
	 */
	addResponse(milliseconds: number): void {
		if (this.#milliseconds !== undefined && milliseconds < this.#milliseconds) {
			this.#milliseconds = milliseconds;
		}
	}

	/**
	 * Returns the estimated round trip in milliseconds.
	 *
	 * @param isLocalZone - Whether the instance is in the zone of this host; it determines the value before the first sample.
	 */
	get(isLocalZone: boolean): number {
		return this.#milliseconds ?? (isLocalZone ? 0 : initialCrossZoneMilliseconds);
	}
}
