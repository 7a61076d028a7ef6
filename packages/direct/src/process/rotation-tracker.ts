/** Health checks without success after which a load balancer sends a host no new clients. */
const missesUntilOut = 2;

/** Knows from the answers to health checks whether a load balancer still sends new clients to this host. */
export class RotationTracker {
	#misses = 0;

	/** Whether the load balancer has seen enough failed health checks to send new clients elsewhere. */
	get isOut(): boolean {
		return this.#misses >= missesUntilOut;
	}

	/**
	 * Notes the answer to a health check.
	 *
	 * @param isReady - Whether the answer was a success.
	 */
	note(isReady: boolean): void {
		this.#misses = isReady ? 0 : this.#misses + 1;
	}
}
