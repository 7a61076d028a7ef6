/** Number of consecutive failed health checks after which a load balancer takes a host out of rotation. */
const failureThreshold = 2;

/** Infers from the results of health checks whether a load balancer still sends new clients to this host. */
export class RotationTracker {
	#consecutiveFailures = 0;

	/** Whether enough health checks have failed for the load balancer to send new clients to other hosts. */
	get isOutOfRotation(): boolean {
		return this.#consecutiveFailures >= failureThreshold;
	}

	/**
	 * Records the result of a health check.
	 *
	 * @param isReady - Whether the check succeeded.
	 */
	recordHealthCheck(isReady: boolean): void {
		this.#consecutiveFailures = isReady ? 0 : this.#consecutiveFailures + 1;
	}
}
