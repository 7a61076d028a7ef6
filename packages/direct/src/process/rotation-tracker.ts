/** Health checks without success after which a load balancer sends a host no new clients. */
const failureThreshold = 2;

/** Knows from the answers to health checks whether a load balancer still sends new clients to this host. */
export class RotationTracker {
	#consecutiveFailures = 0;

	/** Whether the load balancer has seen enough failed health checks to send new clients elsewhere. */
	get isOutOfRotation(): boolean {
		return this.#consecutiveFailures >= failureThreshold;
	}

	/**
	 * Notes the answer to a health check.
	 *
	 * @param isReady - Whether the answer was a success.
	 */
	recordHealthCheck(isReady: boolean): void {
		this.#consecutiveFailures = isReady ? 0 : this.#consecutiveFailures + 1;
	}
}
