import {type Rank, type TimerService, type UpstreamLoad} from '@tarragonstack/core';

/** Half-life of a penalty, in milliseconds. A recovered instance receives requests again within seconds. */
const penaltyHalfLifeMilliseconds = 1000;

/** Maximum penalty, in milliseconds. Bounds the time until an instance is tried again. */
const maximumPenaltyMilliseconds = 2000;

/** Age from which a load report no longer indicates the length of the queue, in milliseconds. */
const loadLifetimeMilliseconds = 2000;

/** Window whose minimum response time is used to estimate the network delay, in milliseconds. */
const networkDelayWindowMilliseconds = 10_000;

/** Assumed service time of an instance without a load report, in milliseconds. */
const defaultServiceMilliseconds = 1;

type LoadEntry = {
	load?: UpstreamLoad;
	loadAt: number;
	/** Number of requests without a result. */
	outstanding: number;
	penalty: number;
	penaltyAt: number;
	currentMinimum: number;
	previousMinimum: number;
	windowStart: number;
};

/** Load of the instances, as reported in the responses of their owners. */
export class UpstreamLoadTable {
	readonly #timerService: TimerService;
	readonly #entries = new Map<string, LoadEntry>();

	/**
	 * @param timerService - Source of time.
	 */
	constructor(timerService: TimerService) {
		this.#timerService = timerService;
	}

	/**
	 * Estimates the response time of a request that is sent now.
	 *
	 * @param instance - Name of the instance.
	 * @param rank - Rank of the request.
	 * @param slots - Number of statements that the instance executes concurrently.
	 * @returns The expected response time in milliseconds.
	 */
	getExpectedResponseMilliseconds(instance: string, rank: Rank, slots: number): number {
		const entry = this.#getEntry(instance);
		const service = entry.load?.serviceMilliseconds ?? defaultServiceMilliseconds;
		const isFresh = this.#timerService.now() - entry.loadAt < loadLifetimeMilliseconds;
		const reportedWait = isFresh ? entry.load?.expectedWaitMilliseconds[rank] ?? 0 : 0;
		const estimatedWait = Math.max(0, entry.outstanding - slots + 1) * service / slots;
		return this.#getNetworkDelay(entry, service) + Math.max(reportedWait, estimatedWait) + service + this.#getPenalty(entry);
	}

	/**
	 * Records a sent request.
	 *
	 * @param instance - Name of the instance.
	 */
	recordSent(instance: string): void {
		this.#getEntry(instance).outstanding++;
	}

	/**
	 * Records the result of a request.
	 *
	 * @param instance - Name of the instance.
	 * @param responseMilliseconds - Time from sending to the result; `undefined` if the request was not executed.
	 * @param load - Load report that came with the result.
	 */
	recordResult(instance: string, responseMilliseconds: number | undefined, load: UpstreamLoad | undefined): void {
		const entry = this.#getEntry(instance);
		entry.outstanding = Math.max(0, entry.outstanding - 1);
		if (load) {
			entry.load = load;
			entry.loadAt = this.#timerService.now();
		}

		if (responseMilliseconds !== undefined) {
			this.#rotateWindow(entry);
			entry.currentMinimum = Math.min(entry.currentMinimum, responseMilliseconds);
		}
	}

	/**
	 * Temporarily reduces the preference for an instance that failed or lagged behind.
	 *
	 * @param instance - Name of the instance.
	 * @param milliseconds - Increase of the expected response time; decays exponentially.
	 */
	addPenalty(instance: string, milliseconds: number): void {
		const entry = this.#getEntry(instance);
		entry.penalty = Math.min(maximumPenaltyMilliseconds, this.#getPenalty(entry) + milliseconds);
		entry.penaltyAt = this.#timerService.now();
	}

	#getEntry(instance: string): LoadEntry {
		let entry = this.#entries.get(instance);
		if (!entry) {
			const now = this.#timerService.now();
			entry = {
				loadAt: Number.NEGATIVE_INFINITY, outstanding: 0, penalty: 0, penaltyAt: now,
				currentMinimum: Number.POSITIVE_INFINITY, previousMinimum: Number.POSITIVE_INFINITY, windowStart: now,
			};
			this.#entries.set(instance, entry);
		}

		return entry;
	}

	#getPenalty(entry: LoadEntry): number {
		return entry.penalty * (0.5 ** ((this.#timerService.now() - entry.penaltyAt) / penaltyHalfLifeMilliseconds));
	}

	#getNetworkDelay(entry: LoadEntry, service: number): number {
		const minimum = Math.min(entry.currentMinimum, entry.previousMinimum);
		return Number.isFinite(minimum) ? Math.max(0, minimum - service) : 0;
	}

	#rotateWindow(entry: LoadEntry): void {
		const now = this.#timerService.now();
		if (now - entry.windowStart >= networkDelayWindowMilliseconds) {
			entry.previousMinimum = entry.currentMinimum;
			entry.currentMinimum = Number.POSITIVE_INFINITY;
			entry.windowStart = now;
		}
	}
}
