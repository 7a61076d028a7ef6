/** Time over which the rate is measured at which waiting requests of a priority are served, in milliseconds. */
const measurementMilliseconds = 1000;

/**
 * Factor by which the expected waiting time must exceed the time that a request has left before it is refused. Work varies by
 * a factor of ten between statements. In a replay at 0.95 times the capacity, a factor of 1.5 cost 12 of 3,225 statements that
 * were served without refusals, and 3 cost 4; at 1.7 times, it refuses 60% of those that are not served at once instead of 70%.
 */
const refusalFactor = 3;

/** Bounds of the time after which a refused request may return, in milliseconds. */
const minimumReturnMilliseconds = 50;
const maximumReturnMilliseconds = 2000;

/** Request that asks to wait. */
export type AdmissionQuery = {
	readonly priority: number;
	/** Number of waiting requests of the same priority that will be served first. */
	readonly ahead: number;
	/** Time that the request may wait, in milliseconds. */
	readonly remainingMilliseconds: number;
	/** Requests that would be served per millisecond if there were none of other priorities. */
	readonly capacity: number;
};

type PriorityService = {
	waiting: number;
	measuredSince: number;
	/** Requests served since then. */
	served: number;
	/** Requests served per millisecond, or `undefined` before the first measurement. */
	rate?: number;
};

/**
 * Decides whether a request may wait for a connection. It is refused if, at the rate at which its priority was served in the
 * last second, it could not be served before its time limit. The rate takes into account what more urgent priorities leave.
 *
 * Answers a load of 1.7 times what an instance can serve: requests that cannot be served are refused at once, so that the
 * client may return when there is capacity again, instead of after their whole time limit.
 */
export class AdmissionControl {
	readonly #services = new Map<number, PriorityService>();

	/**
	 * Returns the time after which a request should return, in milliseconds, or `undefined` if it may wait.
	 *
	 * @param query - Request.
	 * @param now - Monotonic time.
	 */
	check({priority, ahead, remainingMilliseconds, capacity}: AdmissionQuery, now: number): number | undefined {
		const service = this.#services.get(priority);
		if (service && now - service.measuredSince >= measurementMilliseconds) {
			// At least one is assumed, so that a priority that was not served at all is still tried.
			service.rate = Math.max(1, service.served) / (now - service.measuredSince);
			service.measuredSince = now;
			service.served = 0;
		}

		const expectedMilliseconds = ahead / (service?.rate ?? capacity);
		return expectedMilliseconds > refusalFactor * remainingMilliseconds
			? Math.round(Math.max(minimumReturnMilliseconds, Math.min(maximumReturnMilliseconds, expectedMilliseconds - remainingMilliseconds)))
			: undefined;
	}

	/** Records that a request waits. Measurements begin with the first one, because nothing is known while none waits. */
	handleAdded(priority: number, now: number): void {
		const service = this.#services.get(priority);
		if (service) {
			service.waiting++;
		} else {
			this.#services.set(priority, {waiting: 1, measuredSince: now, served: 0});
		}
	}

	/** Records that a request no longer waits. */
	handleRemoved(priority: number, isServed: boolean): void {
		const service = this.#services.get(priority);
		if (!service) {
			return;
		}

		service.waiting--;
		service.served += Number(isServed);
		if (service.waiting === 0) {
			this.#services.delete(priority);
		}
	}
}
